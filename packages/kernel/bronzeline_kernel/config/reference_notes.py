"""Describe each setting and option in one line."""

from __future__ import annotations

__all__ = ["NOTES"]

NOTES = {
    "AdminSettings.operators": "The SHA-256 of each operator's key, by name.",
    "ExceptionRule.exception_id": "Its name, shown wherever it decides.",
    "ExceptionRule.expires_at_s": "When it ends, in seconds since 1970.",
    "ExceptionRule.option": "The default that it overrides.",
    "ExceptionRule.reason": "Why it is there; required.",
    "ExceptionRule.scope": "What it holds for; the narrowest scope decides.",
    "ExceptionRule.value": "The option's value within the scope.",
    "FleetDefaults.claim_retention_ms": (
        "How long an order's outcome is kept for a resend."
    ),
    "FleetDefaults.confirm_claims": (
        "Whether an order's claim is written once more right before dispatch."
    ),
    "FleetDefaults.generation_deadline_ms": (
        "How long a generation may wait for engines, also for its resumes; "
        "the most that a caller may ask for."
    ),
    "FleetDefaults.isolation_limit_ms": (
        "How long a router that hears neither store nor peers takes new work."
    ),
    "FleetDefaults.max_tokens_limit": "The most tokens that a caller may ask for.",
    "FleetDefaults.plain_deadline_ms": "Limit for a call on a plain service.",
    "FleetDefaults.quarantine_ms": "How long a request that ends engines is refused.",
    "FleetDefaults.reconnect_grace_ms": (
        "How long a generation waits for a caller who left to come back."
    ),
    "FleetDefaults.cross_region_bytes_per_s": (
        "The bytes a second that one router may exchange with other regions"
        " before it keeps new work at home."
    ),
    "FleetDefaults.first_token_target_ms": (
        "The wait for a first token that short work is queued or refused by."
    ),
    "FleetDefaults.long_wait_limit_ms": (
        "How long a generation that is long already may wait for an engine."
    ),
    "FleetDefaults.resume_wait_limit_ms": ("How long a resume may wait for an engine."),
    "FleetDefaults.resume_budget_ratio": (
        "The share of new work that repeats and resumes may add."
    ),
    "FleetDefaults.store_reads_per_s": (
        "Reads of the object API that all routers together may make."
    ),
    "FleetDefaults.store_writes_per_s": (
        "Writes to the object API that all routers together may make."
    ),
    "FleetDefaults.stall_timeout_ms": (
        "Silence on a stream after which a new connection is tried."
    ),
    "LogSettings.format": "How an event is written.",
    "LogSettings.level": "The least level that is logged.",
    "PeerSettings.heartbeat_interval_ms": "How often peers are probed.",
    "PeerSettings.shared_key": "The key that every router proves to its peers.",
    "PluginSettings.options": "The plug-in's own options.",
    "PluginSettings.plugin": "The registered name of the plug-in.",
    "Route.is_repeatable": "Whether such a call may be sent twice.",
    "Route.method": "The HTTP method.",
    "Route.path_prefix": "The start of the path; the longest that fits decides.",
    "RouterSettings.availability_zone": "Where this VM is.",
    "RouterSettings.caller_port": (
        "The port for callers, operators and the balancer; 0 takes a free one."
    ),
    "RouterSettings.drain_grace_ms": (
        "How long a draining router still takes requests, until the balancer "
        "has looked."
    ),
    "RouterSettings.host": "The address that this router listens on and is reached at.",
    "RouterSettings.peer_port": "The port for peers.",
    "RouterSettings.region": "The region of the availability zone.",
    "RouterSettings.router_id": "The name of this router, its own in the whole fleet.",
    "ServiceConfig.has_look_up": (
        "Whether a plain service tells if an order with a key ran."
    ),
    "ServiceConfig.kind": "What its upstreams are.",
    "ServiceConfig.models": "The models that callers can ask for.",
    "ServiceConfig.routes": (
        "Which calls may be repeated; without a route, GET and HEAD may."
    ),
    "Settings.seed": "Seeds the choices that are made at random.",
    "WorkspaceConfig.key_sha256": "The SHA-256 of the workspace's key.",
    "WorkspaceConfig.max_running": (
        "How many of its requests may run at once in the whole fleet."
    ),
    "WorkspaceConfig.weight": "Its share of a busy fleet beside the others' weights.",
}
