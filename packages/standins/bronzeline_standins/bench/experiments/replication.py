"""Measure the cost of replicating tokens before they are delivered."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import numpy as np

from bronzeline_daemon.clock import MonotonicClock
from bronzeline_daemon.generations import Replication
from bronzeline_daemon.message_codec import MessageCodec
from bronzeline_daemon.peers import PeerIdentity
from bronzeline_daemon.peers.session import FrameAuthenticator
from bronzeline_kernel.fleet import Upstream, UpstreamKind
from bronzeline_kernel.generation import (
    Deliver,
    EventIdCodec,
    Generation,
    GenerationOptions,
    GenerationSpec,
    ReplicateTokens,
    TokenReceived,
    TokensReplicated,
    UpstreamGranted,
)
from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.reconnecting_caller import (
    GenerationCall,
    ReconnectingCaller,
)
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.topology import TOPOLOGIES, workspace_key

__all__ = ["run"]

TEXT = " embroidery"
US_PER_S = 1_000_000.0
TOKENS_PER_BATCH = 25
SECRET = "a secret that the fleet's routers share"
ENGINE = Upstream("engine-0", "desk", UpstreamKind.ENGINE, "127.0.0.1", 1, "a", "r")


@dataclass
class DirectPeers:
    """Connect two routers directly, with encoded and authenticated messages."""

    own_id: str
    n_bytes: int = 0
    incarnation: int = 1
    other: DirectPeers | None = None
    handlers: dict[type[Any], Callable[..., None]] = field(default_factory=dict)
    codec: MessageCodec = field(default_factory=MessageCodec)
    writer: FrameAuthenticator = field(
        default_factory=lambda: FrameAuthenticator(b"key")
    )
    reader: FrameAuthenticator = field(
        default_factory=lambda: FrameAuthenticator(b"key")
    )

    def on(self, message_type: type[Any], handler: Callable[..., None]) -> None:
        """Call the handler for each message of this type."""
        self.codec.register(message_type)
        self.handlers[message_type] = handler

    def send(self, router_id: str, message: Any) -> None:
        """Encode and seal a message; the other router opens, decodes and handles it."""
        assert self.other is not None
        payload = self.codec.encode(message)
        frame = self.writer.seal(payload)
        self.n_bytes += len(frame)
        opened = self.other.reader.open([payload, frame[-16:]])
        received = self.other.codec.decode(opened)
        identity = PeerIdentity(self.own_id, 1)
        self.other.handlers[type(received)](identity, received)


class ReplicationBench:
    """Pass the tokens of many generations through one router's replication."""

    def __init__(self, n_generations: int, *, is_replicated: bool) -> None:
        self.owner = DirectPeers("owner")
        self.holder = DirectPeers("holder", other=self.owner)
        self.owner.other = self.holder
        self.replication = _replication(self.owner)
        self.holder_replication = _replication(self.holder)
        self.n_delivered = 0
        self._event_ids = EventIdCodec(SECRET)
        self._machines = [
            self._start_generation(number, is_replicated=is_replicated)
            for number in range(n_generations)
        ]
        self._replica_ids = [
            self.replication.open(self._on_held(machine)) for machine in self._machines
        ]

    def run(self, n_rounds: int) -> float:
        """Pass one token per generation and round; return the CPU time in seconds."""
        started_s = time.process_time()
        for index in range(n_rounds):
            now_ms = index * 47.0
            for number, machine in enumerate(self._machines):
                message = TokenReceived(1, index, TEXT)
                self._apply(number, machine, machine.handle(message, now_ms))
                if number % TOKENS_PER_BATCH == 0:
                    self.replication.flush("holder")
            self.replication.flush("holder")
        return time.process_time() - started_s

    def _start_generation(self, number: int, *, is_replicated: bool) -> Generation:
        spec = GenerationSpec(f"gen-{number}", "w", "desk", "model", "p", 100_000)
        machine = Generation(
            spec,
            GenerationOptions(own_id="owner"),
            request_key="key" if is_replicated else "",
            make_prefix=self._event_ids.prefix,
            holder_ids=("holder",) if is_replicated else (),
        )
        machine.start(0.0)
        machine.handle(UpstreamGranted(ENGINE), 0.0)
        return machine

    def _on_held(self, machine: Generation) -> Callable[[str, int], None]:
        def on_held(router_id: str, n_tokens: int) -> None:
            actions = machine.handle(TokensReplicated(router_id, n_tokens), 0.0)
            self.n_delivered += len(actions)

        return on_held

    def _apply(self, number: int, machine: Generation, actions: list[Any]) -> None:
        replica_id = self._replica_ids[number]
        for action in actions:
            if isinstance(action, Deliver):
                self.n_delivered += 1
            elif isinstance(action, ReplicateTokens) and action.is_whole_state:
                self.replication.send_state("holder", replica_id, machine)
            elif isinstance(action, ReplicateTokens):
                index = action.from_index
                self.replication.append("holder", replica_id, index, TEXT)


