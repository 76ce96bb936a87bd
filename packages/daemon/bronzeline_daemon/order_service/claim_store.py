"""Store claims in the object API and translate its results into messages."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from bronzeline_kernel.exceptions import (
    AnswerLostError,
    ConflictError,
    StoreError,
    StoreUnavailableError,
)
from bronzeline_kernel.orders import Claim, decode_claim, encode_claim
from bronzeline_kernel.orders.messages import (
    ClaimConflict,
    ClaimRead,
    ClaimWritten,
    StoreUnavailable,
    WatchEnded,
    WriteOutcomeUnknown,
)
from bronzeline_kernel.protocols import ObjectStore, StoredObject

__all__ = ["ClaimStore"]

WATCH_RETRY_S = 0.1


class ClaimStore:
    """Read, write and watch the claims of orders."""

    def __init__(
        self, store: ObjectStore, wall_clock_s: Callable[[], float] = time.time
    ) -> None:
        self._store = store
        self._wall_clock_s = wall_clock_s

    async def write(
        self, key: str, claim: Claim, expected_version: int
    ) -> ClaimWritten | ClaimConflict | WriteOutcomeUnknown | StoreUnavailable:
        """Write a claim if the stored version is the expected one; 0 means none.

        A final claim gets the time of its decision, from which its retention counts.
        """
        if claim.state.is_final:
            claim = replace(claim, decided_at_s=self._wall_clock_s())
        try:
            version = await self._store.put(
                key, encode_claim(claim), expected_version=expected_version
            )
        except ConflictError:
            return ClaimConflict()
        except StoreUnavailableError:
            return StoreUnavailable()
        except AnswerLostError:
            return WriteOutcomeUnknown()
        return ClaimWritten(version)

    async def read(self, key: str) -> ClaimRead | StoreUnavailable:
        """Read a claim; a missing one has version 0."""
        try:
            stored = await self._store.get(key)
        except StoreError:
            return StoreUnavailable()
        if stored is None:
            return ClaimRead(0, None)
        return ClaimRead(stored.version, decode_claim(stored.value))

    async def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> WatchEnded:
        """Wait up to `timeout_ms` for a newer version of a claim."""
        try:
            stored = await self._store.watch(key, after_version, timeout_ms)
        except StoreError:
            await asyncio.sleep(WATCH_RETRY_S)
            return WatchEnded(0, None)
        return _newest(stored)


def _newest(stored: list[StoredObject]) -> WatchEnded:
    if not stored:
        return WatchEnded(0, None)
    newest = max(stored, key=lambda item: item.version)
    return WatchEnded(newest.version, decode_claim(newest.value))
