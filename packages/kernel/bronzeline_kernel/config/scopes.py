"""Define the scopes in which an exception can override each option."""

from __future__ import annotations

__all__ = ["OPTION_SCOPES", "allowed_scopes"]

GENERATION_SCOPES = ("workspace", "service", "model")
ORDER_SCOPES = ("workspace", "service")
OPTION_SCOPES = {
    "claim_retention_ms": ORDER_SCOPES,
    "confirm_claims": ("service",),
    "generation_deadline_ms": GENERATION_SCOPES,
    "max_tokens_limit": GENERATION_SCOPES,
    "plain_deadline_ms": ORDER_SCOPES,
    "quarantine_ms": GENERATION_SCOPES,
    "reconnect_grace_ms": GENERATION_SCOPES,
    "stall_timeout_ms": GENERATION_SCOPES,
}


def allowed_scopes(option: str) -> tuple[str, ...]:
    """Return the kinds of scope that an option allows; empty if it is fleet-wide."""
    return OPTION_SCOPES.get(option, ())
