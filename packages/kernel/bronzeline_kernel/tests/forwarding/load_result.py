"""Summarize what the callers of a load got."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import quantiles

TARGET_MS = 4_500.0


@dataclass(frozen=True)
class Result:
    """Hold what the callers of a load got, as shares and in milliseconds."""

    in_time: float
    late: float
    refused: float
    failed: float
    p50_ms: float
    p99_ms: float


def summarize(callers):
    """Return what callers got whose streams have all ended."""
    first_ms = [caller.first_event_ms for caller in callers if caller.first_event_ms]
    served = [caller for caller in callers if caller.outcome == "served"]
    in_time = sum(caller.first_event_ms <= TARGET_MS for caller in served)
    refused = sum(caller.outcome == "not_run" for caller in callers)
    n_callers = len(callers)
    percentiles = quantiles(first_ms, n=100)
    return Result(
        in_time / n_callers,
        (len(served) - in_time) / n_callers,
        refused / n_callers,
        (n_callers - len(served) - refused) / n_callers,
        percentiles[49],
        percentiles[98],
    )
