"""Exchange runs' records, load, proofs and failures with peers by UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

from bronzeline_daemon.logs import log_event
from bronzeline_daemon.message_codec import MessageCodec, PeerMessageError
from bronzeline_kernel.exceptions import StoreUnavailableError
from bronzeline_kernel.forwarding import (
    N_RUN_HOLDERS,
    DirectoryStore,
    EngineLost,
    ForwardingSettings,
    Incarnation,
    ListedUpstream,
    LoadByUpstream,
    LoadReport,
    PeerList,
    Placement,
    ProofAsked,
    ProofGiven,
    ProofRequest,
    RequestQuarantine,
    RouterEntry,
    RunAsked,
    RunDirectory,
    RunEnded,
    RunRecord,
    RunUnknown,
    UpstreamAdopted,
    UpstreamReplaced,
    Zone,
    ZoneLost,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["ForwardingPeers"]

# A possibly stale list costs a tenth of another call to the store. New routers
# are known after one interval. When all routers start together, each reads the
# store itself until it knows its peers, so the first intervals are short.
FIRST_LIST_INTERVALS_S = (0.3, 0.5, 1.0, 2.0)
LIST_INTERVAL_S = 4.0
RETRY_S = 0.5
# Load changes with every prompt, and a prompt takes a second or more. Changes
# are reported to all zones, since a report of 100 bytes costs less than a prompt
# that waits behind another.
REPORT_INTERVAL_S = 0.1
REPEAT_EVERY_N_REPORTS = 5
# Ten reports per second to this many peers reach each of 93 routers of a zone,
# the largest zone designed for, almost twice within a report's lifetime.
MAX_REPORT_PEERS = 16
# Holders of a run's record answer within 30 ms unless they have failed.
FIND_RUN_TIMEOUT_S = 0.06
# Minimum interval between reports of a lost zone, because traffic to other
# zones is billed.
ZONE_LOST_INTERVAL_MS = 400.0

MESSAGE_TYPES = (
    EngineLost,
    LoadReport,
    ProofAsked,
    ProofGiven,
    RunAsked,
    RunEnded,
    RunRecord,
    RunUnknown,
    UpstreamAdopted,
    UpstreamReplaced,
    ZoneLost,
)


@dataclass
class RunLookup:
    """Count the peers that have not yet answered a query for a run's record."""

    n_pending: int
    is_done: asyncio.Event = field(default_factory=asyncio.Event)


