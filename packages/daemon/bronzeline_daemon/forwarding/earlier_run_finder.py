"""Find what remains of the earlier run of a resent request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.prompt_list_reader import PromptListReader
from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_kernel.forwarding import ListedUpstream

__all__ = ["EarlierRunFinder"]


class EarlierRunFinder:
    """Query peers for a run's copy and engines for its prompt concurrently."""

    def __init__(self, peers: ForwardingPeers, prompts: PromptListReader) -> None:
        self._peers = peers
        self._prompts = prompts
        self._tasks = BackgroundTasks()

    def find(
        self,
        request_id: str,
        request_hash: str,
        upstreams: Sequence[ListedUpstream],
        on_found: Callable[[], None],
    ) -> None:
        """Query all, and call back when each has answered, failed or timed out."""

        async def find() -> None:
            await asyncio.gather(
                self._peers.find_run(request_hash),
                self._prompts.read(request_id, upstreams),
            )
            on_found()

        self._tasks.start(find())
