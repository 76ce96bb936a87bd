"""A request runs at a service that its route does not lead to.

First a caller sends the same brief to two hosts, whose routes lead to two services. Then
a route is moved to the other service, a router is killed, and its clients start anew.
"""

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
N_MOVED = 4
# The router is killed so long after the ack of the new route; `config-ms` is 2,500.
KILL_AFTER_S = 2.8


def two_services(version):
    """The usual configuration, with a second engine service behind a second host."""
    spec = config_spec(version)
    first = spec["routes"][0]
    spec["routes"].append(
        {**first, "name": "r-other", "host": OTHER_HOST, "service": "pool-b"}
    )
    spec["services"].append({**spec["services"][0], "name": "pool-b"})
    return spec


def moved_route(version):
    """The same, but the first host's route leads to the second service, too."""
    spec = two_services(version)
    spec["routes"][0]["service"] = "pool-b"
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


async def move_route(fleet):
    """Return the ids of the requests that were sent after the route had moved."""
    killed, *left = [item for item in fleet.routers if item.zone == ZONE]
    parts = [f"{5_000 + number:08x}" for number in range(N_MOVED)]
    sending = [fleet.spawn(send_brief(fleet, killed, HOST, part)) for part in parts]
    await asyncio.sleep(2.0)
    if TROUBLE:
        fleet.record("operator: the route moves to pool-b")
        fleet.store.put("config", "main", moved_route(5))
        await asyncio.sleep(KILL_AFTER_S)
        fleet.record(f"{killed.name} is killed")
        await killed.kill()
    await asyncio.gather(*sending)
    again = [send_brief(fleet, random.choice(left), HOST, part) for part in parts]
    return set(await asyncio.gather(*again))


async def main():
    fleet = Fleet("record.txt")
    for runner in fleet.of_service("pool")[6:]:
        runner.service = "pool-b"
    try:
        await fleet.start()
        fleet.store.put("config", "main", two_services(2))
        await asyncio.sleep(6.0)
        others = []
        for number in range(N_PAIRS):
            others.append(fleet.spawn(pair(fleet, number)))
            await asyncio.sleep(1.0)
        other_ids = set(await asyncio.gather(*others))
        moved_ids = await move_route(fleet)
        return judge(fleet, other_ids, moved_ids)
    finally:
        await fleet.stop()


def judge(fleet, other_ids, moved_ids):
    """ROUTE: a request is run by a service to which no configuration lets it go.

    CONFIG: one that is sent later than the bound is run by the old service.
    """
    moved_to = "pool-b" if TROUBLE else "pool"
    n_wrong = count_wrong(fleet, other_ids, "pool-b")
    n_old = count_wrong(fleet, moved_ids, moved_to)
    fleet.record(f"{n_wrong} of {len(other_ids)} requests ran at the wrong service")
    fleet.record(f"{n_old} of {len(moved_ids)} requests ran at the old service")
    broken = ["ROUTE"] * bool(n_wrong) + ["CONFIG"] * bool(n_old)
    fleet.record(f"BROKEN: {', '.join(broken)}" if broken else "held")
    return bool(broken)


def count_wrong(fleet, request_ids, service):
    """Count the runs of some requests at other services than their route's."""
    n_wrong = 0
    for runner in fleet.runners:
        for item in runner.arrivals:
            if not item.has_run or item.request_id not in request_ids:
                continue
            n_wrong += runner.service != service
            fleet.record(
                f"runner: {item.request_id} for {item.headers.get('host')} ran at"
                f" {runner.service} {item.runner_id},"
                f" kv-from={item.headers.get('kv-from', '-')}: {item.state}"
            )
    return n_wrong


run_case(main)
