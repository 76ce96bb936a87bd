"""Run coroutines on a simulated clock that jumps to the next timer."""

import asyncio


class SimulatedClockLoop(asyncio.SelectorEventLoop):
    """Advance the clock to the next timer whenever no callback is ready."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0

    def time(self):
        return self._now_s

    def now_ms(self):
        return self._now_s * 1000.0

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


def run_simulated(make_coroutine):
    loop = SimulatedClockLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(make_coroutine(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
