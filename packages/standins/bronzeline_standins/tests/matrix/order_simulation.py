"""Simulate the order machines of several routers on a simulated clock.

The store, the service and the routers are fakes that faults can be injected into.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from random import Random

from bronzeline_kernel.orders import (
    OrderMachine,
    OrderSpec,
    OrderStatus,
    Outcome,
    claim_key,
    decode_claim,
    encode_claim,
    request_digest,
)
from bronzeline_kernel.orders import messages as m

HOP_MS = 1.0
GRANT_MS = 20.0
CALL_TIMEOUT_MS = 1_000.0
DEADLINE_MS = 4_000.0
END_MS = 400_000.0


@dataclass
class Entry:
    version: int
    value: bytes


@dataclass
class Caller:
    """Hold one order of a caller, with the result and waiting time of each send."""

    key: str
    body: bytes
    is_key_given: bool = True
    results: list = field(default_factory=list)
    waits_ms: list = field(default_factory=list)


class FakeStore:
    def __init__(self, simulation):
        self.simulation = simulation
        self.entries = {}
        self.version = 0
        self.n_calls = Counter()
        self.down_until_ms = -1.0
        self.slow_until_ms = -1.0
        self.n_replies_to_lose = 0
        self.late_write_delays_ms = []

    def is_down(self):
        return self.simulation.now_ms < self.down_until_ms

    def put(self, key, value, expected):
        entry = self.entries.get(key)
        if (entry.version if entry else 0) != expected:
            return m.ClaimConflict()
        self.version += 1
        self.entries[key] = Entry(self.version, value)
        return m.ClaimWritten(self.version)

    def write(self, router, key, claim, expected, reply):
        """Perform a write, subject to the current faults."""
        simulation, value = self.simulation, encode_claim(claim)
        self.n_calls["write"] += 1
        simulation.reach_step("claiming", router, key)
        if router.is_cut():
            simulation.after(CALL_TIMEOUT_MS, lambda: reply(m.WriteOutcomeUnknown()))
        elif self.is_down():
            simulation.after(HOP_MS, lambda: reply(m.StoreUnavailable()))
        elif self.late_write_delays_ms:
            simulation.after(
                self.late_write_delays_ms.pop(), lambda: self.put(key, value, expected)
            )
            simulation.after(HOP_MS, lambda: reply(m.WriteOutcomeUnknown()))
        else:
            simulation.after(
                self._delay(),
                lambda: self._complete_write(router, key, value, expected, reply),
            )

    def _complete_write(self, router, key, value, expected, reply):
        reply_message = self.put(key, value, expected)
        is_slow = self.simulation.now_ms < self.slow_until_ms
        self.simulation.reach_step("claimed", router, key)
        if self.n_replies_to_lose:
            self.n_replies_to_lose -= 1
            reply_message = m.WriteOutcomeUnknown()
        elif is_slow or router.is_cut():
            reply_message = m.WriteOutcomeUnknown()
        self.simulation.after(HOP_MS, lambda: reply(reply_message))

    def _delay(self):
        return 1_500.0 if self.simulation.now_ms < self.slow_until_ms else HOP_MS

    def read(self, router, key, reply):
        self.n_calls["read"] += 1
        if router.is_cut() or self.is_down():
            self.simulation.after(HOP_MS, lambda: reply(m.StoreUnavailable()))
        else:
            delay = self._delay()
            self.simulation.after(
                delay, lambda: reply(self._read_entry(key, m.ClaimRead))
            )

    def watch(self, router, key, after, timeout_ms, reply):
        self.n_calls["read"] += 1
        self._poll(router, key, after, self.simulation.now_ms + timeout_ms, reply)

    def _poll(self, router, key, after, until_ms, reply):
        entry_read = self._read_entry(key, m.WatchEnded)
        is_reachable = not (router.is_cut() or self.is_down())
        if is_reachable and entry_read.version > after:
            reply(entry_read)
        elif self.simulation.now_ms >= until_ms:
            reply(m.WatchEnded(0, None))
        else:
            self.simulation.after(
                25.0, lambda: self._poll(router, key, after, until_ms, reply)
            )

    def _read_entry(self, key, kind):
        entry = self.entries.get(key)
        if entry is None:
            return kind(0, None)
        return kind(entry.version, decode_claim(entry.value))


class FakeService:
    """Count the runs of each order, and fail calls before or after their effect.

    A service that checks fencing numbers runs each order at most once.
    """

    def __init__(self, simulation, checks_fence, has_look_up):
        self.simulation = simulation
        self.checks_fence = checks_fence
        self.has_look_up = has_look_up
        self.n_runs = Counter()
        self.bodies = {}
        self.faults = []
        self.n_failed_calls = 0

    def call(self, router, key, body, reply):
        simulation = self.simulation
        simulation.reach_step("dispatching", router, key)
        fault = self.faults.pop() if self.faults else ""
        self.n_failed_calls += bool(fault and fault != "unreachable") or router.is_cut()
        if router.is_cut():
            runs_late = simulation.random.choice((True, False))
            simulation.after(
                CALL_TIMEOUT_MS, lambda: reply(m.UpstreamOutcomeUnknown("cut"))
            )
            if runs_late:
                simulation.after(6_000.0, lambda: self._run(key, body))
            return
        if fault == "unreachable":
            simulation.after(HOP_MS, lambda: reply(m.UpstreamUnreachable()))
        elif fault == "before":
            simulation.after(HOP_MS, lambda: reply(m.UpstreamOutcomeUnknown("died")))
        else:
            simulation.after(
                HOP_MS, lambda: self._respond(router, key, body, fault, reply)
            )

    def _respond(self, router, key, body, fault, reply):
        outcome = self._run(key, body)
        if fault == "after":
            outcome = None
        self.simulation.reach_step("answered", router, key)
        is_lost = "answered" in self.faults
        if is_lost:
            self.faults.remove("answered")
        if is_lost or outcome is None or router.is_cut():
            self.n_failed_calls += 1
            self.simulation.after(
                HOP_MS, lambda: reply(m.UpstreamOutcomeUnknown("lost"))
            )
        else:
            self.simulation.after(HOP_MS, lambda: reply(m.UpstreamAnswered(outcome)))

    def _run(self, key, body):
        if self.checks_fence and self.n_runs[key]:
            return self._outcome(key)
        self.n_runs[key] += 1
        self.bodies[key] = body
        return self._outcome(key)

    def _outcome(self, key):
        return Outcome(200, {}, key.encode() + b"/" + self.bodies[key])

    def look_up(self, router, key, reply):
        if router.is_cut():
            reply_message = m.LookUpEnded(None)
        else:
            has_run = self.n_runs[key] > 0
            reply_message = m.LookUpEnded(self._outcome(key) if has_run else None)
        self.simulation.after(HOP_MS, lambda: reply(reply_message))


class FakeRouter:
    """Execute the work of order machines; defer it while paused, drop it once dead."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.number = number
        self.is_alive = True
        self.paused_until_ms = -1.0
        self.cut_until_ms = -1.0
        self.deferred = []

    def is_cut(self):
        return self.simulation.now_ms < self.cut_until_ms

    def is_paused(self):
        return self.simulation.now_ms < self.paused_until_ms

    def pause(self, duration_ms):
        self.paused_until_ms = self.simulation.now_ms + duration_ms
        self.simulation.after(duration_ms, self.resume)

    def resume(self):
        if self.is_paused():
            return
        deferred, self.deferred = self.deferred, []
        for work in deferred:
            self.execute(work)

    def execute(self, work):
        """Do the work now, after the pause, or never if the router is dead."""
        if not self.is_alive:
            return
        if self.is_paused():
            self.deferred.append(work)
        else:
            work()


