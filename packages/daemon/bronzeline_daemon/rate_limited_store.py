"""Limit the rate of calls to the object store."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from bronzeline_kernel.config import FleetDefaults
from bronzeline_kernel.exceptions import StoreUnavailableError
from bronzeline_kernel.protocols import Clock, ObjectStore, StoredObject
from bronzeline_kernel.rate_limit import TokenBucket

__all__ = ["RateLimitedStore"]

BURST_WINDOW_S = 1.0
MIN_BURST = 4.0
MAX_WAIT_MS = 1_000.0
SPARE_FILL_RATIO = 0.8

CountRouters = Callable[[], int]
ReadLimits = Callable[[], FleetDefaults]


class RateLimitedStore:
    """Limit calls to this router's share of the fleet's rates.

    A call that would wait longer than 1 s raises `StoreUnavailableError`.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        count_routers: CountRouters,
        read_limits: ReadLimits,
    ) -> None:
        self._store = store
        self._clock = clock
        self._count_routers = count_routers
        self._read_limits = read_limits
        self._reads = TokenBucket(MIN_BURST, MIN_BURST)
        self._writes = TokenBucket(MIN_BURST, MIN_BURST)
        self.n_calls: Counter[str] = Counter()
        self.n_refused: Counter[str] = Counter()

    def has_spare_writes(self) -> bool:
        """Return whether non-urgent work may write now."""
        now_ms = self._clock.now_ms()
        return self._bucket("write", now_ms).fill_ratio(now_ms) >= SPARE_FILL_RATIO

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if there is none."""
        await self._admit("read")
        return await self._store.get(key)

    async def list_prefix(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with the prefix."""
        await self._admit("read")
        return await self._store.list_prefix(prefix)

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None = None
    ) -> int:
        """Write an object and return its new version."""
        await self._admit("write")
        return await self._store.put(key, value, expected_version=expected_version)

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete an object."""
        await self._admit("write")
        await self._store.delete(key, expected_version=expected_version)

    async def watch(
        self, prefix: str, after_version: int, timeout_ms: float
    ) -> list[StoredObject]:
        """Wait for objects under the prefix that are newer than the version."""
        await self._admit("read")
        return await self._store.watch(prefix, after_version, timeout_ms)

    async def _admit(self, kind: str) -> None:
        now_ms = self._clock.now_ms()
        bucket = self._bucket(kind, now_ms)
        wait_ms = bucket.reserve(now_ms, MAX_WAIT_MS)
        if wait_ms is None:
            self.n_refused[kind] += 1
            raise StoreUnavailableError(f"this router's {kind} rate limit is exceeded")
        self.n_calls[kind] += 1
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000.0)

    def _bucket(self, kind: str, now_ms: float) -> TokenBucket:
        is_read = kind == "read"
        bucket = self._reads if is_read else self._writes
        limits = self._read_limits()
        fleet_rate = limits.store_reads_per_s if is_read else limits.store_writes_per_s
        rate = fleet_rate / max(1, self._count_routers())
        if rate != bucket.rate_per_s:
            bucket.set_rate(rate, max(MIN_BURST, rate * BURST_WINDOW_S), now_ms)
        return bucket