def _replication(peers: Any) -> Replication:
    return Replication(peers, MonotonicClock(), lambda _: None, lambda *_: None)


async def run(scenario: Scenario, seed: int) -> Measurements:
    """Measure CPU time and bytes directly, and latencies on an embedded fleet."""
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    n_generations = int(scenario.options["n_generations"])
    n_rounds = int(scenario.options["n_rounds"])
    n_tokens = n_generations * n_rounds
    replicated = ReplicationBench(n_generations, is_replicated=True)
    replicated_us = replicated.run(n_rounds) * US_PER_S / n_tokens
    plain = ReplicationBench(n_generations, is_replicated=False)
    plain_us = plain.run(n_rounds) * US_PER_S / n_tokens
    n_bytes = replicated.owner.n_bytes + replicated.holder.n_bytes
    rows = [
        Measurement("cpu_both_routers", "us/token", replicated_us, plain_us),
        Measurement("peer_bytes", "bytes/token", n_bytes / n_tokens),
        Measurement("undelivered", "tokens", n_tokens - replicated.n_delivered),
    ]
    return rows + await _measure_latencies(scenario, seed)


async def _measure_latencies(scenario: Scenario, seed: int) -> Measurements:
    topology = TOPOLOGIES[scenario.topology]
    options = EngineOptions(inter_token_ms=float(scenario.options["inter_token_ms"]))
    fleet = EmbeddedFleet(topology, engine_options=options, seed=seed)
    await fleet.start()
    try:
        replicated, plain = await asyncio.gather(
            _run_calls(fleet, scenario.options, seed, "key-"),
            _run_calls(fleet, scenario.options, seed, ""),
        )
    finally:
        await fleet.stop()
    rows: Measurements = []
    for name, percentile in (("p50", 50), ("p95", 95)):
        for measure, measured in (("first_token", _first_token_ms), ("gap", _gaps_ms)):
            value = float(np.percentile(measured(replicated), percentile))
            baseline = float(np.percentile(measured(plain), percentile))
            rows.append(Measurement(f"{measure}_{name}", "ms", value, baseline))
    return rows


async def _run_calls(
    fleet: EmbeddedFleet, options: dict[str, Any], seed: int, key_prefix: str
) -> list[GenerationCall]:
    key = workspace_key(fleet.topology.workspaces()[0])
    ports = [router.caller_port for router in fleet.routers]
    caller = ReconnectingCaller(fleet.topology.model, key, lambda: ports, Random(seed))
    calls: list[GenerationCall] = []

    async def work(worker: int) -> None:
        for number in range(int(options["n_calls_each"])):
            name = f"{worker}-{number}"
            call_key = f"{key_prefix}{name}" if key_prefix else ""
            call = GenerationCall(call_key, f"plan {name}", int(options["length"]))
            calls.append(call)
            await caller.run(call)

    await asyncio.gather(*(work(n) for n in range(int(options["n_callers"]))))
    return calls


def _first_token_ms(calls: list[GenerationCall]) -> list[float]:
    return [call.token_times_ms[0] - call.started_at_ms for call in calls]


def _gaps_ms(calls: list[GenerationCall]) -> list[float]:
    return [
        float(gap) for call in calls for gap in np.diff(call.token_times_ms).tolist()
    ]
