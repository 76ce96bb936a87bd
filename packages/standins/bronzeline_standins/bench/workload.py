"""Generate arrivals from a seed, with request sizes like those of the users."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from bronzeline_standins.topology import Topology

__all__ = ["Arrival", "RequestKind", "Swing", "Workload", "draw_arrivals"]

PROMPT_WORDS = ("ivory", "robe", "crest", "linen", "hem", "gold", "thread", "cuff")


class RequestKind(StrEnum):
    """Name the kinds of request that callers send."""

    GENERATION = "generation"
    STATUS = "status"
    ORDER = "order"


@dataclass(frozen=True)
class Swing:
    """Multiply the request rate by a factor, after a ramp, for a duration."""

    at_ms: float
    factor: float
    ramp_ms: float = 2_000.0
    duration_ms: float = math.inf

    def factor_at(self, now_ms: float) -> float:
        """Return the factor of this swing at a time."""
        age_ms = now_ms - self.at_ms
        if age_ms < 0 or age_ms >= self.duration_ms:
            return 1.0
        return 1.0 + (self.factor - 1.0) * min(1.0, age_ms / self.ramp_ms)


@dataclass(frozen=True)
class Workload:
    """Describe open-loop demand: rates, lengths, workspaces and swings."""

    topology: Topology
    duration_ms: float
    generations_per_s: float
    plain_per_s: float = 0.0
    order_share: float = 0.2
    mean_tokens: float = 40.0
    straggler_share: float = 0.04
    straggler_factor: float = 30.0
    mean_prompt_words: float = 60.0
    n_large_workspaces: int = 3
    large_share: float = 0.7
    swings: tuple[Swing, ...] = ()

    def factor_at(self, now_ms: float) -> float:
        """Return the product of the factors of all swings at a time."""
        return math.prod(swing.factor_at(now_ms) for swing in self.swings)


@dataclass(frozen=True)
class Arrival:
    """Hold one request and the time at which its caller sends it."""

    request_id: str
    at_ms: float
    kind: RequestKind
    workspace: str
    is_large_workspace: bool
    region: str
    balancer_draw: float
    prompt: str = ""
    n_tokens: int = 0
    is_straggler: bool = False


def draw_arrivals(workload: Workload, seed: int) -> list[Arrival]:
    """Sample the arrivals of the workload in order of time."""
    random = Random(f"{seed}/{workload.topology.name}/arrivals")
    total_per_s = workload.generations_per_s + workload.plain_per_s
    return [
        _draw(workload, random, number, at_ms, total_per_s)
        for number, at_ms in enumerate(_draw_times(workload, random, total_per_s))
    ]


def _draw_times(
    workload: Workload, random: Random, total_per_s: float
) -> Iterator[float]:
    # Thinning of a Poisson process: generate arrivals at the highest rate and keep
    # each with the probability of the current rate.
    max_factor = math.prod(max(1.0, swing.factor) for swing in workload.swings)
    now_ms = 0.0
    while True:
        now_ms += random.expovariate(total_per_s * max_factor) * 1000.0
        if now_ms >= workload.duration_ms:
            return
        if random.random() * max_factor < workload.factor_at(now_ms):
            yield now_ms


def _draw(
    workload: Workload, random: Random, number: int, at_ms: float, total_per_s: float
) -> Arrival:
    kind = _draw_kind(workload, random, total_per_s)
    workspace_number = _draw_workspace(workload, random)
    topology = workload.topology
    request_id = f"{kind.value}-{number}"
    is_straggler = random.random() < workload.straggler_share
    n_tokens = _draw_length(workload, random, is_straggler)
    return Arrival(
        request_id=request_id,
        at_ms=at_ms,
        kind=kind,
        workspace=topology.workspaces()[workspace_number],
        is_large_workspace=workspace_number < workload.n_large_workspaces,
        region=random.choice(topology.regions),
        balancer_draw=random.random(),
        prompt=_draw_prompt(workload, random, number, n_tokens),
        n_tokens=n_tokens,
        is_straggler=is_straggler,
    )


def _draw_kind(workload: Workload, random: Random, total_per_s: float) -> RequestKind:
    if random.random() * total_per_s < workload.generations_per_s:
        return RequestKind.GENERATION
    is_order = random.random() < workload.order_share
    return RequestKind.ORDER if is_order else RequestKind.STATUS


def _draw_workspace(workload: Workload, random: Random) -> int:
    n_large = workload.n_large_workspaces
    if random.random() < workload.large_share:
        return random.randrange(n_large)
    return random.randrange(n_large, workload.topology.n_workspaces)


def _draw_length(workload: Workload, random: Random, is_straggler: bool) -> int:
    factor = workload.straggler_factor if is_straggler else 1.0
    return max(4, round(random.gammavariate(4.0, workload.mean_tokens / 4.0) * factor))


def _draw_prompt(workload: Workload, random: Random, number: int, n_tokens: int) -> str:
    n_words = max(4, round(random.expovariate(1.0 / workload.mean_prompt_words)))
    words = " ".join(random.choices(PROMPT_WORDS, k=n_words))
    return f"request {number} [length={n_tokens}] {words}"
