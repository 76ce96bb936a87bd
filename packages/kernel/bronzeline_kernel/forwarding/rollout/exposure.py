"""Decide which share of requests goes to a candidate version, and at which upstreams.

Addresses the bound on what a bad version may get of all requests of its service, under
some 20 or 130 requests per second at sixty routers that learn of each other's sends
only afterwards.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from bronzeline_kernel.forwarding.rollout.evidence import VersionCounts
from bronzeline_kernel.forwarding.settings import RolloutBounds
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = [
    "Exposure",
    "allowed_requests",
    "choose_canaries",
    "is_selected",
    "may_shift",
    "plan_exposure",
]

# The part of what is allowed that is used; the rest covers sends that no report
# has told of yet and reports that were lost.
USED_SHARE = 0.8
# Counts arrive every 200 ms and shares are announced at the latest after 500 ms.
FEEDBACK_MS = 700.0
# The canary stage leaves the requests of this time for the shift, in which calls that
# run at the control end. Longer responses don't, and evidence needs the rest.
SHIFT_MS = 400.0
MAX_SHIFT_SHARE = 0.4
# The first half of a rollout gets this part: a version that turns bad late can be found
# only by what is sent late.
EARLY_SHARE = 0.25
EARLY_TIME_SHARE = 0.5
# Before the rate is known.
FIRST_SHARE = 0.1
# A route needs some responses of the control, except one with little of the service's
# traffic: with 7 responses on average instead of 10, a version that fails half of them
# shows no failure in 3% of rollouts instead of 0.7%.
MAX_ROUTE_SHARE = 0.75
MAX_SPARSE_ROUTE_SHARE = 1.0
SPARSE_SHARE = 0.1
MIN_RATE_TIME_MS = 300.0
# As many requests on each route as show a version that is bad from the start; more are
# sent only as good responses come back.
N_FIRST_REQUESTS = 4
N_PER_GOOD_RESPONSE = 2
# More than one upstream, so that a single slow one doesn't decide.
MIN_CANARIES = 2
HASH_BYTES = 8


@dataclass(frozen=True)
class Exposure:
    """Hold the shares by route, and the number of upstreams that take them."""

    shares: tuple[tuple[str, float], ...] = ()
    n_upstreams: int = 0


def plan_exposure(
    bounds: RolloutBounds,
    totals: Mapping[tuple[str, str], VersionCounts],
    version: str,
    elapsed_ms: float,
    left_ms: float,
    routes: Collection[str],
    n_control_upstreams: int,
    usual_first_ms: float,
) -> Exposure:
    """Return the shares for now; requests are sent to be judged within `left_ms`.

    `usual_first_ms` is how long the control takes to begin a response.
    Each route gets an equal part, so that one with little traffic is judged as well.
    """
    sent = {route: 0 for route in routes}
    n_candidate = n_good = 0
    for (item_version, route), counts in totals.items():
        sent[route] = sent.get(route, 0) + counts.n_sent
        if item_version == version:
            n_candidate += counts.n_sent
            n_good += counts.n_answered
    n_all = sum(sent.values())
    time_ms = max(elapsed_ms, MIN_RATE_TIME_MS)
    rate_per_ms = n_all / time_ms
    n_shift = SHIFT_MS * rate_per_ms if usual_first_ms <= SHIFT_MS else 0.0
    ramp = N_FIRST_REQUESTS * max(1, len(sent)) + N_PER_GOOD_RESPONSE * n_good
    room = min(_canary_requests(bounds, n_all, n_shift), ramp) - n_candidate
    if room <= 0.0:
        return Exposure()
    if elapsed_ms < MIN_RATE_TIME_MS:
        shares = {route: min(FIRST_SHARE, bounds.max_share) for route in sent}
    else:
        left_ms = max(0.0, left_ms - usual_first_ms)
        n_canary = _canary_requests(bounds, n_all + rate_per_ms * left_ms, n_shift)
        pace = _pace(n_canary, n_candidate, elapsed_ms, left_ms)
        rates = {route: count / time_ms for route, count in sent.items()}
        shares = _spread(rates, min(pace, room / FEEDBACK_MS))
    total_share = (
        sum(shares[route] * count for route, count in sent.items()) / n_all
        if n_all
        else FIRST_SHARE
    )
    n_upstreams = max(MIN_CANARIES, round(total_share * n_control_upstreams))
    rounded = tuple((route, round(share, 4)) for route, share in sorted(shares.items()))
    return Exposure(rounded, n_upstreams)


def _pace(
    n_canary: float, n_candidate: int, elapsed_ms: float, left_ms: float
) -> float:
    """Return how many requests per millisecond go to the candidate for now."""
    early_ms = EARLY_TIME_SHARE * (elapsed_ms + left_ms)
    if elapsed_ms < early_ms:
        return EARLY_SHARE * n_canary / early_ms
    return max(0.0, n_canary - n_candidate) / max(left_ms, FEEDBACK_MS)


def _canary_requests(bounds: RolloutBounds, n_all: float, n_shift: float) -> float:
    """Return how many requests may go to a candidate before the shift."""
    allowed = allowed_requests(bounds, n_all)
    return allowed - min(MAX_SHIFT_SHARE * allowed, n_shift)


def allowed_requests(bounds: RolloutBounds, n_all: float) -> float:
    """Return how many of all requests may go to a candidate, leaving a margin."""
    return USED_SHARE * (bounds.max_share * n_all + bounds.n_extra_requests)


def may_shift(
    bounds: RolloutBounds,
    totals: Mapping[tuple[str, str], VersionCounts],
    version: str,
    elapsed_ms: float,
    left_ms: float,
) -> bool:
    """Return whether a candidate may get all requests for as long as it is judged.

    One that turns bad meanwhile stays within what is allowed.
    """
    n_all = sum(counts.n_sent for counts in totals.values())
    n_candidate = sum(
        counts.n_sent for (item, _), counts in totals.items() if item == version
    )
    n_left = n_all / max(elapsed_ms, MIN_RATE_TIME_MS) * left_ms
    return n_candidate + n_left <= allowed_requests(bounds, n_all + n_left)


def is_selected(version: str, request_id: str, share: float) -> bool:
    """Return whether a request belongs to the share that goes to a candidate."""
    digest = blake2b(f"{version}/{request_id}".encode(), digest_size=HASH_BYTES)
    position = int.from_bytes(digest.digest(), "big") / 2.0 ** (8 * HASH_BYTES)
    return position < share


def choose_canaries(
    upstreams: Iterable[ListedUpstream], n_upstreams: int
) -> frozenset[str]:
    """Return the ids of some upstreams, the same on all routers, of all zones."""
    by_zone: dict[str, list[str]] = defaultdict(list)
    for item in upstreams:
        by_zone[item.availability_zone].append(item.upstream_id)
    ranked = sorted(
        (rank, _hash(upstream_id), upstream_id)
        for ids in by_zone.values()
        for rank, upstream_id in enumerate(sorted(ids, key=_hash))
    )
    return frozenset(item[-1] for item in ranked[:n_upstreams])


def _spread(rates: Mapping[str, float], budget: float) -> dict[str, float]:
    """Divide a rate between routes, each at most its own share of traffic."""
    shares: dict[str, float] = {}
    left, sum_rates = dict(rates), sum(rates.values())
    for route, rate in sorted(rates.items(), key=lambda item: item[1]):
        part = budget / len(left)
        del left[route]
        is_sparse = rate < SPARSE_SHARE * sum_rates
        limit = MAX_SPARSE_ROUTE_SHARE if is_sparse else MAX_ROUTE_SHARE
        # A route without requests so far has few.
        shares[route] = min(limit, part / rate) if rate else limit
        budget -= shares[route] * rate
    return shares


def _hash(upstream_id: str) -> bytes:
    return blake2b(upstream_id.encode(), digest_size=HASH_BYTES).digest()