class ForwardingPeers(asyncio.DatagramProtocol):
    """Send messages to peers and process theirs.

    Delivery is not required: lost messages are sent again, or their content is
    found in another way.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        store: DirectoryStore,
        placement: Placement,
        runs: RunDirectory,
        quarantine: RequestQuarantine,
        clock: Clock,
        random: Random,
    ) -> None:
        self._own = RouterEntry(
            settings.router_id,
            settings.peers.host,
            settings.peers.port,
            settings.availability_zone,
        )
        self._store = store
        self._placement = placement
        self._runs = runs
        self._quarantine = quarantine
        self._clock = clock
        self._random = random
        self._codec = MessageCodec()
        for message_type in MESSAGE_TYPES:
            self._codec.register(message_type)
        self._peers = PeerList(self._own)
        self._transport: asyncio.DatagramTransport | None = None
        self._zone_reported_at_ms: dict[Zone, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._lookups: dict[str, RunLookup] = {}
        self.on_proof_asked: Callable[[ProofAsked, RouterEntry], None] = (
            _ignore_proof_request
        )
        self.on_proof_given: Callable[[ProofGiven, RouterEntry], None] = _ignore_proof
        self.on_adopted: Callable[[ListedUpstream], None] = _ignore_adopted
        placement.health.on_zone_lost = self._report_zone_lost

    async def start(self) -> None:
        """Bind the UDP port; start to list routers and to report load."""
        loop = asyncio.get_running_loop()
        address = (self._own.host, self._own.peer_port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._tasks = [
            asyncio.create_task(self._poll_router_list()),
            asyncio.create_task(self._report_load()),
        ]

    def stop(self) -> None:
        """Cancel the background tasks and close the socket."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def share_run(self, record: RunRecord) -> None:
        """Send the record of a run's copy to the peers that hold it."""
        self._send(record, self._peers.run_holders(record.request_hash))

    def end_run(self, request_hash: str) -> None:
        """Report the end of a run to the peers that hold its record."""
        self._send(RunEnded(request_hash), self._peers.run_holders(request_hash))

    async def find_run(self, request_hash: str) -> None:
        """Query peers for a run's record; wait for it or all answers, at most 60 ms."""
        holders = self._peers.run_holders(request_hash)
        holds_all_records = len(self._peers.in_zone) <= N_RUN_HOLDERS
        if holds_all_records or request_hash in self._lookups:
            return
        lookup = self._lookups[request_hash] = RunLookup(len(holders))
        self._send(RunAsked(request_hash, self._own.router_id), holders)
        try:
            async with asyncio.timeout(FIND_RUN_TIMEOUT_S):
                await lookup.is_done.wait()
        except TimeoutError:
            log_event("run_holders_silent", n_asked=len(holders))
        finally:
            del self._lookups[request_hash]

    def report_replaced(self, upstream: Incarnation) -> None:
        """Report to all peers that an upstream's address has another process."""
        self._send(UpstreamReplaced(*upstream), self._peers.all)

    def report_adopted(self, entry: ListedUpstream) -> None:
        """Report to all peers an engine that the store does not list yet."""
        self._send(UpstreamAdopted(entry), self._peers.all)

    @property
    def n_routers(self) -> int:
        """Return the number of known routers, this one included."""
        return len(self._peers) + 1

    def ids_in_zone(self) -> list[str]:
        """Return the ids of the peers in this router's zone."""
        return [item.router_id for item in self._peers.in_zone]

    def request_proof(self, request: ProofRequest, upstream_revision: int) -> None:
        """Request a peer's proof of how current its configuration is."""
        peer = self._peers.get(request.router_id)
        if peer is not None:
            own_id = self._own.router_id
            self.send_to(ProofAsked(own_id, request.number, upstream_revision), peer)

    def send_to(self, message: object, peer: RouterEntry) -> None:
        """Send a message to one peer; it may be lost."""
        self._send(message, (peer,))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport to send on."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode and process a peer's message."""
        now_ms = self._clock.now_ms()
        try:
            message = self._codec.decode(data)
        except PeerMessageError as error:
            log_event("peer_message_unreadable", peer=str(addr), error=str(error))
            return
        match message:
            case RunRecord(request_hash):
                self._runs.put(message, now_ms)
                self._on_lookup_answer(request_hash, is_found=True)
            case RunUnknown(request_hash):
                self._on_lookup_answer(request_hash, is_found=False)
            case RunAsked(request_hash, router_id):
                peer = self._peers.get(router_id)
                record = self._runs.pop_record(request_hash, now_ms)
                if peer is not None:
                    self.send_to(record or RunUnknown(request_hash), peer)
            case RunEnded(request_hash):
                self._runs.remove(request_hash)
            case ZoneLost(service, zone):
                self._placement.health.record_peer_zone_loss((service, zone), now_ms)
            case ProofAsked(router_id):
                peer = self._peers.get(router_id)
                if peer is not None:
                    self.on_proof_asked(message, peer)
            case ProofGiven():
                peer = self._peers.find_by_address(addr[:2])
                if peer is not None:
                    self.on_proof_given(message, peer)
            case EngineLost():
                self._quarantine.engine_lost(message, now_ms, is_own=False)
            case LoadReport(router_id, prompts, streams, copies):
                load = LoadByUpstream(prompts, streams, copies)
                self._placement.set_peer_load(router_id, load, now_ms)
            case UpstreamAdopted(entry):
                self.on_adopted(entry)
            case UpstreamReplaced(upstream_id, started_at_ms):
                replaced = (upstream_id, started_at_ms)
                self._placement.health.record_peer_replaced(replaced, now_ms)

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        log_event("peer_unreachable", error=str(exc))

    def _report_zone_lost(self, zone: Zone) -> None:
        now_ms = self._clock.now_ms()
        reported_at_ms = self._zone_reported_at_ms.get(zone, float("-inf"))
        if now_ms - reported_at_ms >= ZONE_LOST_INTERVAL_MS:
            self._zone_reported_at_ms[zone] = now_ms
            self._send(ZoneLost(*zone), self._peers.all)

    def _on_lookup_answer(self, request_hash: str, *, is_found: bool) -> None:
        lookup = self._lookups.get(request_hash)
        if lookup is None:
            return
        lookup.n_pending -= 1
        if is_found or not lookup.n_pending:
            lookup.is_done.set()

    def _sample_peers(self, peers: Sequence[RouterEntry]) -> Sequence[RouterEntry]:
        """Return the peers, or a random sample if they are too many for one report."""
        if len(peers) <= MAX_REPORT_PEERS:
            return peers
        return self._random.sample(peers, MAX_REPORT_PEERS)

    def _send(self, message: object, peers: Iterable[RouterEntry]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = self._codec.encode(message)
        for peer in peers:
            self._transport.sendto(data, (peer.host, peer.peer_port))

    async def _poll_router_list(self) -> None:
        is_announced = False
        pauses_s = iter(FIRST_LIST_INTERVALS_S)
        while True:
            try:
                if not is_announced:
                    await self._store.announce_router(self._own)
                    is_announced = True
                entries = await self._store.list_routers()
            except StoreUnavailableError as error:
                log_event("peers_not_listed", error=str(error))
                await asyncio.sleep(RETRY_S * self._random.uniform(1.0, 2.0))
                continue
            self._peers.replace(entries)
            pause_s = next(pauses_s, LIST_INTERVAL_S)
            await asyncio.sleep(pause_s * self._random.uniform(0.8, 1.2))

    async def _report_load(self) -> None:
        """Report load to the zone, changed prompts and engine deaths to all zones."""
        previous = LoadByUpstream()
        n_unchanged = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            for lost in self._quarantine.confirm_deaths(self._clock.now_ms()):
                log_event("engine_died", upstream_id=lost.upstream_id)
                self._send(lost, self._peers.all)
            load = self._placement.own_load()
            has_new_prompts = load.prompts != previous.prompts
            n_unchanged = n_unchanged + 1 if load == previous else 0
            previous = load
            is_idle = not load.streams and n_unchanged > REPEAT_EVERY_N_REPORTS
            if is_idle or n_unchanged % REPEAT_EVERY_N_REPORTS:
                continue
            report = LoadReport(
                self._own.router_id,
                dict(load.prompts),
                dict(load.streams),
                dict(load.copies),
            )
            self._send(report, self._sample_peers(self._peers.in_zone))
            if has_new_prompts:
                self._send(report, self._sample_peers(self._peers.in_other_zones))


def _ignore_adopted(entry: ListedUpstream) -> None:
    """Ignore a restarted engine while no callback is set."""


def _ignore_proof_request(request: ProofAsked, peer: RouterEntry) -> None:
    """Ignore a request for proof while no callback is set."""


def _ignore_proof(proof: ProofGiven, peer: RouterEntry) -> None:
    """Ignore a proof while no callback is set."""
