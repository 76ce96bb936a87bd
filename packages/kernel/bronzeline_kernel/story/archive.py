"""Keep the decisions that peers have handed over."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from bronzeline_kernel.decisions import concerns_subject, root_subject
from bronzeline_kernel.story.messages import ToldDecision

__all__ = ["StoryArchive"]


class StoryArchive:
    """Keep the latest decisions of peers by subject within a bound."""

    def __init__(self, n_kept: int = 10_000) -> None:
        self._n_kept = n_kept
        self._in_order: deque[ToldDecision] = deque()
        self._by_subject: dict[str, list[ToldDecision]] = {}

    def __len__(self) -> int:
        return len(self._in_order)

    def add(self, decisions: Iterable[ToldDecision]) -> None:
        """Keep decisions that are not kept yet."""
        for told in decisions:
            kept = self._by_subject.setdefault(_subject_of(told), [])
            if told in kept:
                continue
            kept.append(told)
            self._in_order.append(told)
            if len(self._in_order) > self._n_kept:
                self._drop_oldest()

    def for_subject(self, subject: str) -> list[ToldDecision]:
        """List what peers have told of one subject."""
        candidates = self._by_subject.get(root_subject(subject), ())
        return [item for item in candidates if concerns_subject(item.decision, subject)]

    def all(self) -> list[ToldDecision]:
        """List all that is kept, oldest first."""
        return list(self._in_order)

    def _drop_oldest(self) -> None:
        oldest = self._in_order.popleft()
        subject = _subject_of(oldest)
        self._by_subject[subject].remove(oldest)
        if not self._by_subject[subject]:
            del self._by_subject[subject]


def _subject_of(told: ToldDecision) -> str:
    return root_subject(told.decision.subject)
