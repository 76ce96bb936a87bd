"""Bring one claim's object to a wanted state, whatever answers are lost."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.orders.claim import Claim
from bronzeline_kernel.orders.messages import (
    Action,
    ClaimConflict,
    ClaimRead,
    ClaimWritten,
    Message,
    ReadClaim,
    SetTimer,
    StoreUnavailable,
    Timer,
    WriteClaim,
    WriteOutcomeUnknown,
)

__all__ = ["ClaimKeeper", "Seen"]

FIRST_RETRY_MS = 50.0
MAX_RETRY_MS = 5_000.0


@dataclass(frozen=True)
class Seen:
    """Hold what the object certainly held a moment ago."""

    version: int
    claim: Claim | None


class ClaimKeeper:
    """Have at most one call on the store in flight for one claim."""

    def __init__(self, target: Claim) -> None:
        self.target = target
        self.version = 0
        self.may_be_written = False
        self._in_flight: Action | None = None
        self._is_retry_due = False
        self._retry_ms = FIRST_RETRY_MS
        self._last: Action = ReadClaim()

    @property
    def is_busy(self) -> bool:
        """Say whether a call is in flight."""
        return self._in_flight is not None

    @property
    def is_untouched(self) -> bool:
        """Say whether no write of this keeper took or may take effect."""
        return not (self.version or self.may_be_written or self.is_busy)

    def want(self, target: Claim) -> list[Action]:
        """Write the claim, at once or after the call in flight."""
        self.target = target
        return [] if self.is_busy else self._call(WriteClaim(target, self.version))

    def look(self) -> list[Action]:
        """Read the object, unless a call in flight will tell."""
        return [] if self.is_busy else self._call(ReadClaim())

    def on_reply(
        self, message: Message, now_ms: float
    ) -> tuple[list[Action], Seen | None]:
        """Take in the store's answer to the call in flight."""
        call, self._in_flight = self._in_flight, None
        match message:
            case ClaimWritten(version) if isinstance(call, WriteClaim):
                return [], self._saw(version, call.claim)
            case ClaimRead(version, claim):
                return [], self._saw(version, claim)
            case WriteOutcomeUnknown():
                self.may_be_written = True
                return self.look(), None
            case ClaimConflict():
                return self.look(), None
            case StoreUnavailable():
                return self._schedule_retry(now_ms), None
        return [], None

    def on_retry(self) -> list[Action]:
        """Repeat the call that failed, unless another followed it."""
        if not self._is_retry_due:
            return []
        is_write = isinstance(self._last, WriteClaim) and not self.may_be_written
        return self.want(self.target) if is_write else self.look()

    def _saw(self, version: int, claim: Claim | None) -> Seen:
        self._retry_ms = FIRST_RETRY_MS
        if claim is not None:
            self.version = version
        return Seen(version, claim)

    def _call(self, action: Action) -> list[Action]:
        self._in_flight = self._last = action
        self._is_retry_due = False
        return [action]

    def _schedule_retry(self, now_ms: float) -> list[Action]:
        self._is_retry_due = True
        at_ms = now_ms + self._retry_ms
        self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)
        return [SetTimer(Timer.RETRY, at_ms)]
