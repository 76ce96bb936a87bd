"""Find out whether an upstream died when the connection of an attempt broke."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bronzeline_daemon.forwarding.attempt import Attempt
from bronzeline_daemon.forwarding.relay_context import RelayContext
from bronzeline_kernel.forwarding import EngineLost, ListedUpstream, PromptLost

__all__ = ["DeathCheck"]

# Their ids fit into one datagram; prompts consist of far fewer parts.
MAX_REPORTED_PARTS = 64


@dataclass(frozen=True)
class DeathCheck:
    """Probe the upstream of a broken attempt, and report its death.

    `part_ids` are the parts of the prompt that no upstream has answered yet.
    """

    context: RelayContext
    request_hash: str
    part_ids: tuple[str, ...]
    on_died: Callable[[], None]
    # Called with whether the upstream responds; one that left does not.
    on_probed: Callable[[bool], None]

    def start(self, attempt: Attempt) -> None:
        """Probe the upstream; nothing is reported if it accepts a connection.

        No request is to blame for the end of an upstream that left.
        """
        upstream = attempt.send.upstream
        if not self.context.is_staying(upstream):
            asyncio.get_running_loop().call_soon(self.on_probed, False)
            return
        broken_at_ms = self.context.clock.now_ms()
        ran_ms = broken_at_ms - attempt.started_at_ms

        def on_result(incarnation: tuple[str, int], is_alive: bool) -> None:
            if not is_alive:
                self._report(upstream, ran_ms, broken_at_ms)
            self.on_probed(is_alive)

        self.context.prober.probe(upstream, on_result)

    def _report(
        self, upstream: ListedUpstream, ran_ms: float, broken_at_ms: float
    ) -> None:
        now_ms = self.context.clock.now_ms()
        lost = EngineLost(
            upstream.upstream_id,
            upstream.service,
            upstream.availability_zone,
            {self.request_hash: ran_ms},
        )
        prompt = PromptLost(
            upstream.upstream_id,
            upstream.service,
            upstream.availability_zone,
            self.request_hash,
            self.part_ids[:MAX_REPORTED_PARTS],
            now_ms - broken_at_ms,
        )
        self.context.quarantine.engine_died(lost, prompt, now_ms)
        self.context.on_upstream_dead(upstream)
        self.on_died()
