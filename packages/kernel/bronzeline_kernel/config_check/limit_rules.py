"""Find limits of a configuration that contradict each other."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from bronzeline_kernel.config_check.draft import ConfigDraft
from bronzeline_kernel.config_check.findings import Issue
from bronzeline_kernel.forwarding import Route, WorkKind

__all__ = ["find_contradictions", "find_excess_attempts", "find_long_prompts"]


def find_contradictions(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield time and size limits that can't take effect beside another one."""
    for position, route in draft.routes.items():
        yield from _find_in_route(position, route)
    limits = draft.limits
    if limits is None:
        return
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield Issue(
            "header_timeout_above_idle_timeout",
            ("limits", "header_timeout_ms"),
            f"the timeout for headers of {limits.header_timeout_ms:.10g} ms is above "
            f"the idle timeout of {limits.idle_timeout_ms:.10g} ms",
        )
    if limits.max_header_bytes > limits.max_body_bytes:
        yield Issue(
            "headers_above_body",
            ("limits", "max_header_bytes"),
            f"headers may have {limits.max_header_bytes} bytes, more than a body with "
            f"{limits.max_body_bytes}",
        )


def find_excess_attempts(
    draft: ConfigDraft, n_upstreams: Mapping[str, int]
) -> Iterator[Issue]:
    """Yield routes with more attempts than one of their services has upstreams.

    `n_upstreams` is the number of upstreams by service; a service that is missing
    there has none.
    """
    for position, route in draft.routes.items():
        for share in route.shares:
            n_found = n_upstreams.get(share.service, 0)
            if share.weight > 0.0 and route.max_attempts > n_found:
                yield Issue(
                    "attempts_above_upstreams",
                    ("routes", position, "max_attempts"),
                    f"route {route.name!r}: the number of attempts, "
                    f"{route.max_attempts}, is above the number of upstreams of "
                    f"service {share.service!r}, {n_found}",
                )


def find_long_prompts(
    draft: ConfigDraft, prompt_tokens: Mapping[str, int]
) -> Iterator[Issue]:
    """Yield streaming routes whose prompts don't fit into an engine's memory.

    `prompt_tokens` is the size of the longest prompt by route, where known.
    """
    memory = {
        service.name: service.engine.memory_tokens
        for service in draft.services.values()
        if service.engine is not None and service.engine.memory_tokens > 0
    }
    for position, route in draft.routes.items():
        n_tokens = prompt_tokens.get(route.name, 0)
        if route.kind is not WorkKind.STREAM:
            continue
        for number, share in enumerate(route.shares):
            if n_tokens > memory.get(share.service, n_tokens):
                yield Issue(
                    "prompt_above_memory",
                    ("routes", position, "shares", number, "service"),
                    f"route {route.name!r}: prompts of {n_tokens} tokens don't fit "
                    f"into the {memory[share.service]} tokens of an engine of service "
                    f"{share.service!r}",
                )


def _find_in_route(position: int, route: Route) -> Iterator[Issue]:
    if route.target_latency_ms > route.timeout_ms:
        yield Issue(
            "target_above_timeout",
            ("routes", position, "target_latency_ms"),
            f"route {route.name!r}: the target latency of "
            f"{route.target_latency_ms:.10g} ms is above the timeout of "
            f"{route.timeout_ms:.10g} ms",
        )
    # Other routes have no events, and their default gap exceeds short timeouts.
    if route.kind is WorkKind.STREAM and route.max_gap_ms > route.timeout_ms:
        yield Issue(
            "gap_above_timeout",
            ("routes", position, "max_gap_ms"),
            f"route {route.name!r}: the target for gaps of {route.max_gap_ms:.10g} ms "
            f"is above the timeout of {route.timeout_ms:.10g} ms",
        )
