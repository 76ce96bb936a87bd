"""Forward callers' requests for a platform."""

from bronzeline_daemon.forwarding.channels import Channels
from bronzeline_daemon.forwarding.exchange import OutgoingRequest, WholeAnswer, fetch
from bronzeline_daemon.forwarding.router import ForwardingRouter

__all__ = ["Channels", "ForwardingRouter", "OutgoingRequest", "WholeAnswer", "fetch"]