class OrderRun:
    """Run one order machine on one router."""

    def __init__(self, simulation, router, caller):
        self.simulation, self.router, self.caller = simulation, router, caller
        self.started_ms = simulation.now_ms
        nonce = f"{router.number}/{next(simulation.ids)}"
        self.key = claim_key("guild", "desk", caller.key)
        if not caller.is_key_given:
            self.key += f"/{nonce}"
        self.machine = OrderMachine(
            OrderSpec(
                owner=str(router.number),
                nonce=nonce,
                request_digest=request_digest("POST", "/orders", caller.body),
                received_at_ms=simulation.now_ms,
                deadline_ms=DEADLINE_MS,
                is_key_from_caller=caller.is_key_given,
                has_look_up=simulation.service.has_look_up,
                is_confirmed=simulation.is_confirmed,
            )
        )
        self.timers = {}
        simulation.reach_step("received", router, self.key)
        router.execute(
            lambda: self.execute_actions(self.machine.start(simulation.now_ms))
        )

    def receive(self, message):
        self.router.execute(
            lambda: self.execute_actions(
                self.machine.handle(message, self.simulation.now_ms)
            )
        )

    def execute_actions(self, actions):
        for action in actions:
            self.report_step(action)
            self.router.execute(lambda action=action: self.perform(action))

    def report_step(self, action):
        step = {m.RequestUpstream: "queued", m.Deliver: "delivered"}.get(type(action))
        if isinstance(action, m.LookUp):
            step = "settling"
        if isinstance(action, m.WriteClaim) and action.claim.state.is_final:
            step = "settling"
        if step:
            self.simulation.reach_step(step, self.router, self.key)

    def perform(self, action):
        simulation, store = self.simulation, self.simulation.store
        match action:
            case m.SetTimer(timer, at_ms):
                self.timers[timer] = at_ms
                simulation.after(
                    max(0.0, at_ms - simulation.now_ms),
                    lambda: self.fire_timer(timer, at_ms),
                )
            case m.RequestUpstream():
                simulation.after(GRANT_MS, lambda: self.receive(simulation.grant()))
            case m.WriteClaim(claim, expected):
                store.write(self.router, self.key, claim, expected, self.receive)
            case m.ReadClaim():
                store.read(self.router, self.key, self.receive)
            case m.WatchClaim(after, timeout_ms):
                store.watch(self.router, self.key, after, timeout_ms, self.receive)
            case m.CallUpstream():
                simulation.service.call(
                    self.router, self.key, self.caller.body, self.receive
                )
            case m.LookUp():
                simulation.service.look_up(self.router, self.key, self.receive)
            case m.Deliver(result):
                self.caller.results.append((self.key, result))
                self.caller.waits_ms.append(simulation.now_ms - self.started_ms)

    def fire_timer(self, timer, at_ms):
        if self.timers.get(timer) == at_ms:
            self.receive(m.TimerFired(timer))


