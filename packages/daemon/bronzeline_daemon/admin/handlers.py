"""Show this router's state and take operators' orders."""

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
    """Show this router."""

    def get(self) -> None:
        """Answer the router's own status."""
        self.answer(router_status(self.daemon))


class ServicesHandler(AdminHandler):
    """Show the services."""

    def get(self) -> None:
        """List the services with the upstreams that this router knows."""
        self.answer(service_rows(self.daemon))


class UpstreamsHandler(AdminHandler):
    """Show the upstreams."""

    def get(self) -> None:
        """List the upstreams that this router knows."""
        self.answer(self.daemon.dispatch.describe_upstreams())


class ConfirmationsHandler(AdminHandler):
    """Show which configuration is in force where."""

    def get(self) -> None:
        """Answer each live router's version by its id."""
        self.answer(self.daemon.rollout.confirmations())


class OrdersInDoubtHandler(AdminHandler):
    """Show orders that may have run."""

    async def get(self) -> None:
        """List the orders of which nobody knows whether they ran."""
        try:
            claims = await self.daemon.orders.list_in_doubt()
        except StoreError as error:
            message = f"the object API can't be read: {error}"
            self.refuse(503, "store_unavailable", message, "not_run", RETRY_AFTER_S)
            return
        self.answer([order_in_doubt(claim) for claim in claims])


class QuarantineHandler(AdminHandler):
    """Show requests that must not run."""

    def get(self) -> None:
        """List the quarantines in force."""
        now_ms = self.daemon.clock.now_ms()
        entries = self.daemon.quarantine.entries()
        self.answer([quarantine_row(entry, now_ms) for entry in entries])


class QuarantineEntryHandler(AdminHandler):
    """End quarantines."""

    def delete(self, entry_id: str) -> None:
        """End one quarantine on every router."""
        if not self.daemon.quarantine.lift(entry_id):
            message = f"no quarantine {entry_id!r} is in force"
            self.refuse(404, "unknown_quarantine", message, "not_run")
            return
        self.answer(entry_id)


class StoryHandler(AdminHandler):
    """Explain what was decided on a subject."""

    async def get(self) -> None:
        """Gather the story from this router and its peers."""
        subject = self.get_query_argument("subject")
        self.answer(await self.daemon.stories.explain(subject))


class DrainHandler(AdminHandler):
    """Stop a router gracefully."""

    def post(self) -> None:
        """Take nothing new, finish what runs, then end."""
        self.daemon.drain()
        self.answer(router_status(self.daemon))
