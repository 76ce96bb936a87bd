"""A caller sends the same brief to two hosts, whose routes lead to two services."""

import asyncio
import os
import random

from standins.fleet import HOST, Fleet, config_spec, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OTHER_HOST = "gatu12.example"
N_PAIRS = 12
# The second host gets the brief while the first one's answer streams.
BETWEEN_S = 2.5
DEADLINE_MS = 25_000
ZONE = "seoul-a"


def two_services():
    """The usual configuration, with a second engine service behind a second host."""
    spec = config_spec(2)
    first = spec["routes"][0]
    spec["routes"].append(
        {**first, "name": "r-other", "host": OTHER_HOST, "service": "pool-b"}
    )
    spec["services"].append({**spec["services"][0], "name": "pool-b"})
    return spec


async def send_brief(fleet, router, host, part):
    headers = [
        ("X-Model", "m"),
        ("X-Token-Usage", "5200,700"),
        ("X-Prompt-Prefix", f"5c1e07a2:200,{part}:5000"),
    ]
    request_id = f"{random.getrandbits(64):016x}"
    fleet.record(f"client: {request_id} for {host} at {router.name}, brief {part}")
    _, answer = await fleet.send(
        router,
        "/plan/2f",
        body=f"brief {part}".encode(),
        deadline_ms=DEADLINE_MS,
        request_id=request_id,
        headers=headers,
        host=host,
    )
    seal = answer.headers.get("x-response-seal", "-")
    shown = "complete" if answer.is_complete else "cut"
    fleet.record(f"client: {request_id} got {answer.status} {shown}, seal {seal}")
    return request_id


async def pair(fleet, number):
    routers = [item for item in fleet.routers if item.zone == ZONE]
    first, second = random.sample(routers, 2)
    part = f"{number:08x}"
    sending = fleet.spawn(send_brief(fleet, first, HOST, part))
    await asyncio.sleep(BETWEEN_S)
    other_part = part if TROUBLE else f"{1_000 + number:08x}"
    other_id = await send_brief(fleet, second, OTHER_HOST, other_part)
    await sending
    return other_id


async def main():
    fleet = Fleet("record.txt")
    for runner in fleet.of_service("pool")[6:]:
        runner.service = "pool-b"
    try:
        await fleet.start()
        fleet.store.put("config", "main", two_services())
        await asyncio.sleep(6.0)
        others = []
        for number in range(N_PAIRS):
            others.append(fleet.spawn(pair(fleet, number)))
            await asyncio.sleep(1.0)
        other_ids = set(await asyncio.gather(*others))
        return judge(fleet, other_ids)
    finally:
        await fleet.stop()


def judge(fleet, other_ids):
    """ROUTE: a request is run by a service to which no configuration lets it go.

    MIXED: it goes on from the memory of another request.
    """
    n_wrong = 0
    for runner in fleet.runners:
        for item in runner.arrivals:
            if not item.has_run or item.request_id not in other_ids:
                continue
            is_wrong = runner.service != "pool-b"
            n_wrong += is_wrong
            fleet.record(
                f"runner: {item.request_id} for {item.headers.get('host')} ran at"
                f" {runner.service} {item.runner_id},"
                f" kv-from={item.headers.get('kv-from', '-')}: {item.state}"
            )
    fleet.record(f"{n_wrong} of {len(other_ids)} requests ran at the wrong service")
    fleet.record("BROKEN: ROUTE" if n_wrong else "held")
    return n_wrong > 0


run_case(main)
