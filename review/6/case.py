"""All routers are killed after a request that crashes runners was found out."""

import asyncio
import os

from standins.fleet import Fleet, run_case
from standins.poison import (
    POISON,
    POISON_PART,
    is_poison,
    judge,
    send_others,
    send_plan,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 36.0
# The caller sends the request at this interval, each time with one retry.
AGAIN_S = 5.0
FIRST_S = 3.0
KILL_S = 16.0
DOWN_S = 1.0
# So long after their start, the routers are in touch again.
IN_TOUCH_S = 5.0


async def send_again(fleet, until_s):
    while fleet.now_s() < until_s:
        fleet.spawn(send_plan(fleet, POISON, POISON_PART))
        await asyncio.sleep(AGAIN_S)


async def main():
    fleet = Fleet("record.txt")
    try:
        for runner in fleet.runners:
            runner.is_poison = is_poison
        await fleet.start()
        await asyncio.sleep(FIRST_S)
        fleet.spawn(send_others(fleet, LENGTH_S))
        await send_again(fleet, KILL_S)
        if TROUBLE:
            fleet.record("all routers are killed")
            await fleet.kill_routers()
            await asyncio.sleep(DOWN_S)
            await fleet.start_routers(bootstrap=False)
            await asyncio.sleep(IN_TOUCH_S)
        await send_again(fleet, LENGTH_S)
        await asyncio.sleep(2.0)
        return judge(fleet)
    finally:
        await fleet.stop()


run_case(main)
