"""Bring the stored claim to a target state despite lost replies of the store."""

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

__all__ = ["ClaimSynchronizer", "ObservedClaim"]

FIRST_RETRY_MS = 50.0
MAX_RETRY_MS = 5_000.0


@dataclass(frozen=True)
class ObservedClaim:
    """Hold a claim and its version as last confirmed by the store."""

    version: int
    claim: Claim | None


class ClaimSynchronizer:
    """Read and write one claim, with at most one store call in flight."""

    def __init__(self, target: Claim) -> None:
        self.target = target
        self.version = 0
        self.may_have_written = False
        self._in_flight: Action | None = None
        self._is_retry_due = False
        self._retry_ms = FIRST_RETRY_MS
        self._last_call: Action = ReadClaim()

    @property
    def is_busy(self) -> bool:
        """Return whether a store call is in flight."""
        return self._in_flight is not None

    @property
    def is_unwritten(self) -> bool:
        """Return whether no write has taken effect or can still take effect."""
        return not (self.version or self.may_have_written or self.is_busy)

    def write(self, target: Claim) -> list[Action]:
        """Set the target claim and write it, now or after the call in flight."""
        self.target = target
        return [] if self.is_busy else self._call(WriteClaim(target, self.version))

    def read(self) -> list[Action]:
        """Read the claim, unless the reply to a call in flight will report it."""
        return [] if self.is_busy else self._call(ReadClaim())

    def on_reply(
        self, message: Message, now_ms: float
    ) -> tuple[list[Action], ObservedClaim | None]:
        """Process the reply to the call in flight; return actions and the claim."""
        call, self._in_flight = self._in_flight, None
        match message:
            case ClaimWritten(version) if isinstance(call, WriteClaim):
                return [], self._observed(version, call.claim)
            case ClaimRead(version, claim):
                return [], self._observed(version, claim)
            case WriteOutcomeUnknown():
                self.may_have_written = True
                return self.read(), None
            case ClaimConflict():
                return self.read(), None
            case StoreUnavailable():
                return self._schedule_retry(now_ms), None
        return [], None

    def on_retry(self) -> list[Action]:
        """Repeat the failed call, unless another call was made since."""
        if not self._is_retry_due:
            return []
        is_write = isinstance(self._last_call, WriteClaim) and not self.may_have_written
        return self.write(self.target) if is_write else self.read()

    def _observed(self, version: int, claim: Claim | None) -> ObservedClaim:
        self._retry_ms = FIRST_RETRY_MS
        if claim is not None:
            self.version = version
        return ObservedClaim(version, claim)

    def _call(self, action: Action) -> list[Action]:
        self._in_flight = self._last_call = action
        self._is_retry_due = False
        return [action]

    def _schedule_retry(self, now_ms: float) -> list[Action]:
        self._is_retry_due = True
        at_ms = now_ms + self._retry_ms
        self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)
        return [SetTimer(Timer.RETRY, at_ms)]
