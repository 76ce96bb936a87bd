"""Measure the CPU time that a router's order state machine takes for one order."""

from __future__ import annotations

import time

from bronzeline_kernel.orders import OrderMachine, OrderSpec, Outcome
from bronzeline_kernel.orders.messages import (
    ClaimWritten,
    UpstreamAnswered,
    UpstreamGranted,
)

__all__ = ["decision_us"]

US_PER_S = 1_000_000.0
DEADLINE_MS = 4_000.0


def decision_us(n_orders: int) -> float:
    """Return the average CPU time of one order without faults, in microseconds."""
    outcome = Outcome(200, {}, b"placed")
    messages = (
        UpstreamGranted("plain-0"),
        ClaimWritten(1),
        UpstreamAnswered(outcome),
        ClaimWritten(2),
    )
    started_s = time.process_time()
    for number in range(n_orders):
        machine = OrderMachine(_spec(number))
        machine.start(0.0)
        for message in messages:
            machine.handle(message, 1.0)
    return (time.process_time() - started_s) / n_orders * US_PER_S


def _spec(number: int) -> OrderSpec:
    return OrderSpec(
        owner="router-0",
        nonce=f"router-0/{number}",
        request_digest="digest",
        received_at_ms=0.0,
        deadline_ms=DEADLINE_MS,
        is_key_from_caller=True,
        has_look_up=True,
    )
