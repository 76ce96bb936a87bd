"""Limit the memory that buffered responses may take."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.memory_account import HeldKind, MemoryAccount
from bronzeline_kernel.forwarding.upstream_set import Address

__all__ = ["ResponseBudget", "ResponseBuffer", "ResponseLimits"]

BYTES_PER_MIB = 1024 * 1024
# Shares of a VM's memory for the responses to callers' requests. Connections to
# the store and to peers, and control calls to engines, have the default limits.
TOTAL_SHARE = 1 / 32
PER_UPSTREAM_SHARE = 1 / 64


@dataclass(frozen=True)
class ResponseLimits:
    """Set how many bytes of responses are buffered, in all and for one address."""

    total_bytes: int = 4 * BYTES_PER_MIB
    per_upstream_bytes: int = 2 * BYTES_PER_MIB

    @classmethod
    def for_memory(cls, memory_mib: float) -> ResponseLimits:
        """Return the limits for a VM with so much memory."""
        memory_bytes = memory_mib * BYTES_PER_MIB
        return cls(
            int(TOTAL_SHARE * memory_bytes), int(PER_UPSTREAM_SHARE * memory_bytes)
        )


@dataclass
class ResponseBudget:
    """Count the buffered bytes of all responses, and of each address."""

    limits: ResponseLimits = field(default_factory=ResponseLimits)
    n_bytes: int = 0
    # Where the bytes are counted as control responses; None for callers' responses.
    account: MemoryAccount | None = None
    _by_address: Counter[Address] = field(default_factory=Counter)

    def reserve(self, address: Address, n_bytes: int) -> bool:
        """Reserve bytes for a response; return whether they are within the limits."""
        n_of_address = self._by_address[address] + n_bytes
        is_within = (
            self.n_bytes + n_bytes <= self.limits.total_bytes
            and n_of_address <= self.limits.per_upstream_bytes
        )
        if is_within:
            self.n_bytes += n_bytes
            self._by_address[address] = n_of_address
            if self.account is not None:
                self.account.add(HeldKind.CONTROL, n_bytes)
        return is_within

    def release(self, address: Address, n_bytes: int) -> None:
        """Return the bytes of a response that is no longer buffered."""
        self.n_bytes -= n_bytes
        if self.account is not None:
            self.account.release(HeldKind.CONTROL, n_bytes)
        self._by_address[address] -= n_bytes
        if not self._by_address[address]:
            del self._by_address[address]


@dataclass
class ResponseBuffer:
    """Buffer the body of one response within a budget."""

    budget: ResponseBudget
    address: Address
    _body: bytearray = field(default_factory=bytearray)

    def append(self, chunk: bytes) -> bool:
        """Append a chunk; return False without it if it exceeds the budget."""
        if not self.budget.reserve(self.address, len(chunk)):
            return False
        self._body += chunk
        return True

    def pop(self) -> bytes:
        """Return the body and free the buffer."""
        body = bytes(self._body)
        self.budget.release(self.address, len(self._body))
        self._body.clear()
        return body
