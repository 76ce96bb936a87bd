"""Forward callers' requests to the upstreams that a platform lists."""

from bronzeline_daemon.forwarding.connection_pool import ConnectionPool
from bronzeline_daemon.forwarding.exchange import HttpResponse, OutgoingRequest, fetch
from bronzeline_daemon.forwarding.hop_by_hop_headers import HOP_BY_HOP_HEADERS
from bronzeline_daemon.forwarding.router import ForwardingRouter

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "ConnectionPool",
    "ForwardingRouter",
    "HttpResponse",
    "OutgoingRequest",
    "fetch",
]
