"""Report this router's state and carry out operators' commands."""

from __future__ import annotations

from bronzeline_daemon.admin.base import AdminHandler
from bronzeline_daemon.admin.status import (
    order_in_doubt,
    quarantine_row,
    router_status,
    service_rows,
)
from bronzeline_daemon.handlers.errors import RETRY_AFTER_S
from bronzeline_kernel.exceptions import StoreError

__all__ = [
    "ConfirmationsHandler",
    "DrainHandler",
    "OrdersInDoubtHandler",
    "QuarantineEntryHandler",
    "QuarantineHandler",
    "ServicesHandler",
    "StatusHandler",
    "StoryHandler",
    "UpstreamsHandler",
]


class StatusHandler(AdminHandler):
    """Serve the status of this router."""

    def get(self) -> None:
        """Return identity, readiness, load and resource use of this router."""
        self.finish_json(router_status(self.services))


class ServicesHandler(AdminHandler):
    """Serve the list of configured services."""

    def get(self) -> None:
        """Return each service with its number of upstreams known to this router."""
        self.finish_json(service_rows(self.services))


class UpstreamsHandler(AdminHandler):
    """Serve the list of upstreams."""

    def get(self) -> None:
        """Return the upstreams known to this router with their dispatch state."""
        self.finish_json(self.services.dispatch.describe_upstreams())


class ConfirmationsHandler(AdminHandler):
    """Serve the configuration versions applied across the fleet."""

    def get(self) -> None:
        """Return the applied configuration version of each live router by its id."""
        self.finish_json(self.services.config_distribution.confirmations())


class OrdersInDoubtHandler(AdminHandler):
    """Serve the orders whose outcome is unknown."""

    async def get(self) -> None:
        """Return the orders in doubt, or status 503 if the store can't be read."""
        try:
            claims = await self.services.orders.list_in_doubt()
        except StoreError as error:
            message = f"the object API can't be read: {error}"
            self.refuse(503, "store_unavailable", message, "not_run", RETRY_AFTER_S)
            return
        self.finish_json([order_in_doubt(claim) for claim in claims])


class QuarantineHandler(AdminHandler):
    """Serve the list of quarantined requests."""

    def get(self) -> None:
        """Return the quarantine entries in force on this router."""
        now_ms = self.services.clock.now_ms()
        entries = self.services.quarantine.entries()
        self.finish_json([quarantine_row(entry, now_ms) for entry in entries])


class QuarantineEntryHandler(AdminHandler):
    """Lift quarantines on an operator's command."""

    def delete(self, entry_id: str) -> None:
        """Lift one quarantine on every router; unknown entries get status 404."""
        if not self.services.quarantine.lift(entry_id):
            message = f"no quarantine {entry_id!r} is in force"
            self.refuse(404, "unknown_quarantine", message, "not_run")
            return
        self.finish_json(entry_id)


class StoryHandler(AdminHandler):
    """Serve the decisions recorded for a subject."""

    async def get(self) -> None:
        """Collect the subject's decisions from this router and its peers."""
        subject = self.get_query_argument("subject")
        self.finish_json(await self.services.stories.explain(subject))


class DrainHandler(AdminHandler):
    """Drain this router on an operator's command."""

    def post(self) -> None:
        """Start to drain: accept no new work, finish running work, then exit."""
        self.services.lifecycle.drain()
        self.finish_json(router_status(self.services))
