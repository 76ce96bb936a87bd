"""Decide what a router may hold for its callers.

The load addressed: many callers at once whose requests or responses are within the
limits each, but together exceed the memory of the VM.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from bronzeline_kernel.forwarding.memory_shares import HeldShare, MemoryShares

__all__ = [
    "N_BODY_COPIES",
    "HeldKind",
    "MemoryAccount",
    "MemoryLimits",
    "Reservation",
    "body_kind",
    "head_kind",
]

BYTES_PER_MIB = 1024 * 1024
# The rest is for garbage, fragments of the allocator, upstreams' responses, which
# have a budget of their own, and what is decoded from the store and from peers.
ACCOUNT_SHARE = 0.4
# Two bodies of 4 MiB fit, each held twice while it is joined: an attempt whose caller
# was answered may still be writing when that caller's next request arrives.
MIN_TOTAL_BYTES = 24 * BYTES_PER_MIB
# Large bodies and heads, also with small bodies, and with all that precedes a response
# may take these shares.
LARGE_SHARE = 0.7
SMALL_BODY_SHARE = 0.85
# Bodies of ordinary requests are smaller, and so is what their heads take.
MAX_SMALL_BYTES = 64 * 1024
# A body is held once more while it is joined; a small one also while it is sent.
N_BODY_COPIES = 2


class HeldKind(Enum):
    """Name what is held, from what is refused first to what is never refused."""

    LARGE_BODY = "large_body"
    LARGE_HEAD = "large_head"
    SMALL_BODY = "small_body"
    HEAD = "head"
    CONNECTION = "connection"
    RESPONSE = "response"
    # Responses of the store and of engines' control interface, and peers' documents.
    CONTROL = "control"


LARGE_KINDS = frozenset({HeldKind.LARGE_BODY, HeldKind.LARGE_HEAD})
# What has to leave room for control responses.
YIELDING_KINDS = LARGE_KINDS | {HeldKind.SMALL_BODY}


def body_kind(n_bytes: int) -> HeldKind:
    """Return as what a body of which so many bytes are expected or received counts."""
    is_small = n_bytes <= MAX_SMALL_BYTES
    return HeldKind.SMALL_BODY if is_small else HeldKind.LARGE_BODY


def head_kind(n_bytes: int) -> HeldKind:
    """Return as what a head counts that takes so many bytes with its objects."""
    return HeldKind.HEAD if n_bytes <= MAX_SMALL_BYTES else HeldKind.LARGE_HEAD


@dataclass(frozen=True)
class MemoryLimits:
    """Set how many bytes may be held in all."""

    total_bytes: int = MIN_TOTAL_BYTES

    @classmethod
    def for_memory(cls, memory_mib: float, idle_bytes: float) -> MemoryLimits:
        """Return the limits for a VM's memory, of which an idle process takes some."""
        free_bytes = memory_mib * BYTES_PER_MIB - idle_bytes
        return cls(max(MIN_TOTAL_BYTES, int(ACCOUNT_SHARE * free_bytes)))

    def ceiling(self, kind: HeldKind) -> int:
        """Return up to which total a reservation of this kind is granted."""
        match kind:
            case HeldKind.LARGE_BODY | HeldKind.LARGE_HEAD:
                return int(LARGE_SHARE * self.total_bytes)
            case HeldKind.SMALL_BODY:
                return int(SMALL_BODY_SHARE * self.total_bytes)
            case _:
                return self.total_bytes


