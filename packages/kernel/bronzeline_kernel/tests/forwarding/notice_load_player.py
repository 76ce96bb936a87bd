"""Play streams of several routers while engines leave in turn and others rest."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from bronzeline_kernel.forwarding import Fault, UpstreamNotice
from bronzeline_kernel.tests.forwarding.fleet_load_player import (
    REPORT_DELAY_MS,
    FleetLoadPlayer,
)
from bronzeline_kernel.tests.forwarding.load_player import STEP_MS, EngineSpeed
from bronzeline_kernel.tests.forwarding.load_result import summarize

LENGTH_MS = 15_000.0
SEEDS = (1, 2, 3)
BUDGET_MS = 25_000.0
# Engines leave one after the other, serve on for a while, and start anew.
LEAVE_FROM_MS, LEAVE_EVERY_MS = 2_000.0, 3_000.0
SERVES_ON_MS, DOWN_MS = 1_500.0, 700.0
# Half of the callers return later than they were told by up to this.
RETURN_DELAY_MS = 40.0


@dataclass(frozen=True)
class NoticeLoad:
    """Set how many streams come, which engines leave, and which rest when."""

    rate_per_s: float
    leaving: tuple[str, ...] = ()
    resting: tuple[str, ...] = ()
    rests_at_ms: tuple[float, ...] = ()
    rest_ms: float = 1_500.0


ALL_ENGINES = tuple(f"zone-{zone}-{number}" for zone in "abc" for number in range(3))
NOTICE_LOADS = {
    "four leave in turn": NoticeLoad(
        3.6, ("zone-a-0", "zone-b-0", "zone-c-0", "zone-a-1")
    ),
    "a third rests four times": NoticeLoad(
        3.6,
        resting=("zone-a-2", "zone-b-2", "zone-c-2"),
        rests_at_ms=(2_000.0, 5_000.0, 8_000.0, 11_000.0),
    ),
    "some leave while others rest": NoticeLoad(
        3.6,
        ("zone-a-0", "zone-b-0", "zone-c-0", "zone-a-1"),
        ("zone-a-2", "zone-b-2", "zone-c-2", "zone-b-1"),
        (2_500.0, 5_500.0, 8_500.0, 11_500.0),
    ),
    "all rest at once": NoticeLoad(
        3.0, resting=ALL_ENGINES, rests_at_ms=(4_000.0, 10_000.0)
    ),
}


class NoticePlayer(FleetLoadPlayer):
    """Let engines say that they leave or rest; routers may read it or not."""

    def __init__(self, load, seed, reads_notices):
        super().__init__(EngineSpeed(n_events=140), seed=seed)
        self.load = load
        self.reads_notices = reads_notices
        self.leaving = set()
        self.rest_until_ms = {}
        self.words = []
        self.returns = []
        self.returned = []
        self.told = set()
        self.n_sent_in_rest = 0
        self.n_sent_leaving = 0
        for number, router in enumerate(self.routers):
            notices = router.placement.upstreams.notices
            notices.random = Random(f"{seed}/{number}")
            notices.on_leaving = lambda upstream, _, sender=number: self.words.append(
                (self.now_ms + REPORT_DELAY_MS, sender, upstream, None)
            )
            notices.on_rest = lambda upstream, _, rest_ms, sender=number: (
                self.words.append(
                    (self.now_ms + REPORT_DELAY_MS, sender, upstream, rest_ms)
                )
            )
            router.placement.limits.n_routers = len(self.routers)

    def wait(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            super().wait(STEP_MS)
            self._change_engines()
            self._deliver_words()
            self._return_callers()

    def open(self, engine_run, upstream_id):
        """Open a run unless its engine rests; a leaving one says so."""
        router = engine_run.caller.player
        entry = router.placement.upstreams.get(upstream_id)
        left_ms = self.rest_until_ms.get(upstream_id, 0.0) - self.now_ms
        if left_ms > 0.0:
            self.n_sent_in_rest += 1
            self._say(router, entry, UpstreamNotice(rest_ms=left_ms))
            engine_run.caller.faults.append((engine_run.number, Fault.FULL))
            return
        if upstream_id in self.leaving:
            self.n_sent_leaving += 1
            self._say(router, entry, UpstreamNotice(is_leaving=True))
        super().open(engine_run, upstream_id)

    def _say(self, router, entry, notice):
        if self.reads_notices and entry is not None:
            notices = router.placement.upstreams.notices
            notices.record(entry.incarnation, notice, self.now_ms)

    def _change_engines(self):
        for number, upstream_id in enumerate(self.load.leaving):
            leaves_at_ms = LEAVE_FROM_MS + number * LEAVE_EVERY_MS
            gone_at_ms = leaves_at_ms + SERVES_ON_MS
            if self._is_now(leaves_at_ms):
                self.leaving.add(upstream_id)
            if self._is_now(gone_at_ms):
                self.lose(upstream_id)
                self.leaving.discard(upstream_id)
            if self._is_now(gone_at_ms + DOWN_MS):
                self._start_anew(upstream_id)
        for at_ms in self.load.rests_at_ms:
            if self._is_now(at_ms):
                until_ms = at_ms + self.load.rest_ms
                self.rest_until_ms.update(dict.fromkeys(self.load.resting, until_ms))

    def _is_now(self, at_ms):
        return at_ms <= self.now_ms < at_ms + STEP_MS

    def _start_anew(self, upstream_id):
        self.engines[upstream_id].restart()
        for router in self.routers:
            upstreams = router.placement.upstreams
            entry = upstreams.get(upstream_id)
            upstreams.put(replace(entry, started_at_ms=entry.started_at_ms + 1))

    def _deliver_words(self):
        due = [item for item in self.words if item[0] <= self.now_ms]
        self.words = [item for item in self.words if item[0] > self.now_ms]
        for _, sender, upstream, rest_ms in due:
            for number, router in enumerate(self.routers):
                notices = router.placement.upstreams.notices
                if number != sender and rest_ms is None:
                    notices.receive_leaving(upstream, "1", 0.0, self.now_ms)
                elif number != sender:
                    notices.receive_rest(upstream, "1", rest_ms, self.now_ms)
                    health = router.placement.health
                    health.record_peer_rest(upstream, rest_ms, self.now_ms)

    def _return_callers(self):
        """Let each refused caller come back once, at the time that it was told."""
        for caller in self.callers:
            if caller.outcome == "not_run" and id(caller) not in self.told:
                self.told.add(id(caller))
                delay_ms = max(0.0, self._random.uniform(-1.0, 1.0)) * RETURN_DELAY_MS
                at_ms = self.now_ms + caller.retry_after_ms + delay_ms
                if caller not in self.returned:
                    self.returns.append((at_ms, caller))
        due = [item for item in self.returns if item[0] <= self.now_ms]
        self.returns = [item for item in self.returns if item[0] > self.now_ms]
        for _, caller in due:
            left_ms = max(0.0, caller.deadline_ms - self.now_ms)
            again = self.send(left_ms, caller.n_prompt_tokens)
            self.returned.append(again)


@dataclass(frozen=True)
class NoticeResult:
    """Hold what the callers of a load got, as shares and in milliseconds."""

    served: float
    in_time: float
    p99_ms: float
    n_refused: int
    served_at_return: float
    n_sent_in_rest: int
    n_sent_leaving: int


def play(load, seed, reads_notices):
    """Play a load and return the player once all callers have ended."""
    player = NoticePlayer(load, seed, reads_notices)
    random = Random(seed)
    while player.now_ms < LENGTH_MS:
        player.send(n_prompt_tokens=max(500, round(random.gauss(5_000.0, 1_200.0))))
        player.wait(random.expovariate(load.rate_per_s) * 1_000.0)
    while player.returns or not all(caller.outcome for caller in player.callers):
        player.wait(100.0)
    return player


def measure(load, reads_notices=True):
    """Play a load with each seed and return what its callers got."""
    players = [play(load, seed, reads_notices) for seed in SEEDS]
    returned = [caller for player in players for caller in player.returned]
    callers = [caller for player in players for caller in player.callers]
    first = [caller for caller in callers if caller not in returned]
    served = sum(caller.outcome == "served" for caller in callers)
    at_return = sum(caller.outcome == "served" for caller in returned)
    result = summarize(callers)
    return NoticeResult(
        served / len(first),
        result.in_time * len(callers) / len(first),
        result.p99_ms,
        len(callers) - len(first),
        at_return / len(returned) if returned else 1.0,
        sum(player.n_sent_in_rest for player in players),
        sum(player.n_sent_leaving for player in players),
    )
