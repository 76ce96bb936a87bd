"""Forward callers' requests to the upstreams that a platform lists."""

from bronzeline_daemon.forwarding.channels import Channels
from bronzeline_daemon.forwarding.connection_headers import CONNECTION_HEADERS
from bronzeline_daemon.forwarding.exchange import OutgoingRequest, WholeAnswer, fetch
from bronzeline_daemon.forwarding.router import ForwardingRouter

__all__ = [
    "CONNECTION_HEADERS",
    "Channels",
    "ForwardingRouter",
    "OutgoingRequest",
    "WholeAnswer",
    "fetch",
]
