"""Store the decisions that peers replicate to this router."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from bronzeline_kernel.decisions import concerns_subject, root_subject
from bronzeline_kernel.story.messages import ToldDecision

__all__ = ["StoryArchive"]


class StoryArchive:
    """Keep a bounded number of peers' recent decisions, indexed by subject."""

    def __init__(self, n_kept: int = 10_000) -> None:
        self._n_kept = n_kept
        self._in_order: deque[ToldDecision] = deque()
        self._by_subject: dict[str, list[ToldDecision]] = {}

    def __len__(self) -> int:
        return len(self._in_order)

    def add(self, decisions: Iterable[ToldDecision]) -> None:
        """Store decisions, except those that are already stored."""
        for entry in decisions:
            kept = self._by_subject.setdefault(_subject_of(entry), [])
            if entry in kept:
                continue
            kept.append(entry)
            self._in_order.append(entry)
            if len(self._in_order) > self._n_kept:
                self._drop_oldest()

    def for_subject(self, subject: str) -> list[ToldDecision]:
        """Return the stored decisions on a subject and its parts."""
        candidates = self._by_subject.get(root_subject(subject), ())
        return [item for item in candidates if concerns_subject(item.decision, subject)]

    def all(self) -> list[ToldDecision]:
        """Return all stored decisions, oldest first."""
        return list(self._in_order)

    def _drop_oldest(self) -> None:
        oldest = self._in_order.popleft()
        subject = _subject_of(oldest)
        self._by_subject[subject].remove(oldest)
        if not self._by_subject[subject]:
            del self._by_subject[subject]


def _subject_of(entry: ToldDecision) -> str:
    return root_subject(entry.decision.subject)
