"""Provide the base class of the operators' handlers."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from bronzeline_daemon.handlers.base import CallerHandler, bearer_sha256
from bronzeline_daemon.logs import log_event

__all__ = ["AdminHandler"]


class AdminHandler(CallerHandler):
    """Accept only requests that carry an operator's key."""

    def prepare(self) -> None:
        """Refuse unknown keys with status 401, and log every action but reads."""
        super().prepare()
        digest = bearer_sha256(self)
        operators = self.services.settings.admin.operators
        names = [name for name, key in operators.items() if key == digest]
        if not names:
            message = "no operator has this key"
            self.refuse(HTTPStatus.UNAUTHORIZED, "unknown_key", message, "not_run")
            return
        request = self.request
        if request.method != "GET":
            log_event("operator", operator=names[0], action=request.uri)

    def finish_json(self, data: object) -> None:
        """Finish the response with the data encoded as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(data))
