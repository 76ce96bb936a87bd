"""Wait for the peers that may hold the record of a run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bronzeline_daemon.logs import log_event

__all__ = ["RunLookups"]

# Holders of a run's record answer within 30 ms unless they have failed.
FIND_RUN_TIMEOUT_S = 0.06


@dataclass
class RunLookup:
    """Count the peers that have not yet answered a query for a run's record."""

    n_pending: int
    is_done: asyncio.Event = field(default_factory=asyncio.Event)


class RunLookups:
    """Hold the queries that wait for answers, by the hash of their request."""

    def __init__(self) -> None:
        self._lookups: dict[str, RunLookup] = {}

    def is_open(self, request_hash: str) -> bool:
        """Return whether a query for a run's record waits for answers."""
        return request_hash in self._lookups

    async def wait(
        self, request_hash: str, n_asked: int, ask: Callable[[], None]
    ) -> None:
        """Ask peers; wait for a record or the answers of all, at most 60 ms."""
        lookup = self._lookups[request_hash] = RunLookup(n_asked)
        ask()
        try:
            async with asyncio.timeout(FIND_RUN_TIMEOUT_S):
                await lookup.is_done.wait()
        except TimeoutError:
            log_event("run_holders_silent", n_asked=n_asked)
        finally:
            del self._lookups[request_hash]

    def answer(self, request_hash: str, *, is_found: bool) -> None:
        """Count a peer's answer; a record ends the wait."""
        lookup = self._lookups.get(request_hash)
        if lookup is None:
            return
        lookup.n_pending -= 1
        if is_found or not lookup.n_pending:
            lookup.is_done.set()
