"""Select the decisions to replicate, so that they survive this router."""

from __future__ import annotations

from collections import OrderedDict

from bronzeline_kernel.decisions import (
    GENERATION_PREFIX,
    ORDER_PREFIX,
    Decision,
    DecisionLog,
    root_subject,
)

__all__ = ["ROUTINE_KINDS", "NotableDecisions"]

MAX_NOTABLE_SUBJECTS = 2_000
ROUTINE_KINDS = frozenset({"choose_upstream", "grant"})


class NotableDecisions:
    """Select the decisions on orders and on generations with unusual decisions."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._subjects: OrderedDict[str, None] = OrderedDict()

    def select(self, decision: Decision) -> list[Decision]:
        """Return the decisions to replicate after one was recorded.

        Once a generation is notable, its earlier decisions are included.
        """
        subject = root_subject(decision.subject)
        if subject in self._subjects:
            self._subjects.move_to_end(subject)
            return [decision]
        earlier = self._log.for_subject(subject)
        if not _is_notable(decision, earlier):
            return []
        self._subjects[subject] = None
        if len(self._subjects) > MAX_NOTABLE_SUBJECTS:
            self._subjects.popitem(last=False)
        return earlier


def _is_notable(decision: Decision, all_on_subject: list[Decision]) -> bool:
    if decision.subject.startswith(ORDER_PREFIX):
        return True
    if not decision.subject.startswith(GENERATION_PREFIX):
        return False
    if decision.kind not in ROUTINE_KINDS or not decision.chosen:
        return True
    return sum(item.kind == decision.kind for item in all_on_subject) > 1
