"""Simulate the distribution of configurations to routers with a simulated clock."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from random import Random

import msgspec

from bronzeline_kernel.config import FleetConfig, decode_config
from bronzeline_kernel.config_distribution import (
    ConfigDistributionMachine,
    PeerMessage,
    SendToPeer,
)
from bronzeline_kernel.fleet import RouterInfo

__all__ = ["ConfigDistributionSimulation", "LoopRouter", "numbered_config"]

REGIONS = ("lowcountry", "gulf-coast", "piedmont")
NETWORK_DELAY_MS = 5.0
TICK_MS = 500.0
WATCH_RETRY_MS = 500.0
WATCH_TIMEOUT_MS = 10_000.0
WATCH_POLL_MS = 50.0
START_DELAY_WITHOUT_STORE_MS = 1_500.0
SLOW_READ_DELAY_MS = 1_500.0
N_PEERS_PULLED_ON_START = 3
N_EXCEPTIONS = 7
STORE_NUMBER = -1

Callback = Callable[[], None]
Fault = Callable[["LoopRouter"], None]


def numbered_config(version: int) -> bytes:
    """Return a stored configuration that differs from the previous version."""
    rule = {
        "exception_id": f"e{version % N_EXCEPTIONS}",
        "scope": "model:m",
        "option": "stall_timeout_ms",
        "value": float(version),
        "reason": "a reason",
    }
    services = {"desk": {"kind": "engine", "models": ["m"]}}
    data = {"revision": version, "services": services, "exceptions": [rule]}
    return msgspec.json.encode(data)


class LoopRouter:
    """Drive one router's state machine as the daemon does."""

    def __init__(self, simulation: ConfigDistributionSimulation, number: int) -> None:
        self.number = number
        self.is_alive = False
        self.is_ready = False
        self.paused_until_ms = -1.0
        self.applied_versions: list[int] = []
        self._simulation = simulation
        self._n_starts = 0
        self._store_version = 0

    @property
    def version(self) -> int:
        """Return the version that the router has applied."""
        return self.machine.history.version

    def start(self) -> None:
        """Start or restart the router with empty state."""
        self._n_starts += 1
        self.is_alive = True
        self.is_ready = False
        self.applied_versions = []
        self._store_version = 0
        seed = f"{self._simulation.seed}/{self.number}/{self._n_starts}"
        self.machine = ConfigDistributionMachine(
            self._simulation.info(self.number), Random(seed)
        )
        self.machine.update_peers(self._simulation.peers_of(self.number))
        self._send(self.machine.pull_from_peers(N_PEERS_PULLED_ON_START))
        self._read_store(self._on_first_read)
        self.call_later(self._simulation.random.uniform(0, TICK_MS), self._on_tick)

    def receive(self, sender_id: str, message: PeerMessage) -> None:
        """Handle a message from a peer."""
        self._send(
            self.machine.on_peer_message(sender_id, message, self._simulation.now_ms)
        )

    def call_later(self, delay_ms: float, callback: Callback) -> None:
        """Call back after a delay and any pause, unless the router ends or restarts."""
        n_starts = self._n_starts
        self._simulation.after(
            delay_ms, lambda: self._run_unless_restarted(n_starts, callback)
        )

    def _run_unless_restarted(self, n_starts: int, callback: Callback) -> None:
        if not self.is_alive or n_starts != self._n_starts:
            return
        wait_ms = self.paused_until_ms - self._simulation.now_ms
        if wait_ms > 0:
            self._simulation.after(
                wait_ms, lambda: self._run_unless_restarted(n_starts, callback)
            )
        else:
            callback()

    def _on_first_read(self, was_answered: bool) -> None:
        if was_answered:
            self._become_ready()
        else:
            self.call_later(START_DELAY_WITHOUT_STORE_MS, self._become_ready)

    def _become_ready(self) -> None:
        self.is_ready = self.version > 0
        self._follow_store()

    def _on_tick(self) -> None:
        if self.version:
            self._send(self.machine.on_tick())
        else:
            self._send(self.machine.pull_from_peers(N_PEERS_PULLED_ON_START))
        self.is_ready = self.is_ready or self.version > 0
        self.call_later(TICK_MS, self._on_tick)

    def _follow_store(self) -> None:
        if self.machine.is_watcher:
            self._simulation.n_calls["watch"] += 1
            self._watch(self._simulation.now_ms + WATCH_TIMEOUT_MS)
        else:
            delay_ms = self.machine.poll_interval_ms()
            self.call_later(
                delay_ms, lambda: self._read_store(lambda _: self._follow_store())
            )

    def _watch(self, until_ms: float) -> None:
        if not self._can_reach_store():
            self.call_later(WATCH_RETRY_MS, self._follow_store)
        elif self._simulation.object_version > self._store_version:
            self._apply_stored_config()
            self.call_later(NETWORK_DELAY_MS, self._follow_store)
        elif self._simulation.now_ms >= until_ms:
            self.call_later(NETWORK_DELAY_MS, self._follow_store)
        else:
            self.call_later(WATCH_POLL_MS, lambda: self._watch(until_ms))

    def _read_store(self, on_done: Callable[[bool], None]) -> None:
        self._simulation.n_calls["read"] += 1
        is_answered = self._can_reach_store()

        def on_response() -> None:
            if is_answered:
                self._apply_stored_config()
            on_done(is_answered)

        self.call_later(
            NETWORK_DELAY_MS + self._simulation.extra_read_ms(), on_response
        )

    def _apply_stored_config(self) -> None:
        self._store_version = self._simulation.object_version
        config = self._simulation.stored_config()
        self._send(self.machine.on_store_read(config, self._simulation.now_ms))

    def _can_reach_store(self) -> bool:
        return not (
            self._simulation.is_store_down()
            or self._simulation.is_cut(self.number, STORE_NUMBER)
        )

    def _send(self, actions: Iterable[SendToPeer]) -> None:
        if not self.applied_versions or self.applied_versions[-1] != self.version:
            self.applied_versions.append(self.version)
            self._simulation.reach_step("applied", self)
        for action in actions:
            self._simulation.transmit(self, action)


