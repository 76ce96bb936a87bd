"""Map the paths of the operators' HTTP API to handlers."""

from __future__ import annotations

from typing import Any

from bronzeline_daemon.admin.handlers import (
    ConfirmationsHandler,
    DrainHandler,
    OrdersInDoubtHandler,
    QuarantineEntryHandler,
    QuarantineHandler,
    ServicesHandler,
    StatusHandler,
    StoryHandler,
    UpstreamsHandler,
)
from bronzeline_daemon.router_services import RouterServices

__all__ = ["admin_routes"]


def admin_routes(services: RouterServices) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the tornado routes under `/admin/`."""
    options = {"services": services}
    return [
        (r"/admin/status", StatusHandler, options),
        (r"/admin/services", ServicesHandler, options),
        (r"/admin/upstreams", UpstreamsHandler, options),
        (r"/admin/confirmations", ConfirmationsHandler, options),
        (r"/admin/orders/in-doubt", OrdersInDoubtHandler, options),
        (r"/admin/quarantine", QuarantineHandler, options),
        (r"/admin/quarantine/([^/]+)", QuarantineEntryHandler, options),
        (r"/admin/story", StoryHandler, options),
        (r"/admin/drain", DrainHandler, options),
    ]
