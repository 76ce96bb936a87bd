"""Choose the upstream that serves each request."""

from bronzeline_kernel.routing.dispatch import Grant, Refusal, Ticket, WorkClass
from bronzeline_kernel.routing.dispatcher import Dispatcher
from bronzeline_kernel.routing.view import UpstreamView

__all__ = [
    "Dispatcher",
    "Grant",
    "Refusal",
    "Ticket",
    "UpstreamView",
    "WorkClass",
]
