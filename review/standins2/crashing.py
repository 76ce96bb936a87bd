"""Play a request that crashes its runners and comes again, beside harmless ones."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from itertools import count, cycle

from standins2.client import Answer, Channel, is_promise
from standins2.config import DRAFTS, config, route, tenant
from standins2.fleet import ZONES, Case, Fleet, Record
from standins2.runner import ModelOptions, ModelRunner, Runner
from standins2.wire import Message

KEY = "key-mobile-1"
N_RUNNERS_OF_ZONE = 3
N_ROUTERS = 3
CRASHING = "/draft/d-crash"
CRASH_S = 2.5
BUDGET_S = 25.0
# After a failure that promises nothing, clients retry once.
N_SENDS = 2
STABLE_WINDOW_S = 4.0
MAX_RETRIES = 3
ROUTES = [route("r-draft", "/draft/", "streaming", DRAFTS)]


@dataclass(frozen=True)
class Plan:
    """Set how long the prompts are, how long the request comes, and the pauses."""

    n_shared_tokens: int
    n_own_tokens: int
    for_s: float
    pause_s: float


def crashing_case(plan: Plan) -> Case:
    """Return a case that judges how often the request reaches runners."""

    async def draft(channel: Channel, target: str, part: str, body: bytes) -> Answer:
        n_tokens = plan.n_shared_tokens + plan.n_own_tokens
        fields = {
            "X-Credential": KEY,
            "X-Model": "m",
            "X-Token-Usage": f"{n_tokens},80",
            "X-Prompt-Prefix": (
                f"5c1e07a2:{plan.n_shared_tokens},{part}:{plan.n_own_tokens}"
            ),
        }
        answer = await channel.send("POST", target, fields, body, BUDGET_S)
        channel.close()
        return answer

    async def send_others(fleet: Fleet, answers: list[Answer]) -> None:
        """Send harmless requests of the same route all the while."""
        async with asyncio.TaskGroup() as tasks:

            async def send(number: int, channel: Channel) -> None:
                target, part = f"/draft/d-{number}", f"{number:08x}"
                answers.append(await draft(channel, target, part, b"d" * 50))

            for number, router in zip(count(1), cycle(fleet.routers), strict=False):
                tasks.create_task(send(number, Channel(router.address)))
                await asyncio.sleep(0.5)

    async def send_crashing(fleet: Fleet, record: Record) -> None:
        """Send the request, and once more after a failure; come again later.

        Each time it has the same path, caller and body, at the next machine.
        """
        end_s = time.monotonic() + plan.for_s
        routers = cycle(fleet.routers)
        while time.monotonic() < end_s:
            for _ in range(N_SENDS):
                router = next(routers)
                channel = Channel(router.address)
                answer = await draft(channel, CRASHING, "deadbeef", b"c" * 50)
                record.write(
                    f"client: {answer.request_id} {CRASHING} at {router.name}:"
                    f" {answer.status} {answer.headers.get('retry-after', '')}"
                )
                if is_promise(answer) or answer.status == 200:
                    break
            await asyncio.sleep(plan.pause_s)

    async def case(record: Record, fleet: Fleet, has_trouble: bool) -> bool:
        def begin(runner: Runner, head: Message) -> str:
            if head.target != CRASHING or not has_trouble:
                return "ok"
            runner.crash(CRASH_S)
            return "crash"

        options = ModelOptions(fate=begin)
        runners = [
            ModelRunner(
                fleet.store, f"m-{zone}-{number}", DRAFTS, zone, 64, options=options
            )
            for zone in ZONES
            for number in range(N_RUNNERS_OF_ZONE)
        ]
        first = config(7, ROUTES, [tenant("mobile", KEY)])
        await fleet.start(runners, first, N_ROUTERS)
        others: list[Answer] = []
        background = asyncio.create_task(send_others(fleet, others))
        await asyncio.sleep(2.0)
        await send_crashing(fleet, record)
        background.cancel()
        n_served = sum(item.status == 200 and item.is_complete for item in others)
        record.write(f"other requests: {n_served} of {len(others)} served")
        for router in fleet.routers:
            for word in ("engine_death_not_blamed", "request_quarantined"):
                for line in router.log_lines(f"event={word}"):
                    record.write(f"router: {line}")
        return judge(record, fleet)

    return case


def judge(record: Record, fleet: Fleet) -> bool:
    """Return whether the request reached runners too often after its third crash."""
    sent = [item for item in fleet.arrivals() if item.target == CRASHING]
    record.write_arrivals(sent)
    crashed = [item for item in sent if item.outcome == "crash"]
    if len(crashed) < MAX_RETRIES:
        return False
    third_s = crashed[2].ran_at_s
    assert third_s is not None
    late = [item for item in sent if item.at_s > third_s + STABLE_WINDOW_S]
    record.write(
        f"crashes: {len(crashed)}; sent to runners later than {STABLE_WINDOW_S} s"
        f" after the third one: {len(late)}, at most {MAX_RETRIES} are allowed"
    )
    return len(late) > MAX_RETRIES
