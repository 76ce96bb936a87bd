"""Format decisions as text for operators."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

from bronzeline_kernel.decisions import Decision
from bronzeline_kernel.story.messages import ToldDecision

__all__ = ["StoryLine", "format_decisions"]

MAX_SHOWN_AGAINST = 5
DEFAULT_RULE = "default"
PHRASES = {
    "attach_anew": "followed {chosen} over a new connection",
    "eject": "gets no work for now",
    "fail": "ended early",
    "grant": "given to {chosen}",
    "hand_over": "handed over to another router",
    "lose_upstream": "lost {chosen}",
    "membership": "taken to be {chosen}",
    "order": "order {chosen}",
    "quarantine": "quarantined",
    "refuse": "refused",
    "resume": "went on with {chosen}",
    "stop_new_work": "gets no new work",
}


@dataclass(frozen=True)
class StoryLine:
    """Describe a decision of one router in a line of text."""

    at: str
    router_id: str
    text: str

    def __str__(self) -> str:
        return f"{self.at} {self.router_id}: {self.text}"


def format_decisions(decisions: Iterable[ToldDecision]) -> list[StoryLine]:
    """Format each distinct decision as a line, oldest first."""
    distinct: list[ToldDecision] = []
    for entry in sorted(decisions, key=lambda item: (item.at_s, item.router_id)):
        if not any(_is_same(entry, other) for other in distinct):
            distinct.append(entry)
    return [
        StoryLine(
            _format_time(entry.at_s), entry.router_id, _format_decision(entry.decision)
        )
        for entry in distinct
    ]


def _is_same(one: ToldDecision, other: ToldDecision) -> bool:
    return one.router_id == other.router_id and one.decision == other.decision


def _format_time(at_s: float) -> str:
    moment = datetime.fromtimestamp(at_s, UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment.microsecond // 1000:03d}Z"


def _format_decision(decision: Decision) -> str:
    phrase = PHRASES.get(decision.kind, f"{_spaced(decision.kind)} {{chosen}}")
    parts = [phrase.format(chosen=decision.chosen or "none")]
    parts.append(f": {_spaced(decision.reason)}")
    if decision.against:
        parts.append(f", not {_format_list(decision.against)}")
    details = ", ".join(
        f"{_spaced(name)} {value}" for name, value in decision.details.items()
    )
    if details:
        parts.append(f"; {details}")
    parts.append(f" (by {_format_rule(decision)})")
    return "".join(parts)


def _format_rule(decision: Decision) -> str:
    is_default = decision.rule == DEFAULT_RULE
    name = "the defaults" if is_default else f"exception {decision.rule}"
    version = decision.configuration_version
    return f"{name}, configuration version {version}" if version else name


def _format_list(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:MAX_SHOWN_AGAINST])
    n_more = len(names) - MAX_SHOWN_AGAINST
    return f"{shown} and {n_more} more" if n_more > 0 else shown


def _spaced(name: str) -> str:
    return name.replace("_", " ")