class ConfigDistributionSimulation:
    """Simulate routers, the stored configuration and the network between them."""

    def __init__(self, seed: int, n_routers: int = 9) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.now_ms = 0.0
        self.n_calls: Counter[str] = Counter()
        self.n_messages: Counter[str] = Counter()
        self.n_bytes = 0
        self.object_version = 1
        self.accepted_at_ms = {1: 0.0}
        self.down_until_ms = -1.0
        self.slow_until_ms = -1.0
        self.faults_until_ms = 0.0
        self.loss_ratio = 0.0
        self.n_routers = n_routers
        self._sequence = count()
        self._events: list[tuple[float, int, Callback]] = []
        self._cuts: list[tuple[frozenset[int], float]] = []
        self._pending_faults: dict[str, list[Fault]] = {}
        self._stored = decode_config(numbered_config(1))
        self._infos = [_info(number) for number in range(n_routers)]
        self.routers = [LoopRouter(self, number) for number in range(n_routers)]
        for router in self.routers:
            router.start()

    def info(self, number: int) -> RouterInfo:
        """Return the ID, availability zone and region of a router."""
        return self._infos[number]

    def peers_of(self, number: int) -> list[RouterInfo]:
        """List the other routers."""
        return [*self._infos[:number], *self._infos[number + 1 :]]

    def after(self, delay_ms: float, callback: Callback) -> None:
        """Call back after a delay of the simulated clock."""
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, next(self._sequence), callback)
        )

    def run(self, duration_ms: float) -> None:
        """Advance the clock, running the callbacks that are due."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = until_ms

    def is_store_down(self) -> bool:
        """Return whether the object store is unavailable."""
        return self.now_ms < self.down_until_ms

    def extra_read_ms(self) -> float:
        """Return by how much store reads are slower now, in milliseconds."""
        return SLOW_READ_DELAY_MS if self.now_ms < self.slow_until_ms else 0.0

    def cut(self, side: Iterable[int], until_ms: float) -> None:
        """Partition these routers from the others and the store until a given time."""
        self._cuts.append((frozenset(side), until_ms))

    def is_cut(self, one: int, other: int) -> bool:
        """Return whether a partition separates two routers or one and the store."""
        return any(
            (one in side) != (other in side) and self.now_ms < until_ms
            for side, until_ms in self._cuts
        )

    def transmit(self, sender: LoopRouter, action: SendToPeer) -> None:
        """Deliver a message after a random delay, unless it is lost or cut off."""
        target = self.routers[int(action.router_id.removeprefix("router-"))]
        self.n_messages[type(action.message).__name__] += 1
        self.n_bytes += len(msgspec.msgpack.encode(action.message))
        if self.is_cut(sender.number, target.number):
            return
        if self.random.random() < self.loss_ratio:
            return
        self.reach_step("passed_on", sender)
        sender_id = self._infos[sender.number].router_id
        delay_ms = NETWORK_DELAY_MS * self.random.uniform(0.5, 3.0)
        target.call_later(delay_ms, lambda: target.receive(sender_id, action.message))

    def change(self) -> bool:
        """Store the next version; return False if the store is down."""
        if self.is_store_down():
            return False
        version = self.newest() + 1
        self.accepted_at_ms[version] = self.now_ms
        self.object_version += 1
        self._stored = decode_config(numbered_config(version))
        self.reach_step("written", self.routers[0])
        return True

    def restore_older(self) -> None:
        """Store an older configuration under a newer version of the object."""
        self.object_version += 1
        self._stored = decode_config(numbered_config(max(1, self.newest() - 1)))

    def stored_config(self) -> FleetConfig:
        """Return the configuration in the store."""
        return self._stored

    def newest(self) -> int:
        """Return the newest accepted version."""
        return max(self.accepted_at_ms)

    def lagging(self) -> list[int]:
        """List the routers that haven't applied the newest version."""
        return [item.number for item in self.routers if item.version < self.newest()]

    def at_step(self, step: str, fault: Fault) -> None:
        """Inject a fault when a router next reaches the step."""
        self._pending_faults.setdefault(step, []).append(fault)

    def reach_step(self, step: str, router: LoopRouter) -> None:
        """Inject the faults that wait for the step."""
        for fault in self._pending_faults.pop(step, []):
            fault(router)

    def clear_faults(self) -> None:
        """Discard the faults that wait for their step and stop losing messages."""
        self._pending_faults.clear()
        self.loss_ratio = 0.0


def _info(number: int) -> RouterInfo:
    region = REGIONS[number % len(REGIONS)]
    return RouterInfo(f"router-{number}", "", 0, f"{region}-a", region)
