"""Define the stored claim by which one router owns an order."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from hashlib import sha256

import msgspec

__all__ = [
    "CLAIM_PREFIX",
    "MAX_KEPT_BODY_BYTES",
    "Claim",
    "ClaimState",
    "Outcome",
    "claim_key",
    "decode_claim",
    "encode_claim",
    "request_digest",
]

CLAIM_PREFIX = "claims/"
MAX_KEPT_BODY_BYTES = 900_000


class ClaimState(StrEnum):
    """Name the stored states of an order, which all routers share."""

    CLAIMED = "claimed"
    DISPATCHING = "dispatching"
    DONE = "done"
    NOT_RUN = "not_run"

    @property
    def is_final(self) -> bool:
        """Return whether the state can no longer change."""
        return self in (ClaimState.DONE, ClaimState.NOT_RUN)


@dataclass(frozen=True)
class Outcome:
    """Hold the complete response of a plain service, to answer repeated requests."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_body_kept: bool = True


@dataclass(frozen=True)
class Claim:
    """Record the only router that may dispatch an order, and the outcome."""

    owner: str
    nonce: str
    state: ClaimState
    outcome: Outcome | None = None
    request_digest: str = ""
    reason: str = ""
    claimed_at_s: float = 0.0
    is_confirmed: bool = False
    labels: dict[str, str] = field(default_factory=dict)
    decided_at_s: float = 0.0


def claim_key(workspace: str, service: str, idempotency_key: str) -> str:
    """Return the object key of the claim for an idempotency key."""
    digest = sha256("\0".join((workspace, service, idempotency_key)).encode())
    return CLAIM_PREFIX + digest.hexdigest()


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes different requests with the same key."""
    digest = sha256("\0".join((method, path, "")).encode())
    digest.update(body)
    return digest.hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim for the object store, without a body that is too large."""
    outcome = claim.outcome
    if outcome is not None and len(outcome.body) > MAX_KEPT_BODY_BYTES:
        claim = replace(claim, outcome=replace(outcome, body=b"", is_body_kept=False))
    return msgspec.msgpack.encode(claim)


def decode_claim(value: bytes) -> Claim:
    """Decode a claim read from the object store."""
    return msgspec.msgpack.decode(value, type=Claim)
