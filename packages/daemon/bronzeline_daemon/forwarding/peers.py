"""Exchange runs' records, load, proofs and failures with peers by UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, cast

from bronzeline_daemon.forwarding.run_lookups import RunLookups
from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_daemon.logs import log_event
from bronzeline_daemon.message_codec import MessageCodec, PeerMessageError
from bronzeline_kernel.forwarding import (
    N_RUN_HOLDERS,
    Address,
    BlocksAsked,
    BlocksChanged,
    EngineLost,
    ForwardingSettings,
    Incarnation,
    LimitReport,
    ListedUpstream,
    LoadByUpstream,
    LoadReport,
    OriginAsked,
    OriginUnknown,
    PartsAnswered,
    PeerList,
    Placement,
    PromptLost,
    ProofAsked,
    ProofGiven,
    Quarantine,
    RolloutAnnouncement,
    RolloutQuery,
    RolloutReport,
    RouterEntry,
    RouterListAsked,
    RouterListGiven,
    RunAsked,
    RunDirectory,
    RunEnded,
    RunRecord,
    RunUnknown,
    StreamOrigin,
    UpstreamAdopted,
    UpstreamLeaving,
    UpstreamReplaced,
    UpstreamResting,
    VersionsAnnouncement,
    VersionsQuery,
    Zone,
    ZoneLost,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["ForwardingPeers"]

# Load changes with every prompt, and a prompt takes a second or more. Changes
# are reported to all zones, since a report of 100 bytes costs less than a prompt
# that waits behind another.
REPORT_INTERVAL_S = 0.1
REPEAT_EVERY_N_REPORTS = 5
# Ten reports per second to this many peers reach each of 93 routers of a zone,
# the largest zone designed for, almost twice within a report's lifetime.
MAX_REPORT_PEERS = 16
# Minimum interval between reports of a lost zone by any router, as each goes to
# all routers.
ZONE_LOST_INTERVAL_MS = 400.0

MESSAGE_TYPES = (
    BlocksAsked,
    BlocksChanged,
    EngineLost,
    LimitReport,
    LoadReport,
    OriginAsked,
    OriginUnknown,
    PartsAnswered,
    PromptLost,
    ProofAsked,
    ProofGiven,
    RolloutQuery,
    RolloutReport,
    RolloutAnnouncement,
    RouterListAsked,
    RouterListGiven,
    RunAsked,
    RunEnded,
    RunRecord,
    RunUnknown,
    StreamOrigin,
    UpstreamAdopted,
    UpstreamLeaving,
    UpstreamReplaced,
    UpstreamResting,
    VersionsAnnouncement,
    VersionsQuery,
    ZoneLost,
)

# Called with a message and the peer that sent it.
Listener = Callable[[Any, RouterEntry], None]


class ForwardingPeers(asyncio.DatagramProtocol):
    """Send messages to peers and process theirs.

    Delivery is not required: lost messages are sent again, or their content is
    found in another way.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        placement: Placement,
        runs: RunDirectory,
        quarantine: Quarantine,
        clock: Clock,
        random: Random,
    ) -> None:
        self.own = RouterEntry(
            settings.router_id,
            settings.peers.host,
            settings.peers.port,
            settings.availability_zone,
        )
        self._logs = LogLimiter(clock, settings.router_id)
        self._placement = placement
        self._runs = runs
        self._quarantine = quarantine
        self._clock = clock
        self._random = random
        self._codec = MessageCodec()
        for message_type in MESSAGE_TYPES:
            self._codec.register(message_type)
        self.peer_list = PeerList(self.own)
        self._transport: asyncio.DatagramTransport | None = None
        self._zone_reported_at_ms: dict[Zone, float] = {}
        self._report_task: asyncio.Task[None] | None = None
        self._lookups = RunLookups()
        self._listeners: dict[type[Any], Listener] = {}
        placement.health.on_zone_lost = self._report_zone_lost
        placement.limits.on_report = self._report_limit
        placement.upstreams.notices.on_leaving = self._report_leaving
        placement.upstreams.notices.on_rest = self._report_rest

    async def start(self) -> None:
        """Bind the UDP port and start to report load."""
        loop = asyncio.get_running_loop()
        address = (self.own.host, self.own.peer_port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._report_task = asyncio.create_task(self._report_load())

    def stop(self) -> None:
        """Stop reporting and close the socket."""
        if self._report_task is not None:
            self._report_task.cancel()
        if self._transport is not None:
            self._transport.close()

    def share_run(self, record: RunRecord) -> None:
        """Send the record of a run's copy to the peers that hold it."""
        self._send(record, self.peer_list.run_holders(record.request_hash))

    def end_run(self, request_hash: str) -> None:
        """Report the end of a run to the peers that hold its record."""
        self._send(RunEnded(request_hash), self.peer_list.run_holders(request_hash))

    async def find_run(self, request_hash: str) -> None:
        """Query peers for a run's record; wait for it or all answers, at most 60 ms."""
        holders = self.peer_list.run_holders(request_hash)
        holds_all_records = len(self.peer_list.in_zone) <= N_RUN_HOLDERS
        if holds_all_records or self._lookups.is_open(request_hash):
            return
        asked = RunAsked(request_hash, self.own.router_id)
        await self._lookups.wait(
            request_hash, len(holders), lambda: self._send(asked, holders)
        )

    def report_replaced(self, upstream: Incarnation) -> None:
        """Report to all peers that an upstream's address has another process."""
        self._send(UpstreamReplaced(*upstream), self.peer_list.all)

    def report_adopted(self, entry: ListedUpstream) -> None:
        """Report to all peers an engine that the store does not list yet."""
        self._send(UpstreamAdopted(entry), self.peer_list.all)

    @property
    def n_routers(self) -> int:
        """Return the number of known routers, this one included."""
        return len(self.peer_list) + 1

    def listen(self, message_type: type[Any], listener: Listener) -> None:
        """Call a listener for each message of a type.

        The entry of a router that is not listed yet has no id and no zone.
        """
        self._codec.register(message_type)
        self._listeners[message_type] = listener

    def send_to(self, message: object, peer: RouterEntry) -> None:
        """Send a message to one peer; it may be lost."""
        self._send(message, (peer,))

    def send_to_all(self, message: object) -> None:
        """Send a message to all peers; it may be lost."""
        self._send(message, self.peer_list.all)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport to send on."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode and process a peer's message."""
        now_ms = self._clock.now_ms()
        try:
            message = self._codec.decode(data)
        except PeerMessageError as error:
            self._logs.info("peer_message_unreadable", peer=str(addr), error=str(error))
            return
        match message:
            case RunRecord(request_hash):
                self._runs.put(message, now_ms)
                self._lookups.answer(request_hash, is_found=True)
            case RunUnknown(request_hash):
                self._lookups.answer(request_hash, is_found=False)
            case RunAsked(request_hash, router_id):
                peer = self.peer_list.get(router_id)
                record = self._runs.pop_record(request_hash, now_ms)
                if peer is not None:
                    self.send_to(record or RunUnknown(request_hash), peer)
            case RunEnded(request_hash):
                self._runs.remove(request_hash)
            case ZoneLost(service, zone):
                # Its peers know of it, so that this router need not report it too.
                self._zone_reported_at_ms[service, zone] = now_ms
                self._placement.health.record_peer_zone_loss((service, zone), now_ms)
            case EngineLost() | PromptLost() | PartsAnswered() | BlocksChanged():
                self._quarantine.receive(message, now_ms)
            case LoadReport(router_id, prompts, streams, copies):
                load = LoadByUpstream(prompts, streams, copies)
                self._placement.set_peer_load(router_id, load, now_ms)
            case LimitReport():
                self._placement.limits.receive(message, now_ms)
            case UpstreamLeaving(upstream_id, started_at_ms, value, age_ms):
                notices = self._placement.upstreams.notices
                leaving = (upstream_id, started_at_ms)
                notices.receive_leaving(leaving, value, age_ms, now_ms)
            case UpstreamResting(upstream_id, started_at_ms, value, rest_ms):
                resting = (upstream_id, started_at_ms)
                notices = self._placement.upstreams.notices
                notices.receive_rest(resting, value, rest_ms, now_ms)
                self._placement.health.record_peer_rest(resting, rest_ms, now_ms)
            case UpstreamReplaced(upstream_id, started_at_ms):
                replaced = (upstream_id, started_at_ms)
                self._placement.health.record_peer_replaced(replaced, now_ms)
            case _:
                self._call_listener(message, addr[:2])

    def _call_listener(self, message: Any, address: Address) -> None:
        """Pass a message on; a new router asks before its peers have listed it."""
        peer = self.peer_list.find_by_address(address)
        listener = self._listeners.get(type(message))
        if listener is not None:
            listener(message, peer or RouterEntry("", *address, ""))

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        log_event("peer_unreachable", error=str(exc))

    def _report_zone_lost(self, zone: Zone) -> None:
        now_ms = self._clock.now_ms()
        reported_at_ms = self._zone_reported_at_ms.get(zone, float("-inf"))
        if now_ms - reported_at_ms >= ZONE_LOST_INTERVAL_MS:
            self._zone_reported_at_ms[zone] = now_ms
            self._send(ZoneLost(*zone), self.peer_list.all)

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

    def _report_leaving(self, upstream: Incarnation, value: str) -> None:
        self._send(UpstreamLeaving(*upstream, value, 0.0), self.peer_list.all)

    def _report_rest(self, upstream: Incarnation, value: str, rest_ms: float) -> None:
        self._send(UpstreamResting(*upstream, value, rest_ms), self.peer_list.all)

    def _report_limit(self, report: LimitReport) -> None:
        is_for_zone = self._placement.limits.is_for_zone(report)
        peers = self.peer_list.in_zone if is_for_zone else self.peer_list.all
        self._send(report, peers)

    def _report_limits(self) -> None:
        limits = self._placement.limits
        limits.n_routers = self.n_routers
        limits.n_in_zone = len(self.peer_list.in_zone) + 1
        for report in limits.reports(self._clock.now_ms()):
            self._report_limit(report)

    def report_quarantine(self) -> None:
        """Tell all peers what they have to know of requests that end engines."""
        now_ms = self._clock.now_ms()
        for message in self._quarantine.tick(now_ms, len(self.peer_list)):
            if isinstance(message, EngineLost):
                log_event("engine_died", upstream_id=message.upstream_id)
            self._send(message, self.peer_list.all)

    async def _report_load(self) -> None:
        """Report load to the zone, changed prompts and engine deaths to all zones."""
        previous, placement = LoadByUpstream(), self._placement
        n_unchanged = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report_quarantine()
            self._report_limits()
            load = placement.own_load()
            has_new_prompts = load.prompts != previous.prompts
            n_unchanged = n_unchanged + 1 if load == previous else 0
            previous = load
            is_idle = not load.streams and n_unchanged > REPEAT_EVERY_N_REPORTS
            if is_idle or n_unchanged % REPEAT_EVERY_N_REPORTS:
                continue
            report = LoadReport(
                self.own.router_id,
                dict(load.prompts),
                dict(load.streams),
                dict(load.copies),
            )
            self._send(report, self._sample_peers(self.peer_list.in_zone))
            if has_new_prompts:
                peers = placement.regions.load_report_peers(
                    self.peer_list.in_other_zones
                )
                self._send(report, self._sample_peers(peers))
