"""Run non-idempotent calls at most once and report reliably whether they ran."""

from bronzeline_kernel.orders.claim import (
    CLAIM_PREFIX,
    Claim,
    ClaimState,
    Outcome,
    claim_key,
    decode_claim,
    encode_claim,
    request_digest,
)
from bronzeline_kernel.orders.machine import OrderMachine
from bronzeline_kernel.orders.messages import OrderResult, OrderSpec, OrderStatus
from bronzeline_kernel.orders.phase import Phase

__all__ = [
    "CLAIM_PREFIX",
    "Claim",
    "ClaimState",
    "OrderMachine",
    "OrderResult",
    "OrderSpec",
    "OrderStatus",
    "Outcome",
    "Phase",
    "claim_key",
    "decode_claim",
    "encode_claim",
    "request_digest",
]
