"""Define the request for an upstream and its possible results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bronzeline_kernel.fleet import Upstream

__all__ = ["Grant", "Refusal", "Ticket", "WorkClass"]


class WorkClass(StrEnum):
    """Classify work that is queued and measured separately."""

    SHORT = "short"
    LONG = "long"
    RESUME = "resume"
    PLAIN = "plain"


@dataclass(frozen=True)
class Ticket:
    """Request an upstream for one attempt or call."""

    ticket_id: str
    workspace: str
    service: str
    work_class: WorkClass
    deadline_at_ms: float
    model: str = ""
    version: str = ""
    excluded_ids: tuple[str, ...] = ()
    prompt_hash: str = ""
    n_tokens_held: int = 0


@dataclass(frozen=True)
class Grant:
    """Assign an upstream to a ticket until the grant is released."""

    ticket_id: str
    upstream: Upstream
    wait_ms: float
    priority: int = 0


@dataclass(frozen=True)
class Refusal:
    """Reject a ticket before any of its work has run."""

    ticket_id: str
    code: str
    retry_after_ms: float
