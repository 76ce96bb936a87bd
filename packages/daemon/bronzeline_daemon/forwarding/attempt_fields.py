"""Describe an attempt in the log and the metrics."""

from __future__ import annotations

from bronzeline_kernel.forwarding import (
    CallerRequest,
    Choice,
    ListedUpstream,
    Regions,
    ResponseHead,
    Send,
)

__all__ = ["attempt_fields", "attempt_origin", "distance_fields", "response_fields"]

# Bounds a line; prompts consist of a few parts.
MAX_LOGGED_PARTS = 8


def attempt_fields(
    request: CallerRequest, action: Send, n_retries_left: float
) -> dict[str, object]:
    """Return the log fields that tell where an attempt goes, and why."""
    return {
        "number": action.number,
        "upstream_id": action.upstream.upstream_id,
        "version": action.upstream.version,
        "host": request.host,
        "service": action.upstream.service,
        "budget_ms": round(action.budget_ms),
        "after_event": action.after_event,
        "copy_from": _id_of(action.copy_from.holder if action.copy_from else None),
        "copy_id": action.copy_from.copy_id if action.copy_from else "",
        "copy_to": _id_of(action.copy_to),
        "copy_version": action.copy_to.version if action.copy_to else "",
        "resumes": request.resumes_id,
        **({} if action.urgency is None else {"urgency": action.urgency}),
        "budget_left": round(n_retries_left, 1),
        **_choice_fields(action.choice),
        **_part_fields(request),
    }


def attempt_origin(action: Send) -> str:
    """Return whether an attempt is the first, reads the prompt again or a copy."""
    if action.copy_from is not None:
        return "copy"
    return "first" if action.number == 1 else "prompt"


def distance_fields(action: Send, regions: Regions) -> dict[str, str]:
    """Return how far an attempt goes, and why, where requests stay in a region."""
    if not regions.is_active:
        return {}
    distance = regions.distance(action.upstream.availability_zone)
    region_exit = action.choice.region_exit if action.choice else None
    cause = region_exit.value if region_exit else attempt_origin(action)
    return {"distance": distance.value, "cause": cause}


def response_fields(
    head: ResponseHead | None, n_earlier_requests: int
) -> dict[str, object]:
    """Return the log fields that tell which request a response belongs to."""
    if head is None:
        return {"n_earlier_requests": n_earlier_requests}
    return {
        "n_earlier_requests": n_earlier_requests,
        "status": head.status,
        "response_id": head.request_id,
        "says_not_run": head.is_rejected or head.is_other_process,
    }


def _id_of(upstream: ListedUpstream | None) -> str:
    return upstream.upstream_id if upstream else ""


def _part_fields(request: CallerRequest) -> dict[str, object]:
    """Return the parts of the prompt that other requests may share."""
    part_ids = request.shared_part_ids[:MAX_LOGGED_PARTS]
    return {"parts": ",".join(part_ids)} if part_ids else {}


def _choice_fields(choice: Choice | None) -> dict[str, object]:
    """Return the log fields that explain why an upstream was chosen."""
    if choice is None:
        return {}
    durations_ms = {
        "cost_ms": choice.cost_ms,
        "next_cost_ms": choice.next_cost_ms,
        "reports_age_ms": choice.reports_age_ms,
        "sign_age_ms": choice.sign_age_ms,
    }
    rounded = {
        name: round(value) for name, value in durations_ms.items() if value is not None
    }
    fields = {"n_compared": choice.n_compared, "next_id": choice.next_id, **rounded}
    if choice.limit_per_s is not None:
        fields["limit_per_s"] = choice.limit_per_s
    return fields