@dataclass
class MemoryAccount:
    """Count the bytes that are held, by kind."""

    limits: MemoryLimits = field(default_factory=MemoryLimits)
    n_bytes: int = 0
    by_kind: Counter[HeldKind] = field(default_factory=Counter)
    n_refused: Counter[HeldKind] = field(default_factory=Counter)
    shares: MemoryShares = field(default_factory=MemoryShares)

    @property
    def is_over(self) -> bool:
        """Return whether responses, which are never refused, exceed the total.

        Control responses don't count: no caller is closed for them.
        """
        return self.n_bytes - self.by_kind[HeldKind.CONTROL] > self.limits.total_bytes

    def reserve(self, kind: HeldKind, n_bytes: int) -> bool:
        """Reserve bytes; return whether they are within the limit of their kind."""
        n_excluded = 0 if kind in YIELDING_KINDS else self.by_kind[HeldKind.CONTROL]
        if self.n_bytes - n_excluded + n_bytes > self.limits.ceiling(kind):
            self.n_refused[kind] += 1
            return False
        self.add(kind, n_bytes)
        return True

    def add(self, kind: HeldKind, n_bytes: int) -> None:
        """Count bytes that are held in any case."""
        self.n_bytes += n_bytes
        self.by_kind[kind] += n_bytes

    def release(self, kind: HeldKind, n_bytes: int) -> None:
        """Return bytes that are no longer held."""
        self.n_bytes -= n_bytes
        self.by_kind[kind] -= n_bytes


@dataclass
class Reservation:
    """Hold what was reserved for one request until it is released."""

    account: MemoryAccount
    _n_bytes: Counter[HeldKind] = field(default_factory=Counter)
    _n_holders: int = 1
    is_released: bool = False
    # Where the request counts toward its workspace; None if it is not known yet.
    held_share: HeldShare | None = None
    # Whether a body was refused because its workspace or connection holds too much.
    exceeds_share: bool = False

    def grow(self, kind: HeldKind, n_bytes: int) -> bool:
        """Reserve further bytes; return False without them if they are refused."""
        if self.is_released or not self.account.reserve(kind, n_bytes):
            return False
        self._n_bytes[kind] += n_bytes
        self._count(kind, n_bytes)
        return True

    def grow_body(self, n_body_bytes: int, n_bytes: int) -> bool:
        """Reserve bytes of a body of which so many bytes are expected or received.

        A body that turns out large is counted as large as a whole.
        """
        if body_kind(n_body_bytes) is HeldKind.SMALL_BODY:
            return self._grow_within_share(HeldKind.SMALL_BODY, n_bytes)
        n_small_bytes = self._n_bytes.pop(HeldKind.SMALL_BODY, 0)
        self.account.release(HeldKind.SMALL_BODY, n_small_bytes)
        self._count(HeldKind.SMALL_BODY, -n_small_bytes)
        if self._grow_within_share(HeldKind.LARGE_BODY, n_small_bytes + n_bytes):
            return True
        self.account.add(HeldKind.SMALL_BODY, n_small_bytes)
        self._n_bytes[HeldKind.SMALL_BODY] = n_small_bytes
        self._count(HeldKind.SMALL_BODY, n_small_bytes)
        return False

    def release_copy(self, n_bytes: int) -> None:
        """Release the second copy of a large body once it is joined."""
        n_held = self._n_bytes[HeldKind.LARGE_BODY]
        n_released = min(n_bytes, n_held)
        self._n_bytes[HeldKind.LARGE_BODY] -= n_released
        self.account.release(HeldKind.LARGE_BODY, n_released)
        self._count(HeldKind.LARGE_BODY, -n_released)

    def share(self) -> None:
        """Add a holder, which must release as well."""
        self._n_holders += 1

    def release(self) -> None:
        """Release everything once each holder has released."""
        self._n_holders -= 1
        if self._n_holders <= 0:
            self.release_all()

    def release_all(self) -> None:
        """Release everything at once, also for other holders."""
        self.is_released = True
        for kind, n_bytes in self._n_bytes.items():
            self.account.release(kind, n_bytes)
            self._count(kind, -n_bytes)
        self._n_bytes.clear()

    def _grow_within_share(self, kind: HeldKind, n_bytes: int) -> bool:
        account = self.account
        self.exceeds_share = (
            self.held_share is not None
            and not account.shares.may_grow(
                self.held_share,
                n_bytes,
                account.n_bytes,
                account.limits.ceiling(kind),
                is_large=kind is HeldKind.LARGE_BODY,
            )
        )
        if self.exceeds_share:
            account.n_refused[kind] += 1
            return False
        return self.grow(kind, n_bytes)

    def _count(self, kind: HeldKind, n_bytes: int) -> None:
        if self.held_share is not None:
            self.held_share.count(n_bytes, is_large=kind in LARGE_KINDS)
