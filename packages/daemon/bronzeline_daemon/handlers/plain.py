"""Forward callers' requests to plain services."""

from __future__ import annotations

from dataclasses import replace
from math import ceil

from bronzeline_daemon.handlers.base import KEY_HEADER, CallerHandler
from bronzeline_daemon.order_service import OrderResult, OrderStatus, PlainCall
from bronzeline_kernel.config import ServiceConfig
from bronzeline_kernel.exceptions import RequestError
from bronzeline_kernel.protocols import PlainRequest
from bronzeline_kernel.routing import WorkClass

__all__ = ["PlainHandler"]

STATUS_BY_REASON = {"key_reused": 422, "unknown_service": 404, "answer_not_kept": 410}
STATUS_BY_RESULT = {
    OrderStatus.ANSWERED: 410,
    OrderStatus.NOT_RUN: 503,
    OrderStatus.IN_DOUBT: 504,
}
MESSAGE_BY_RESULT = {
    OrderStatus.ANSWERED: "the call ran, but its response is not stored: {reason}",
    OrderStatus.NOT_RUN: "the call did not run and will not run: {reason}",
    OrderStatus.IN_DOUBT: "it is not known whether the call ran: {reason}",
}
SAFE_METHODS = ("GET", "HEAD")
FORWARDED_HEADERS = ("Content-Type", "Accept", KEY_HEADER)


class PlainHandler(CallerHandler):
    """Forward requests under `/services/NAME/` to the named plain service."""

    async def get(self, service: str, path: str) -> None:
        """Forward a GET request."""
        await self._forward(service, path)

    async def head(self, service: str, path: str) -> None:
        """Forward a HEAD request."""
        await self._forward(service, path)

    async def patch(self, service: str, path: str) -> None:
        """Forward a PATCH request."""
        await self._forward(service, path)

    async def post(self, service: str, path: str) -> None:
        """Forward a POST request."""
        await self._forward(service, path)

    async def put(self, service: str, path: str) -> None:
        """Forward a PUT request."""
        await self._forward(service, path)

    async def delete(self, service: str, path: str) -> None:
        """Forward a DELETE request."""
        await self._forward(service, path)

    async def _forward(self, service: str, path: str) -> None:
        started_at_ms = self.services.clock.now_ms()
        workspace = self.authenticate()
        if workspace is None:
            return
        try:
            call = self._call(workspace, service, path)
        except RequestError as error:
            self.refuse_invalid(error)
            return
        outcome = await self._run(call, path)
        duration_ms = self.services.clock.now_ms() - started_at_ms
        self.services.metrics.request_ended(
            workspace, WorkClass.PLAIN, outcome, duration_ms
        )

    def _call(self, workspace: str, service: str, path: str) -> PlainCall:
        config_distribution = self.services.config_distribution
        config = config_distribution.config.services.get(service)
        is_known = config is not None and config.kind == "plain"
        deadline = config_distribution.resolve(
            "plain_deadline_ms", workspace=workspace, service=service
        )
        return PlainCall(
            workspace=workspace,
            service=service,
            request=self._plain_request(path),
            deadline=replace(deadline, value=self.timeout_ms(deadline.value)),
            has_look_up=config is not None and config.has_look_up,
            is_confirmed=config_distribution.resolve(
                "confirm_claims", service=service
            ).value,
            refusal_reason="" if is_known else "unknown_service",
        )

    async def _run(self, call: PlainCall, path: str) -> str:
        config = self.services.config_distribution.config.services.get(call.service)
        method = call.request.method
        if config is None:
            is_repeatable = method in SAFE_METHODS
        else:
            is_repeatable = _is_repeatable(config, method, path)
        if not is_repeatable:
            return await self._run_order(call)
        if call.refusal_reason:
            message = f"no service {call.service!r}"
            self.refuse(404, call.refusal_reason, message, OrderStatus.NOT_RUN)
            return OrderStatus.NOT_RUN
        result = await self.services.orders.run_repeatable(call)
        self._finish_result(result)
        return result.status

    async def _run_order(self, call: PlainCall) -> str:
        caller_key = self.request.headers.get(KEY_HEADER, "")
        key = caller_key or self.services.orders.make_idempotency_key()
        result = await self.services.orders.run_order(
            replace(call, idempotency_key=key, is_key_from_caller=bool(caller_key))
        )
        # A generated key is withheld when the order is reported as not run, so that
        # nobody resends the order under it.
        if caller_key or result.status is not OrderStatus.NOT_RUN:
            self.set_header(KEY_HEADER, key)
        self.is_run_status_final = True
        self._finish_result(result)
        return result.status

    def _plain_request(self, path: str) -> PlainRequest:
        query = self.request.query
        headers = {
            name: self.request.headers[name]
            for name in FORWARDED_HEADERS
            if name in self.request.headers
        }
        full_path = f"{path}?{query}" if query else path
        method = self.request.method or "GET"
        return PlainRequest(method, full_path, headers, self.request.body)

    def _finish_result(self, result: OrderResult) -> None:
        outcome = result.outcome
        if outcome is None or not outcome.is_body_kept:
            self._refuse_result(result)
            return
        self.set_status(outcome.status)
        for name, value in outcome.headers.items():
            self.set_header(name, value)
        self.finish(outcome.body)

    def _refuse_result(self, result: OrderResult) -> None:
        status = STATUS_BY_REASON.get(result.reason, STATUS_BY_RESULT[result.status])
        is_unproven = result.status is OrderStatus.NOT_RUN and self.may_run_elsewhere
        known = OrderStatus.IN_DOUBT if is_unproven else result.status
        message = MESSAGE_BY_RESULT[known].format(reason=result.reason)
        retry_after_s = ceil(result.retry_after_ms / 1000.0) or None
        self.refuse(status, result.reason, message, known, retry_after_s)


def _is_repeatable(config: ServiceConfig, method: str, path: str) -> bool:
    matching = [
        route
        for route in config.routes
        if route.method == method and path.startswith(route.path_prefix)
    ]
    if not matching:
        return method in SAFE_METHODS
    return max(matching, key=lambda route: len(route.path_prefix)).is_repeatable
