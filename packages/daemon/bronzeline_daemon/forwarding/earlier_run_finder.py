"""Find what remains of the earlier run of a resent request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from bronzeline_daemon.forwarding.origin_exchange import OriginExchange
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.prompt_list_reader import PromptListReader
from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_kernel.forwarding import CallerRequest, ListedUpstream

__all__ = ["EarlierRunFinder"]


class EarlierRunFinder:
    """Query peers for a run's copy and beginning, and engines for its prompt."""

    def __init__(
        self,
        peers: ForwardingPeers,
        origins: OriginExchange,
        prompts: PromptListReader,
    ) -> None:
        self._peers = peers
        self._origins = origins
        self._prompts = prompts
        self._tasks = BackgroundTasks()

    def find(
        self,
        request: CallerRequest,
        request_hash: str,
        upstreams: Sequence[ListedUpstream],
        on_found: Callable[[], None],
    ) -> None:
        """Query all, and call back when each has answered, failed or timed out."""

        async def find() -> None:
            calls = [
                self._peers.find_run(request_hash),
                self._prompts.read(request.request_id, upstreams),
            ]
            if request.is_taken_up:
                calls.append(self._origins.find(request.resumes_id, request_hash))
            await asyncio.gather(*calls)
            on_found()

        self._tasks.start(find())
