"""Runners leave while one router is cut off from the store for a moment."""

import asyncio
import os
import random
import time

from standins.fleet import RUNNER, Fleet, run_case
from standins.runner import Runner

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
N_ROUNDS = 14
ROUND_S = 6.5
CUT_S = 1.5
DRAIN_S = 2.5
# The runner serves a little longer than `drain-ms`, and then exits.
LONGER_S = 0.5
STABLE_WINDOW_S = 4.0
ORDERS_PER_S = 20.0
# The router that reads the store for the others.
CUT_ROUTER = "front-busan-a-1"
ZONE = "busan-a"


async def send_order(fleet, router):
    sent_s = time.monotonic()
    request_id, answer = await fleet.send(router, "/book/1", body=b"order")
    fleet.orders[request_id] = (router, sent_s, answer)


async def keep_ordering(fleet):
    while True:
        fleet.spawn(send_order(fleet, random.choice(fleet.routers)))
        await asyncio.sleep(random.expovariate(ORDERS_PER_S))


async def replace_runner(fleet, former, number):
    """Remove a runner's entry without a word of draining; add another runner."""
    host = f"{fleet.base}.{160 + number}"
    other = Runner(fleet, "desk", ZONE, host, RUNNER, "plain", fleet.record)
    fleet.runners.append(other)
    await other.start()
    await asyncio.sleep(2.0)
    cut = fleet.router(CUT_ROUTER)
    cut.link.is_cut = TROUBLE
    cut_s = time.monotonic()
    await asyncio.sleep(0.05)
    fleet.store.delete("servers", former.runner_id)
    former.gone_s = time.monotonic()
    fleet.record(f"runner {former.runner_id}: its entry is removed")
    await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
    cut.link.is_cut = False
    fleet.cuts.append((cut_s, time.monotonic()))
    await asyncio.sleep(max(0.0, former.gone_s + DRAIN_S + LONGER_S - time.monotonic()))
    fleet.record(f"runner {former.runner_id} exits")
    former.stop()
    return other


async def main():
    fleet = Fleet("record.txt")
    fleet.orders, fleet.cuts = {}, []
    try:
        await fleet.start()
        await asyncio.sleep(5.0)
        fleet.spawn(keep_ordering(fleet))
        leaving = next(x for x in fleet.of_service("desk") if x.zone == ZONE)
        for number in range(N_ROUNDS):
            began_s = time.monotonic()
            leaving = await replace_runner(fleet, leaving, number)
            await asyncio.sleep(max(0.0, began_s + ROUND_S - time.monotonic()))
        return judge(fleet)
    finally:
        await fleet.stop()


def was_in_touch(fleet, router, at_s):
    """Return whether a router's link was whole for the window before a time."""
    if router.name != CUT_ROUTER:
        return True
    return not any(
        began_s < at_s and ended_s > at_s - STABLE_WINDOW_S
        for began_s, ended_s in fleet.cuts
    )


def judge(fleet):
    """DRAIN: a request reaches a runner later than the bound, from one in touch."""
    n_late = n_lost = 0
    for runner in fleet.runners:
        gone_s = getattr(runner, "gone_s", None)
        for item in runner.arrivals if gone_s else ():
            if item.at_s <= gone_s + DRAIN_S or item.request_id not in fleet.orders:
                continue
            router, _, answer = fleet.orders[item.request_id]
            if not was_in_touch(fleet, router, item.at_s):
                continue
            n_late += 1
            n_lost += answer.status != 200
            fleet.record(
                f"order {item.request_id} from {router.name} reached"
                f" {runner.runner_id} {1000 * (item.at_s - gone_s):.0f} ms after its"
                f" entry went: {item.state}, the client got {answer.status}"
            )
    fleet.record(f"{n_late} orders late; {n_lost} of them lost as the runner exited")
    fleet.record("BROKEN: DRAIN" if n_late else "held")
    return n_late > 0


run_case(main)
