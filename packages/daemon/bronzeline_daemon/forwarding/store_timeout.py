"""Limit the time of calls to a store that may not respond."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from bronzeline_kernel.exceptions import StoreUnavailableError

__all__ = ["StoreTimeout"]

# Ten times the latency of a slow store, so that a call without a response does not
# delay recovery.
SHORT_TIMEOUT_S = 0.45

Result = TypeVar("Result")


class StoreTimeout:
    """Give every other call a short timeout while the store may not respond.

    The calls between use the store client's own timeout, in case the store is
    even slower.
    """

    def __init__(self) -> None:
        self._is_short = False

    async def call(self, work: Awaitable[Result], *, is_unsure: bool) -> Result:
        """Return the result of a call; raises `StoreUnavailableError` on timeout."""
        self._is_short = is_unsure and not self._is_short
        try:
            async with asyncio.timeout(SHORT_TIMEOUT_S if self._is_short else None):
                return await work
        except TimeoutError:
            raise StoreUnavailableError("no response; store unavailable") from None
