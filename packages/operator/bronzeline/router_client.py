"""Send requests to the operators' HTTP API of routers."""

from __future__ import annotations

from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPResponse

from bronzeline.connection import Connection
from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.exceptions import BronzelineError, UpstreamError

__all__ = ["RouterClient", "RouterError"]

Answer = TypeVar("Answer")
OK = 200


class RouterError(BronzelineError):
    """Report a router that could not be reached or refused the request."""


class RouterClient:
    """Send requests to one router or to the first reachable one."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._http = HttpClient()

    async def request_any(
        self, body_type: type[Answer], path: str, method: str = "GET", **query: str
    ) -> Answer:
        """Return the response of the first reachable router.

        Raises `RouterError` if that router refuses or none is reachable.
        """
        failures = []
        for router in self._connection.routers:
            try:
                return await self.request(body_type, router, path, method, **query)
            except UnreachableError as error:
                failures.append(str(error))
        raise RouterError("; ".join(failures))

    async def request(
        self,
        body_type: type[Answer],
        router: str,
        path: str,
        method: str = "GET",
        **query: str,
    ) -> Answer:
        """Return one router's decoded response; raises `RouterError`."""
        url = f"{router}/admin/{path}"
        if query:
            url = f"{url}?{urlencode(query)}"
        try:
            response = await self._http.call(
                url,
                method=method,
                headers={"Authorization": f"Bearer {self._connection.settings.key}"},
                body=b"" if method == "POST" else None,
                timeout_ms=self._connection.settings.timeout_ms,
            )
        except UpstreamError as error:
            raise UnreachableError(f"{router} can't be reached: {error}") from None
        return _decode(body_type, router, response)


class UnreachableError(RouterError):
    """Report a router that could not be reached."""


def _decode(body_type: type[Answer], router: str, response: HTTPResponse) -> Answer:
    if response.code != OK:
        raise RouterError(f"{router} refused: {_error_message(response)}")
    return msgspec.json.decode(response.body, type=body_type)


def _error_message(response: HTTPResponse) -> str:
    try:
        data: dict[str, Any] = msgspec.json.decode(response.body)
        return str(data["error"]["message"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status {response.code}"
