"""Choose among the upstreams that can accept a ticket now."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from random import Random

from bronzeline_kernel.fleet import Upstream

__all__ = ["PrefixTable", "UpstreamChoice"]

N_SAMPLED = 8
ZONE_COST_MS = 2.0
REGION_COST_MS = 25.0
BUSY_COST_MS = 8.0
LONG_RUNNING_COST_MS = 4.0
PREFIX_GAIN_MS = 40.0
JITTER_MS = 1.0
MAX_PREFIXES = 4_096


class PrefixTable:
    """Remember which upstream last received each prompt."""

    def __init__(self) -> None:
        self._upstream_ids: OrderedDict[str, str] = OrderedDict()

    def record(self, prompt_hash: str, upstream_id: str) -> None:
        """Record the upstream that a prompt was sent to."""
        if not prompt_hash:
            return
        self._upstream_ids[prompt_hash] = upstream_id
        self._upstream_ids.move_to_end(prompt_hash)
        if len(self._upstream_ids) > MAX_PREFIXES:
            self._upstream_ids.popitem(last=False)

    def find(self, prompt_hash: str) -> str:
        """Return the upstream that last received a prompt, or an empty string."""
        return self._upstream_ids.get(prompt_hash, "") if prompt_hash else ""


class UpstreamChoice:
    """Calculate the cost of candidate upstreams in milliseconds."""

    def __init__(self, region: str, availability_zone: str, random: Random) -> None:
        self._region = region
        self._availability_zone = availability_zone
        self._random = random

    def sample(self, candidates: Sequence[Upstream], preferred: str) -> list[Upstream]:
        """Return a random sample of the candidates plus the preferred one."""
        if len(candidates) <= N_SAMPLED:
            return list(candidates)
        chosen = self._random.sample(candidates, N_SAMPLED)
        return chosen + [item for item in candidates if item.upstream_id == preferred]

    def cost_ms(
        self,
        upstream: Upstream,
        *,
        occupancy: float,
        n_long_running: int,
        slow_ms: float,
        is_preferred: bool,
    ) -> float:
        """Return the cost of sending work to an upstream, in milliseconds."""
        cost = (
            BUSY_COST_MS * occupancy + LONG_RUNNING_COST_MS * n_long_running + slow_ms
        )
        if upstream.region != self._region:
            cost += REGION_COST_MS
        elif upstream.availability_zone != self._availability_zone:
            cost += ZONE_COST_MS
        if is_preferred:
            cost -= PREFIX_GAIN_MS
        return cost + self._random.uniform(0.0, JITTER_MS)
