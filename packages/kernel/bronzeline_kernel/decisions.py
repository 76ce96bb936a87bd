"""Record decisions with their alternatives and configuration version."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = [
    "GENERATION_PREFIX",
    "ORDER_PREFIX",
    "Decision",
    "DecisionLog",
    "concerns_subject",
    "root_subject",
]

GENERATION_PREFIX = "gen-"
ORDER_PREFIX = "order/"
N_ORDER_PARTS = 4


@dataclass(frozen=True)
class Decision:
    """Represent one decision on a request, an upstream or a router.

    `against` holds the rejected alternatives. `rule` is the configuration exception
    that applied, or `default`.
    """

    at_ms: float
    subject: str
    kind: str
    chosen: str
    reason: str
    against: tuple[str, ...] = ()
    rule: str = "default"
    configuration_version: int = 0
    details: dict[str, str] = field(default_factory=dict)


class DecisionLog:
    """Keep a bounded number of recent decisions, indexed by subject."""

    def __init__(self, n_kept: int = 20_000) -> None:
        self._n_kept = n_kept
        self._in_order: deque[Decision] = deque()
        self._by_subject: dict[str, deque[Decision]] = {}
        self._listeners: list[Callable[[Decision], None]] = []

    def __len__(self) -> int:
        return len(self._in_order)

    def subscribe(self, listener: Callable[[Decision], None]) -> None:
        """Call the listener with each decision recorded from now on."""
        self._listeners.append(listener)

    def record(self, decision: Decision) -> None:
        """Store a decision and notify the listeners."""
        subject = root_subject(decision.subject)
        self._in_order.append(decision)
        self._by_subject.setdefault(subject, deque()).append(decision)
        if len(self._in_order) > self._n_kept:
            self._drop_oldest()
        for listener in self._listeners:
            listener(decision)

    def for_subject(self, subject: str) -> list[Decision]:
        """Return the decisions on a subject and its parts, oldest first."""
        candidates = self._by_subject.get(root_subject(subject), ())
        return [item for item in candidates if concerns_subject(item, subject)]

    def latest(self) -> list[Decision]:
        """Return all stored decisions, oldest first."""
        return list(self._in_order)

    def _drop_oldest(self) -> None:
        subject = root_subject(self._in_order.popleft().subject)
        remaining = self._by_subject[subject]
        remaining.popleft()
        if not remaining:
            del self._by_subject[subject]


def root_subject(subject: str) -> str:
    """Return the request that a subject belongs to, or the subject itself."""
    parts = subject.split("/")
    if subject.startswith(GENERATION_PREFIX):
        return parts[0]
    if subject.startswith(ORDER_PREFIX):
        return "/".join(parts[:N_ORDER_PARTS])
    return subject


def concerns_subject(decision: Decision, subject: str) -> bool:
    """Return whether a decision is on a subject or a part of it.

    For a part of a generation, decisions on the whole generation match.
    """
    if subject.startswith(GENERATION_PREFIX):
        return root_subject(decision.subject) == root_subject(subject)
    found = decision.subject
    return found == subject or found.startswith(f"{subject}/")
