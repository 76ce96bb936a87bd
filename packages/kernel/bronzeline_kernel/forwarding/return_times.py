"""Tell refused callers when to come back."""

from __future__ import annotations

__all__ = ["LIMITED", "return_after_outage_ms", "useful_return_ms"]

# Why a request is refused while no limit of an upstream leaves room for it.
LIMITED = "limits of the upstreams reached"

MIN_RETURN_MS = 250.0
MAX_RETURN_MS = 5_000.0
# After this share of the time that a caller has left, the rest is too short to
# serve it.
LATEST_RETURN_SHARE = 0.7


def return_after_outage_ms(lasted_ms: float, left_ms: float | None) -> float:
    """Return after what time a caller should come back from an outage.

    Of an outage that has lasted for some time, about as long is left. Callers come
    back in the order in which they were turned away, spread over twice the time,
    while they still have time to be served.
    """
    expected_ms = min(MAX_RETURN_MS, max(MIN_RETURN_MS, lasted_ms))
    if left_ms is None:
        return expected_ms
    return useful_return_ms(expected_ms, left_ms)


def useful_return_ms(return_ms: float, left_ms: float) -> float:
    """Return a time to come back that leaves a caller enough time to be served."""
    return min(return_ms, LATEST_RETURN_SHARE * left_ms)
