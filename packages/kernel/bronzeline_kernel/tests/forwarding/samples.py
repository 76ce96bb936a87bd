"""Build sample upstreams, routes and requests for the forwarding tests."""

from random import Random
from zlib import crc32

from bronzeline_kernel.forwarding import (
    CallerRequest,
    ForwardingConfig,
    ListedUpstream,
    Placement,
    RequestRoute,
    Route,
    ServiceShare,
    StreamBinding,
    UpstreamHealth,
    UpstreamSet,
    WorkKind,
    WorkspaceKeys,
    identify,
)

ENGINES = "engines"
ORDERS = "orders"
ZONES = ("zone-a", "zone-b", "zone-c")


def upstream(
    name,
    zone="zone-a",
    service=ENGINES,
    leaving=False,
    started=1,
    port=None,
    version="v1",
):
    return ListedUpstream(
        upstream_id=name,
        service=service,
        host="10.0.0.1",
        port=port or 1_000 + crc32(name.encode()) % 50_000,
        availability_zone=zone,
        is_leaving=leaving,
        n_slots=8,
        started_at_ms=started,
        version=version,
    )


def fleet(per_zone=2, service=ENGINES):
    return [
        upstream(f"{zone}-{number}", zone, service)
        for zone in ZONES
        for number in range(per_zone)
    ]


def placement(entries, own_zone="zone-a"):
    upstreams = UpstreamSet()
    upstreams.replace_all(entries, 0.0)
    for item in entries:
        upstreams.versions.put(item.upstream_id, item.service, item.version, 0.0)
    upstreams.versions.learn((), 0.0)
    return Placement(own_zone, upstreams, UpstreamHealth(), Random(7))


def route(kind=WorkKind.STREAM, **changes):
    values = {
        "name": "r",
        "host": "desk.example",
        "path_prefix": "/drafts/",
        "kind": kind,
        "shares": (ServiceShare(ENGINES, 1.0),),
        "timeout_ms": 25_000.0,
        "target_latency_ms": 4_500.0,
        "max_attempts": 5 if kind is WorkKind.STREAM else 2,
        "is_resumable": kind is WorkKind.STREAM,
    }
    return Route(**{**values, **changes})


def request(**changes):
    values = {
        "request_id": "id-1",
        "method": "POST",
        "target": "/drafts/1",
        "host": "desk.example",
        "key": "key-1",
        "budget_ms": 25_000.0,
        "headers": (),
        "n_prompt_tokens": 5_000,
    }
    return CallerRequest(**{**values, **changes})


def config(version=1, routes=None, keys=("key-1",)):
    """Return a configuration; it has no workspaces without keys, None needs none."""
    workspaces = (WorkspaceKeys("shop", tuple(keys)),) if keys else ()
    return ForwardingConfig(
        version=version,
        routes=(route(),) if routes is None else tuple(routes),
        services=(),
        workspaces=None if keys is None else workspaces,
    )


def binding(of_request, of_route, of_placement):
    return StreamBinding(
        of_request,
        RequestRoute(of_route),
        identify(of_request).run_hash,
        of_placement.upstreams,
        of_placement.prompts,
    )
