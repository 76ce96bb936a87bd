"""Record what was decided, against what, and by which configuration."""

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
    """Record one decision on a request, an upstream or a router."""

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
    """Keep the latest decisions by subject within a bound."""

    def __init__(self, n_kept: int = 20_000) -> None:
        self._n_kept = n_kept
        self._in_order: deque[Decision] = deque()
        self._by_subject: dict[str, deque[Decision]] = {}
        self._listeners: list[Callable[[Decision], None]] = []

    def __len__(self) -> int:
        return len(self._in_order)

    def subscribe(self, listener: Callable[[Decision], None]) -> None:
        """Call the listener with each later decision."""
        self._listeners.append(listener)

    def record(self, decision: Decision) -> None:
        """Keep a decision and tell the listeners."""
        subject = root_subject(decision.subject)
        self._in_order.append(decision)
        self._by_subject.setdefault(subject, deque()).append(decision)
        if len(self._in_order) > self._n_kept:
            self._drop_oldest()
        for listener in self._listeners:
            listener(decision)

    def for_subject(self, subject: str) -> list[Decision]:
        """List the decisions on one subject, oldest first."""
        candidates = self._by_subject.get(root_subject(subject), ())
        return [item for item in candidates if concerns_subject(item, subject)]

    def latest(self) -> list[Decision]:
        """List all decisions that are kept, oldest first."""
        return list(self._in_order)

    def _drop_oldest(self) -> None:
        subject = root_subject(self._in_order.popleft().subject)
        remaining = self._by_subject[subject]
        remaining.popleft()
        if not remaining:
            del self._by_subject[subject]


def root_subject(subject: str) -> str:
    """Return the request that an attempt belongs to, or the subject itself."""
    parts = subject.split("/")
    if subject.startswith(GENERATION_PREFIX):
        return parts[0]
    if subject.startswith(ORDER_PREFIX):
        return "/".join(parts[:N_ORDER_PARTS])
    return subject


def concerns_subject(decision: Decision, subject: str) -> bool:
    """Say whether a decision is on a subject or on a part of it."""
    if subject.startswith(GENERATION_PREFIX):
        return root_subject(decision.subject) == root_subject(subject)
    found = decision.subject
    return found == subject or found.startswith(f"{subject}/")
