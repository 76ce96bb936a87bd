"""A caller whose request crashes each runner that begins to run it."""

import asyncio
import random
import time

BUDGET_MS = 25_000
POISON = b"a care history that no runner survives"
POISON_PART = "e4402b7d"
STABLE_WINDOW_S = 4.0
MAX_RETRIES = 3
REJECTED = ("rejected", "other instance")
# The sheet: 200 shared and 5,000 tokens in, 140 events of 5 tokens out.
HEADERS = [("X-Model", "m"), ("X-Token-Usage", "5200,700")]
OTHERS_PER_S = 1.9


def is_poison(request):
    return request.body == POISON


async def send_plan(fleet, body, part, key="key-a-1"):
    """Send a request as a client does: one retry, on a new channel, at any machine."""
    path = f"/plan/{part}"
    prefix = ("X-Prompt-Prefix", f"5c1e07a2:200,{part}:5000")
    end_s = time.monotonic() + BUDGET_MS / 1000.0
    for _ in range(2):
        left_ms = int((end_s - time.monotonic()) * 1000)
        if left_ms <= 0:
            return
        router = random.choice(fleet.routers)
        request_id, answer = await fleet.send(
            router,
            path,
            body=body,
            deadline_ms=left_ms,
            key=key,
            headers=[*HEADERS, prefix],
        )
        shown = "complete" if answer.is_complete else "cut"
        fleet.record(
            f"client: {request_id} {path} at {router.name}: {answer.status} {shown}"
            f" retry-after={answer.headers.get('retry-after', '-')}"
        )
        if answer.status == 200 and answer.is_complete:
            return
        wait_s = float(answer.headers.get("retry-after", "0"))
        if wait_s > (end_s - time.monotonic()) / 3.0:
            return
        await asyncio.sleep(wait_s)


async def send_others(fleet, until_s):
    """Send ordinary requests of another caller."""
    number = 0
    while fleet.now_s() < until_s:
        number += 1
        part = f"{number:08x}"
        fleet.spawn(send_plan(fleet, f"plan {number}".encode(), part, key="key-b-1"))
        await asyncio.sleep(1.0 / OTHERS_PER_S)


def judge(fleet):
    """BUDGET: more than three retries later than the window after the third crash.

    Requests that a runner rejected are not counted.
    """
    arrivals = [
        item
        for item in fleet.arrivals()
        if item.body == POISON and item.state not in REJECTED
    ]
    for item in arrivals:
        at_s = item.at_s - fleet.began_s
        fleet.record(
            f"runner: {item.request_id} reached {item.runner_id}"
            f" at {at_s:.3f}: {item.state}"
        )
    crashes_s = sorted(at for runner in fleet.runners for at in runner.crashes_s)
    shown = [round(at - fleet.began_s, 3) for at in crashes_s]
    fleet.record(f"crashes at {shown}")
    if len(crashes_s) < MAX_RETRIES:
        fleet.record("held: the request crashed fewer than three runners")
        return False
    late = [x for x in arrivals if x.at_s > crashes_s[2] + STABLE_WINDOW_S]
    fleet.record(f"third crash at {shown[2]}; {len(late)} arrivals over 4 s later")
    is_broken = len(late) > MAX_RETRIES
    fleet.record("BROKEN: BUDGET" if is_broken else "held")
    return is_broken
