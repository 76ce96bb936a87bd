"""Define the messages between routers about decisions."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.decisions import Decision

__all__ = [
    "DecisionBatch",
    "DecisionBatchTaken",
    "StoryAnswer",
    "StoryQuery",
    "ToldDecision",
]


@dataclass(frozen=True)
class ToldDecision:
    """Attach the deciding router and its wall-clock time to a decision."""

    router_id: str
    at_s: float
    decision: Decision


@dataclass(frozen=True)
class DecisionBatch:
    """Send decisions to a peer that stores them."""

    batch_id: int
    decisions: tuple[ToldDecision, ...]


@dataclass(frozen=True)
class DecisionBatchTaken:
    """Acknowledge that a batch is stored."""

    batch_id: int


@dataclass(frozen=True)
class StoryQuery:
    """Request all decisions on a subject that a peer knows."""

    query_id: int
    subject: str


@dataclass(frozen=True)
class StoryAnswer:
    """Return a router's own decisions and those it stores for others."""

    query_id: int
    decisions: tuple[ToldDecision, ...]
