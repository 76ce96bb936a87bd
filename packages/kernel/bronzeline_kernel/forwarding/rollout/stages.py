"""Decide the stages of one rollout; each is written under a condition.

Addresses rollouts of 12 to 16 s whose deciding router, store or peers may fail at any
moment. Several routers may decide: only the first write of a transition succeeds, and
what the store says then overrules what this router meant to do.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.rollout.evidence import VersionCounts
from bronzeline_kernel.forwarding.rollout.exposure import (
    Exposure,
    may_shift,
    plan_exposure,
)
from bronzeline_kernel.forwarding.rollout.messages import RolloutAnnouncement
from bronzeline_kernel.forwarding.rollout.order import (
    RolloutOrder,
    RolloutState,
    Stage,
)
from bronzeline_kernel.forwarding.rollout.verdict import (
    Judgement,
    Verdict,
    VersionJudge,
)
from bronzeline_kernel.forwarding.settings import RolloutBounds

__all__ = ["RolloutStages", "Situation"]

# The verdict "good" is not given before this share of the duration has passed.
GOOD_AFTER_SHARE = 0.5
# The store responds within 900 ms; a write that gets no response is repeated once.
STORE_MARGIN_MS = 1_200.0
MAX_MARGIN_SHARE = 0.2
# A few bad responses just before the deadline are waited out for this long.
GRACE_MS = 500.0
# Peers answer within 100 ms how far a rollout was before this router started.
ASK_MS = 1_000.0
# A router that takes over has the counts of all others after this time.
COLLECT_MS = 600.0

FINAL_STAGES = {
    RolloutState.COMPLETED: Stage.COMPLETED,
    RolloutState.ROLLED_BACK: Stage.ROLLED_BACK,
}
UNWRITTEN_STAGES = {
    Stage.COMPLETED: Stage.COMPLETING,
    Stage.ROLLED_BACK: Stage.REVERTING,
}


@dataclass(frozen=True)
class Situation:
    """Hold what a decision rests on, as known at one time."""

    totals: Mapping[tuple[str, str], VersionCounts]
    # The routes that lead to the service, with their target latencies.
    targets_ms: Mapping[str, float]
    n_candidate_upstreams: int
    n_control_upstreams: int
    # Attempts that still run at the control.
    n_running_at_control: int


@dataclass
class RolloutStages:
    """Decide one rollout; `tick` returns the state to write, None for none."""

    order: RolloutOrder
    bounds: RolloutBounds
    control: frozenset[str]
    ordered_at_ms: float
    began_at_ms: float
    stage: Stage = Stage.WAITING
    reason: str = ""
    exposure: Exposure = field(default_factory=Exposure)
    judgement: Judgement = field(
        default_factory=lambda: Judgement(Verdict.OPEN, "no responses yet")
    )
    # Whether the store says `running`, and no router has told how far it is.
    is_blind: bool = False
    # Whether evidence led to a revert, None if that is not known.
    is_judged_bad: bool | None = None
    # When the canary stage began, for the rate of requests, and the shifted one.
    _counted_from_ms: float | None = None
    _shifted_at_ms: float = 0.0

    def __post_init__(self) -> None:
        self._judge = VersionJudge(self.order.version)

    @classmethod
    def begin(
        cls,
        order: RolloutOrder,
        bounds: RolloutBounds,
        control: frozenset[str],
        announced: RolloutAnnouncement | None,
        now_ms: float,
    ) -> RolloutStages:
        """Begin to decide an order, going on from what another router has told."""
        stages = cls(order, bounds, control, now_ms, now_ms)
        if order.is_decided:
            stages.update(order)
            return stages
        if announced is not None and not announced.stage.is_final:
            stages.resume(announced, now_ms)
        elif order.state is RolloutState.RUNNING:
            stages.is_blind = True
        return stages

    @property
    def deadline_ms(self) -> float:
        """Return the time by which the outcome is decided, before the duration ends."""
        duration_ms = self.order.duration_ms
        margin_ms = min(STORE_MARGIN_MS, MAX_MARGIN_SHARE * duration_ms)
        return self.ordered_at_ms + duration_ms - margin_ms

    def resume(self, announced: RolloutAnnouncement, now_ms: float) -> None:
        """Go on from the stage that another router, or this one before, has told."""
        self.is_blind = False
        self.ordered_at_ms = now_ms - announced.age_ms
        self.control = frozenset(announced.control)
        if self._may_enter(announced.stage):
            self.stage, self.is_judged_bad = announced.stage, announced.is_judged_bad
        if self._counted_from_ms is None and announced.stage is not Stage.WAITING:
            self._counted_from_ms = self.ordered_at_ms

    def update(self, order: RolloutOrder, *, is_restored: bool = False) -> bool:
        """Take in the entry as read again; its outcome overrules this router's.

        Return False if the order is to be begun anew: it has lost its outcome. After
        the store was restored from a copy, the outcome is written again.
        """
        if self.stage.is_final and not order.is_decided:
            unwritten = UNWRITTEN_STAGES[self.stage]
            if not is_restored or not self._may_enter(unwritten):
                return False
            self._enter(unwritten, "the store was restored")
        self.order = order
        if order.state is not None and order.state in FINAL_STAGES:
            self._enter(FINAL_STAGES[order.state], self.reason or "read from the store")
        return True

    def withdraw(self) -> None:
        """Stop, as the entry is gone: the candidate gets no more requests."""
        if not self.stage.is_final:
            if self.stage is not Stage.REVERTING:
                self.is_judged_bad = False
            self._enter(Stage.ROLLED_BACK, "the order was withdrawn")

    def follow(
        self, announced: RolloutAnnouncement, now_ms: float, era: int = 0
    ) -> None:
        """Go along with another deciding router that is further.

        One that tells of an earlier era of the store may mean another order, as
        revisions are given out again.
        """
        is_same = (announced.version, announced.created_revision) == (
            self.order.version,
            self.order.created_revision,
        )
        if (
            not is_same
            or announced.era < era
            or self.stage.is_final
            or announced.stage.is_final
        ):
            return
        if self.is_blind:
            self.resume(announced, now_ms)
        elif announced.stage.is_reverted:
            self._revert(f"{announced.decider} reverts it", announced.is_judged_bad)
        elif announced.stage.is_shifted and self.stage is Stage.CANARY:
            self._shifted_at_ms = now_ms
            self._enter(Stage.SHIFTED, f"{announced.decider} moves the traffic")

    def tick(self, situation: Situation, now_ms: float) -> RolloutState | None:
        """Decide; return the state that the store must be given, None if it has it."""
        if self.stage.is_final:
            return None
        if self.is_blind:
            # Nobody knows what the candidate got before all routers failed.
            if now_ms - self.began_at_ms < ASK_MS:
                return None
            self.is_blind = False
            self._revert("what was counted is lost", is_judged_bad=False)
        if self.stage not in {Stage.WAITING, Stage.REVERTING}:
            self._judge_now(situation, now_ms)
        self._advance(situation, now_ms)
        self._plan(situation, now_ms)
        return self._wanted_state()

    def announced(self, era: int, decider: str, now_ms: float) -> RolloutAnnouncement:
        """Return what to tell the other routers."""
        return RolloutAnnouncement(
            self.order.service,
            self.order.version,
            self.stage,
            tuple(sorted(self.control)),
            self.exposure.shares,
            self.exposure.n_upstreams,
            max(0.0, now_ms - self.ordered_at_ms),
            self.order.created_revision,
            era,
            self.order.revision,
            decider,
            self.is_judged_bad,
        )

    def _judge_now(self, situation: Situation, now_ms: float) -> None:
        self.judgement = self._judge.judge(
            situation.totals, self.control, situation.targets_ms, now_ms
        )

    def _advance(self, situation: Situation, now_ms: float) -> None:
        if self.stage is Stage.WAITING:
            if self.order.state is RolloutState.RUNNING:
                self._counted_from_ms = now_ms
                self._enter(Stage.CANARY, "the store has the order as running")
            elif now_ms >= self.deadline_ms:
                self._revert("the store was not written in time", is_judged_bad=False)
            return
        if self.stage is Stage.REVERTING:
            return
        if not self.control:
            self._advance_alone(now_ms)
        elif self.judgement.verdict is Verdict.BAD:
            self._revert(f"bad: {self.judgement.reason}", is_judged_bad=True)
        elif self.stage is Stage.CANARY:
            self._advance_canary(situation, now_ms)
        elif self.stage is Stage.SHIFTED:
            self._advance_shifted(situation, now_ms)

    def _advance_alone(self, now_ms: float) -> None:
        """Complete an order for the only version there is; nothing is moved."""
        if now_ms >= self.deadline_ms:
            self._enter(Stage.COMPLETING, "the service has no other version")

    def _advance_canary(self, situation: Situation, now_ms: float) -> None:
        is_half_over = now_ms >= self.ordered_at_ms + (
            GOOD_AFTER_SHARE * self.order.duration_ms
        )
        has_upstreams = situation.n_candidate_upstreams > 0
        is_good = self.judgement.verdict is Verdict.GOOD and has_upstreams
        is_due = now_ms >= self._last_ms(is_doubtful=self._judge.awaits_responses)
        if is_due and is_good:
            self._enter(Stage.COMPLETING, "the duration ends")
        elif is_half_over and is_good and self._may_shift(situation, now_ms):
            self._shifted_at_ms = now_ms
            self._enter(Stage.SHIFTED, f"good: {self.judgement.reason}")
        elif now_ms >= self._last_ms(is_doubtful=has_upstreams):
            reason = self.judgement.reason if has_upstreams else "no upstream"
            self._revert(f"out of time: {reason}", is_judged_bad=False)

    def _may_shift(self, situation: Situation, now_ms: float) -> bool:
        assert self._counted_from_ms is not None
        return may_shift(
            self.bounds,
            situation.totals,
            self.order.version,
            now_ms - self._counted_from_ms,
            self.deadline_ms + GRACE_MS - now_ms,
        )

    def _advance_shifted(self, situation: Situation, now_ms: float) -> None:
        if now_ms >= self.deadline_ms:
            if self.judgement.verdict is Verdict.GOOD:
                if now_ms >= self._last_ms(is_doubtful=self._judge.awaits_responses):
                    self._enter(Stage.COMPLETING, "the duration ends")
            elif now_ms >= self._last_ms(is_doubtful=True):
                reason = self.judgement.reason
                self._revert(f"no longer good: {reason}", is_judged_bad=False)
            return
        is_idle = not situation.n_running_at_control
        is_good = self.judgement.verdict is Verdict.GOOD
        # Reports of what was sent before the shift arrive until then.
        is_settled = now_ms >= self._shifted_at_ms + COLLECT_MS
        if is_idle and is_good and is_settled:
            self._enter(Stage.COMPLETING, "nothing runs at the control")

    def _last_ms(self, *, is_doubtful: bool) -> float:
        return self.deadline_ms + (GRACE_MS if is_doubtful else 0.0)

    def _plan(self, situation: Situation, now_ms: float) -> None:
        self.exposure = Exposure()
        if self.stage is not Stage.CANARY or not self.control:
            return
        if now_ms - self.began_at_ms < COLLECT_MS and self._is_taken_over:
            return
        assert self._counted_from_ms is not None
        self.exposure = plan_exposure(
            self.bounds,
            situation.totals,
            self.order.version,
            now_ms - self._counted_from_ms,
            self.deadline_ms - now_ms,
            situation.targets_ms,
            situation.n_control_upstreams,
            self._judge.usual_first_ms,
        )

    @property
    def _is_taken_over(self) -> bool:
        return self._counted_from_ms == self.ordered_at_ms

    def _wanted_state(self) -> RolloutState | None:
        # A second write of the same order removes the status. Without it, a router that
        # begins later would take the order for a new one.
        if self.order.state is None and self.stage in {Stage.CANARY, Stage.SHIFTED}:
            return RolloutState.RUNNING
        wanted = {
            Stage.WAITING: RolloutState.RUNNING,
            Stage.COMPLETING: RolloutState.COMPLETED,
            Stage.REVERTING: RolloutState.ROLLED_BACK,
        }.get(self.stage)
        return None if wanted is self.order.state else wanted

    def _revert(self, reason: str, is_judged_bad: bool | None) -> None:
        if self.stage is not Stage.REVERTING:
            self.is_judged_bad = is_judged_bad
        self._enter(Stage.REVERTING, reason)

    def _may_enter(self, stage: Stage) -> bool:
        """Return whether a stage leaves the service a version to run at.

        Without a control there is nothing to revert to.
        """
        return stage is not Stage.REVERTING or bool(self.control)

    def _enter(self, stage: Stage, reason: str) -> None:
        if stage is not self.stage and self._may_enter(stage):
            self.stage, self.reason = stage, reason
