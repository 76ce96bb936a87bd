"""Write decisions as lines that an operator reads."""

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
    """Say in one line what one router decided, when and why."""

    at: str
    router_id: str
    text: str

    def __str__(self) -> str:
        return f"{self.at} {self.router_id}: {self.text}"


def format_decisions(decisions: Iterable[ToldDecision]) -> list[StoryLine]:
    """Return each decision once as a line, oldest first."""
    distinct: list[ToldDecision] = []
    for told in sorted(decisions, key=lambda item: (item.at_s, item.router_id)):
        if not any(_is_same(told, other) for other in distinct):
            distinct.append(told)
    return [
        StoryLine(_date(told.at_s), told.router_id, _sentence(told.decision))
        for told in distinct
    ]


def _is_same(one: ToldDecision, other: ToldDecision) -> bool:
    return one.router_id == other.router_id and one.decision == other.decision


def _date(at_s: float) -> str:
    moment = datetime.fromtimestamp(at_s, UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment.microsecond // 1000:03d}Z"


def _sentence(decision: Decision) -> str:
    phrase = PHRASES.get(decision.kind, f"{_words(decision.kind)} {{chosen}}")
    parts = [phrase.format(chosen=decision.chosen or "none")]
    parts.append(f": {_words(decision.reason)}")
    if decision.against:
        parts.append(f", not {_listed(decision.against)}")
    details = ", ".join(
        f"{_words(name)} {value}" for name, value in decision.details.items()
    )
    if details:
        parts.append(f"; {details}")
    parts.append(f" (by {_rule(decision)})")
    return "".join(parts)


def _rule(decision: Decision) -> str:
    is_default = decision.rule == DEFAULT_RULE
    name = "the defaults" if is_default else f"exception {decision.rule}"
    version = decision.configuration_version
    return f"{name}, configuration version {version}" if version else name


def _listed(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:MAX_SHOWN_AGAINST])
    n_more = len(names) - MAX_SHOWN_AGAINST
    return f"{shown} and {n_more} more" if n_more > 0 else shown


def _words(name: str) -> str:
    return name.replace("_", " ")
