"""Decide at which software versions a router's requests may run.

Addresses two versions of a service side by side: each router follows what the deciding
router tells, and goes back to the control when it hears nothing more.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import TypeVar

from bronzeline_kernel.forwarding.rollout.exposure import choose_canaries, is_selected
from bronzeline_kernel.forwarding.rollout.messages import (
    RolloutAnnouncement,
    VersionsAnnouncement,
)
from bronzeline_kernel.forwarding.rollout.order import Stage
from bronzeline_kernel.forwarding.rollout.versions_in_use import VersionsInUse
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["RequestVersions", "RolloutTraffic", "Rule"]

# A running rollout is announced every 500 ms. A follower that hears nothing for this
# long sends no more requests to the candidate, as nobody may be judging it.
ANNOUNCEMENT_LIFETIME_MS = 1_600.0
# Another router that decides, too, is followed once the former one is silent.
DECIDER_SILENT_MS = 1_200.0
# Later stages replace earlier ones of the same rollout, whoever tells them.
RANKS = {
    Stage.WAITING: 0,
    Stage.CANARY: 1,
    Stage.SHIFTED: 2,
    Stage.COMPLETING: 3,
    Stage.REVERTING: 4,
    Stage.COMPLETED: 5,
    Stage.ROLLED_BACK: 5,
}

MayRun = Callable[[ListedUpstream], bool]
# Called with a service and the versions that it is listed with.
OnExcludedOnly = Callable[[str, frozenset[str]], None]
Choice = TypeVar("Choice")


@dataclass(frozen=True)
class Rule:
    """State what is known now of the versions of one service."""

    # The versions that requests go to.
    in_use: frozenset[str]
    excluded: frozenset[str] = frozenset()
    # While a rollout runs.
    candidate: str | None = None
    is_shifted: bool = False
    shares: Mapping[str, float] = field(default_factory=dict)
    canaries: frozenset[str] = frozenset()
    is_decided: bool = False

    def preferences(
        self, route: str, request_id: str, *, is_first: bool
    ) -> tuple[MayRun, ...]:
        """Return at which upstreams to send an attempt, the preferred ones first."""

        def serves(upstream: ListedUpstream) -> bool:
            return upstream.version in self.in_use

        candidate = self.candidate
        if candidate is None or not is_first:
            return (serves,)
        if self.is_shifted:
            return lambda item: item.version == candidate, serves
        share = self.shares.get(route, 0.0)
        if not self.canaries or not is_selected(candidate, request_id, share):
            return (serves,)
        return lambda item: item.upstream_id in self.canaries, serves

    def may_continue(self, upstream: ListedUpstream) -> bool:
        """Return whether a response that began at a version may go on at it."""
        if upstream.version in self.excluded:
            return False
        return not self.is_decided or upstream.version in self.in_use

    def may_retry_at(self, upstream: ListedUpstream) -> bool:
        """Return whether an attempt may follow one that failed."""
        return upstream.version in self.in_use


@dataclass
class _Service:
    """Hold what a router knows of the rollouts of one service."""

    versions: VersionsInUse = field(default_factory=VersionsInUse)
    n_by_version: Counter[str] = field(default_factory=Counter)
    announced: RolloutAnnouncement | None = None
    # When the order was read and when it was announced last, by this router's clock.
    ordered_at_ms: float = 0.0
    announced_at_ms: float = 0.0
    # Whether `on_excluded_only` was called since another version was listed.
    is_excluded_only: bool = False


class RolloutTraffic:
    """Hold the rules of all services; `refresh` is called at short intervals."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = defaultdict(_Service)
        self._rules: dict[str, Rule] = {}
        self._listed: Mapping[tuple[str, str], list[ListedUpstream]] = {}
        # Called once when all listed versions of a service were rolled back.
        self.on_excluded_only: OnExcludedOnly = lambda service, versions: None

    def rule(self, service: str) -> Rule | None:
        """Return the rule for a service, None where all upstreams may be used."""
        return self._rules.get(service)

    def announced(self, service: str, now_ms: float) -> RolloutAnnouncement | None:
        """Return what this router knows of a rollout, with the age it has now."""
        state = self._services.get(service)
        if state is None or state.announced is None:
            return None
        return replace(state.announced, age_ms=now_ms - state.ordered_at_ms)

    def all_announced(self) -> tuple[RolloutAnnouncement, ...]:
        """Return what is known of all rollouts."""
        return tuple(
            item.announced for item in self._services.values() if item.announced
        )

    def control_of(self, service: str, candidate: str) -> frozenset[str]:
        """Return the versions that serve while an order moves to a candidate."""
        state = self._services[service]
        return state.versions.control_of(candidate, state.n_by_version)

    def n_upstreams(self, service: str, versions: Iterable[str]) -> int:
        """Return how many usable upstreams of some versions there are."""
        counts = self._services[service].n_by_version
        return sum(counts[version] for version in set(versions))

    def establish(self, service: str, version: str) -> None:
        """Record the version that an earlier order has put into service."""
        versions = self._services[service].versions
        if version in versions.established:
            versions.established = frozenset({version})

    def announcements(self, now_ms: float) -> tuple[VersionsAnnouncement, ...]:
        """Return the versions in use of services that this router knows for long."""
        return tuple(
            VersionsAnnouncement(
                service, tuple(sorted(versions.established)), versions.n_before
            )
            for service, versions in (
                (service, state.versions) for service, state in self._services.items()
            )
            if versions.is_settled(now_ms) and versions.established
        )

    def adopt(self, announced: VersionsAnnouncement, now_ms: float) -> None:
        """Take over the versions in use from a router that has run for longer."""
        state = self._services[announced.service]
        if state.announced is None or state.announced.stage.is_final:
            versions = frozenset(announced.versions)
            state.versions.adopt(versions, announced.n_before, now_ms)
            self._update_rule(announced.service, state, now_ms)

    def receive(self, announced: RolloutAnnouncement, now_ms: float) -> bool:
        """Take in what a deciding router tells; return whether the stage changed."""
        state = self._services[announced.service]
        known = state.announced
        if known is not None and not self._is_newer(announced, known, state, now_ms):
            return False
        is_same = known is not None and _is_same_rollout(announced, known)
        is_changed = known is None or not is_same or known.stage is not announced.stage
        if not is_same or (known and known.stage.is_final and is_changed):
            state.ordered_at_ms = now_ms - announced.age_ms
        state.announced, state.announced_at_ms = announced, now_ms
        if is_changed and announced.stage is Stage.COMPLETED:
            state.versions.complete(announced.version, is_earlier=known is None)
        elif self._must_exclude(announced, state, is_changed=is_changed):
            state.versions.roll_back(
                announced.version, is_judged_bad=announced.is_judged_bad
            )
        self._update_rule(announced.service, state, now_ms)
        return is_changed

    def refresh(self, upstreams: Iterable[ListedUpstream], now_ms: float) -> None:
        """Apply the current list of upstreams and expire what was announced."""
        counts: dict[str, Counter[str]] = defaultdict(Counter)
        by_version: dict[tuple[str, str], list[ListedUpstream]] = defaultdict(list)
        for item in upstreams:
            if not item.is_leaving:
                counts[item.service][item.version] += 1
                by_version[item.service, item.version].append(item)
        self._listed = by_version
        for service in counts.keys() | self._services.keys():
            state = self._services[service]
            state.n_by_version = counts[service]
            self._update_rule(service, state, now_ms)

    def _update_rule(self, service: str, state: _Service, now_ms: float) -> None:
        versions, announced = state.versions, state.announced
        if announced is None or announced.stage.is_final or announced.stage.is_reverted:
            in_use = versions.update(state.n_by_version, now_ms)
            self._rules[service] = Rule(
                in_use, versions.excluded - in_use, is_decided=announced is not None
            )
            self._check_excluded_only(service, state)
            return
        versions.observe(state.n_by_version, now_ms)
        control = frozenset(announced.control) or frozenset({announced.version})
        if not versions.established:
            versions.established = frozenset(announced.control)
        excluded = versions.excluded - {announced.version}
        if not any(state.n_by_version[version] for version in control):
            # Without the control, a candidate not judged bad is better than none.
            control |= {announced.version}
        rule = Rule(control, excluded, announced.version)
        is_fresh = now_ms - state.announced_at_ms < ANNOUNCEMENT_LIFETIME_MS
        if not is_fresh or announced.stage is Stage.WAITING:
            self._rules[service] = rule
        elif announced.stage.is_shifted:
            self._rules[service] = replace(rule, is_shifted=True)
        else:
            listed = self._listed.get((service, announced.version), [])
            canaries = choose_canaries(listed, announced.n_upstreams)
            self._rules[service] = replace(
                rule, shares=dict(announced.shares), canaries=canaries
            )

    def _must_exclude(
        self, announced: RolloutAnnouncement, state: _Service, *, is_changed: bool
    ) -> bool:
        """Return whether to exclude a version, or to learn why it was rolled back.

        Without a control, it is the one that already serves. One that was excluded and
        has been gone since is not excluded again when the same outcome is repeated.
        """
        if not announced.stage.is_reverted or not announced.control:
            return False
        return is_changed or announced.version in state.versions.excluded

    def _check_excluded_only(self, service: str, state: _Service) -> None:
        has_excluded_only = state.versions.has_excluded_only
        if has_excluded_only and not state.is_excluded_only:
            self.on_excluded_only(service, state.versions.excluded)
        state.is_excluded_only = has_excluded_only

    def _is_newer(
        self,
        announced: RolloutAnnouncement,
        known: RolloutAnnouncement,
        state: _Service,
        now_ms: float,
    ) -> bool:
        if not _is_same_rollout(announced, known):
            return (announced.era, announced.revision) > (known.era, known.revision)
        if announced.era != known.era:
            return announced.era > known.era
        if RANKS[announced.stage] != RANKS[known.stage]:
            # A decider that has read the entry again may run a rollout anew.
            is_rerun = known.stage.is_final and announced.revision > known.revision
            return RANKS[announced.stage] > RANKS[known.stage] or is_rerun
        if announced.decider <= known.decider:
            return True
        return now_ms - state.announced_at_ms >= DECIDER_SILENT_MS


