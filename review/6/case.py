"""Take all keys away, one tenant a version; requests with them must not run."""

from __future__ import annotations

import asyncio
import time

from standins2.client import Answer, Channel
from standins2.config import ORDERS, config, route, tenant
from standins2.fleet import ZONES, Fleet, Record, run_case
from standins2.runner import PlainRunner

KEYS = {"mobile": "key-mobile-1", "savannah": "key-savannah-1"}
# No configuration of this case ever holds it.
UNKNOWN_KEY = "key-of-nobody"
GAP_S = 1.5
REVOKE_S = 5.0
ROUTES = [
    route("r-order", "/order/", "non_idempotent", ORDERS),
    route("r-status", "/status/", "idempotent", ORDERS),
]


async def send(
    fleet: Fleet, record: Record, key: str, number: int
) -> list[tuple[str, Answer]]:
    """Place one order at each router; return the key with each answer."""
    answers = []
    for router in fleet.routers:
        channel = Channel(router.address)
        fields = {"X-Credential": key}
        target = f"/order/{number}"
        answer = await channel.send("POST", target, fields, b"o" * 600)
        channel.close()
        record.write(
            f"client: {answer.request_id} POST {target} with {key}"
            f" at {router.name}: {answer.status}"
        )
        answers.append((key, answer))
    return answers


async def case(record: Record, fleet: Fleet, has_trouble: bool) -> bool:
    runners = [
        PlainRunner(
            fleet.store, f"order-{zone}", ORDERS, zone, 6, body=lambda head: b"r" * 800
        )
        for zone in ZONES
    ]
    tenants = [tenant(name, key) for name, key in KEYS.items()]
    await fleet.start(runners, config(7, ROUTES, tenants), 3)
    answers = []
    for key in (*KEYS.values(), UNKNOWN_KEY):
        answers += await send(fleet, record, key, 1)

    taken_at_s = {}
    for version, (name, key) in zip((9, 12), KEYS.items(), strict=True):
        if has_trouble:
            tenants = [item for item in tenants if item["name"] != name]
            taken_at_s[key] = time.monotonic()
        changed = config(version, ROUTES, tenants)
        fleet.store.put("config", "main", changed)
        record.write(f"operator: version {version}, tenants {changed['tenants']}")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(REVOKE_S + 1.0)

    for key in (*KEYS.values(), UNKNOWN_KEY):
        answers += await send(fleet, record, key, 2)
    record.write_arrivals(fleet.arrivals())
    return judge(record, fleet, answers, taken_at_s)


def judge(
    record: Record,
    fleet: Fleet,
    answers: list[tuple[str, Answer]],
    taken_at_s: dict[str, float],
) -> bool:
    """Return whether an order ran though its key was taken away, or never held."""
    ran = {item.request_id for item in fleet.arrivals() if item.ran_at_s is not None}
    wrong = []
    for key, answer in answers:
        was_taken = key in taken_at_s and answer.sent_at_s > taken_at_s[key] + REVOKE_S
        if answer.request_id in ran and (was_taken or key == UNKNOWN_KEY):
            wrong.append(answer.request_id)
    record.write(f"ran with a key that was taken away or never held: {wrong}")
    return bool(wrong)


if __name__ == "__main__":
    run_case(case, __file__)
