"""Measure the baseline for resuming: restart a lost generation from the beginning."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace

from bronzeline_daemon.plugins.http_engine import HttpEngine
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.fleet import Upstream, UpstreamKind
from bronzeline_kernel.protocols import EngineRequest, TokenFrame
from bronzeline_standins.engine import EngineServer
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.ports import HOST

__all__ = ["NaiveRestart", "measure_naive_restart"]


@dataclass(frozen=True)
class NaiveRestart:
    """Hold the cost of an engine loss if its generation starts from the beginning."""

    n_tokens_before_loss: int
    gap_ms: float
    n_tokens_repeated: int


async def measure_naive_restart(
    options: EngineOptions, request: EngineRequest, n_tokens_before_loss: int
) -> NaiveRestart:
    """Kill an engine after some tokens and repeat the whole request on a second one."""
    first, second = (EngineServer(f"naive-{item}", options) for item in range(2))
    first.start()
    second.start()
    connector = HttpEngine()
    lost = asyncio.Event()
    caught_up = asyncio.Event()
    times_ms: list[float] = []

    def on_first(frame: TokenFrame) -> None:
        if frame.index + 1 >= n_tokens_before_loss and not lost.is_set():
            times_ms.append(time.monotonic() * 1000.0)
            lost.set()

    def on_second(frame: TokenFrame) -> None:
        if frame.index >= n_tokens_before_loss and not caught_up.is_set():
            times_ms.append(time.monotonic() * 1000.0)
            caught_up.set()

    async def run(server: EngineServer, on_frame: object) -> None:
        try:
            await connector.generate(_upstream(server), request, on_frame)  # type: ignore[arg-type]
        except UpstreamError:
            return

    first_task = asyncio.ensure_future(run(first, on_first))
    await lost.wait()
    first.die()
    task = asyncio.ensure_future(run(second, on_second))
    await caught_up.wait()
    second.die()
    await asyncio.gather(first_task, task)
    gap_ms = times_ms[1] - times_ms[0]
    return NaiveRestart(n_tokens_before_loss, gap_ms, n_tokens_before_loss)


def _upstream(server: EngineServer) -> Upstream:
    upstream = Upstream(
        server.upstream_id, "naive", UpstreamKind.ENGINE, HOST, server.port, "", ""
    )
    return replace(upstream, version="1")