class OrderSimulation:
    """Hold the routers, the store, the service and the simulated clock."""

    def __init__(
        self, seed, *, checks_fence=False, has_look_up=True, is_confirmed=False
    ):
        self.random = Random(seed)
        self.now_ms = 0.0
        self.ids = count()
        self.events = []
        self.is_confirmed = is_confirmed
        self.store = FakeStore(self)
        self.service = FakeService(self, checks_fence, has_look_up)
        self.routers = [FakeRouter(self, number) for number in range(5)]
        self.pending_faults = {}
        self.refusals = 0

    def after(self, delay_ms, work):
        heapq.heappush(self.events, (self.now_ms + delay_ms, next(self.ids), work))

    def at_step(self, step, fault):
        """Call the fault with the router when an order first reaches the step."""
        self.pending_faults.setdefault(step, []).append(fault)

    def reach_step(self, step, router, key):
        faults = self.pending_faults.pop(step, [])
        for fault in faults:
            fault(router)

    def grant(self):
        if self.refusals:
            self.refusals -= 1
            return m.UpstreamRefused("overloaded", 500.0)
        return m.UpstreamGranted(f"plain-{self.random.randrange(3)}")

    def send(self, caller, number):
        return OrderRun(self, self.routers[number], caller)

    def run(self, until_ms=END_MS):
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, work = heapq.heappop(self.events)
            work()
        self.now_ms = max(self.now_ms, until_ms)

    def expire(self):
        """Delete claims in a final state, as the sweep does after their retention."""
        for key, entry in list(self.store.entries.items()):
            if decode_claim(entry.value).state.is_final:
                del self.store.entries[key]

    def problems(self, callers):
        """Return a message for each violated invariant of orders."""
        problems = []
        for caller in callers:
            for key, result in caller.results:
                n_runs = self.service.n_runs[key]
                if n_runs > 1:
                    problems.append(f"{key[:12]} ran {n_runs} times")
                is_refused = result.status is OrderStatus.NOT_RUN
                if is_refused and result.reason != "key_reused" and n_runs:
                    problems.append(f"{key[:12]}: false not_run: {result.reason}")
                if result.status is OrderStatus.ANSWERED:
                    expected_body = key.encode() + b"/" + caller.body
                    if n_runs != 1 or result.outcome.body != expected_body:
                        problems.append(f"{key[:12]}: response of another order")
        for key, n_runs in self.service.n_runs.items():
            if n_runs > 1:
                problems.append(f"{key[:12]} ran {n_runs} times")
        return problems
