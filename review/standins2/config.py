"""Write configurations as the operator does, in the form of the platform's pages."""

from __future__ import annotations

HOST = "guild.example"
DRAFTS, ORDERS = "draft-desk", "order-desk"
ENGINE = {
    "slots": 64,
    "kv-tokens": 55000,
    "kv-token-bytes": 18432,
    "link-mbps": 370000.0,
    "moves": False,
    "backups": False,
    "stride": 5,
    "most": 12,
    "pin-ms": 4000.0,
    "hold-ms": 2000.0,
    "handle-s": 4.0,
    "models": [{"name": "m"}],
}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def route(name: str, prefix: str, kind: str, service: str, **changes) -> dict:
    """Return a route with the values of magnolia-guild for its kind."""
    is_stream = kind == "streaming"
    values = {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 25000 if is_stream else 1200,
        "target-latency-ms": 4500 if is_stream else 250,
        "priority": 1 if is_stream else 2,
        "service": service,
        "max-attempts": {"streaming": 5, "idempotent": 2}.get(kind, 1),
        "public": False,
        "sticky": is_stream,
        "can-resume": is_stream,
    }
    if is_stream:
        values["gap-aim-ms"] = 700
    return values | changes


def config(version: int, routes: list[dict], tenants: list[dict], **limits) -> dict:
    """Return a configuration of the two services of magnolia-guild."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": DRAFTS,
                "health-path": "/health",
                "max-conns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": ENGINE,
            },
            {
                "name": ORDERS,
                "health-path": "/health",
                "max-conns": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": LIMITS | limits,
        "tenants": tenants,
    }


def tenant(name: str, *keys: str, priority: int = 1) -> dict:
    return {"name": name, "api-keys": list(keys), "priority": priority}