@dataclass
class RequestVersions:
    """Follow one request: only its first attempt may go to a candidate."""

    traffic: RolloutTraffic
    route: str
    request_id: str
    n_chosen: int = 0

    def required(self, service: str, usable: Iterable[ListedUpstream]) -> MayRun | None:
        """Return where alone the next attempt may run, None without a restriction.

        After the shift a request waits for the candidate while one of its upstreams
        is usable: one sent to the control would be cut off when that stops.
        """
        rule = self.traffic.rule(service)
        if rule is None or not rule.is_shifted or self.n_chosen:
            return None
        may_run, *_ = rule.preferences(self.route, self.request_id, is_first=True)
        return may_run if any(may_run(item) for item in usable) else None

    def choose(
        self,
        service: str,
        choose: Callable[[MayRun | None], Choice | None],
        required: MayRun | None = None,
    ) -> Choice | None:
        """Return the first choice that the rule's preferences lead to.

        Nothing else is chosen than what `required` permits.
        """
        rule = self.traffic.rule(service)
        if rule is None:
            return choose(None)
        is_first = not self.n_chosen
        preferences = rule.preferences(self.route, self.request_id, is_first=is_first)
        for may_run in (required,) if required else preferences:
            choice = choose(may_run)
            if choice is not None:
                self.n_chosen += 1
                return choice
        return None

    def may_choose(self, upstream: ListedUpstream) -> bool:
        """Return whether any of the preferences that `choose` follows accepts it."""
        rule = self.traffic.rule(upstream.service)
        if rule is None:
            return True
        is_first = not self.n_chosen
        preferences = rule.preferences(self.route, self.request_id, is_first=is_first)
        return any(may_run(upstream) for may_run in preferences)

    def allows(self, upstream: ListedUpstream, *, has_begun: bool) -> bool:
        """Return whether the request may be sent to an upstream once more.

        A response that has begun can go on at its version only.
        """
        rule = self.traffic.rule(upstream.service)
        if rule is None:
            return True
        if has_begun:
            return rule.may_continue(upstream)
        return rule.may_retry_at(upstream)


def _is_same_rollout(
    announced: RolloutAnnouncement, known: RolloutAnnouncement
) -> bool:
    return (announced.version, announced.created_revision) == (
        known.version,
        known.created_revision,
    )
