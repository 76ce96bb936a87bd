"""Call the platform's object API over HTTP."""

from __future__ import annotations

from base64 import b64decode
from urllib.parse import quote

import msgspec
from tornado.httpclient import HTTPResponse

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.exceptions import (
    AnswerLostError,
    ConflictError,
    StoreUnavailableError,
    StreamBrokenError,
    UpstreamUnreachableError,
)
from bronzeline_kernel.plugins import PluginRegistry
from bronzeline_kernel.protocols import StoredObject

__all__ = ["HttpStore", "register"]

NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
TOO_LARGE = 413
UNAVAILABLE = 503
WITHOUT_EFFECT = (TOO_MANY_REQUESTS, TOO_LARGE, UNAVAILABLE)
WATCH_MARGIN_MS = 1_000.0


class ObjectRow(msgspec.Struct, frozen=True):
    """Hold one object as the API writes it."""

    key: str
    value: str
    version: int


class HttpStore:
    """Keep objects in the platform's object API."""

    def __init__(self, url: str, timeout_ms: float = 2_000.0) -> None:
        self._url = url
        self._timeout_ms = timeout_ms
        self._caller = HttpClient()

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None where there is none."""
        response = await self._call("GET", f"/objects/{quote(key)}")
        if response.code == NOT_FOUND:
            return None
        return _stored(msgspec.json.decode(response.body, type=ObjectRow))

    async def list_prefix(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with the prefix."""
        response = await self._call("GET", f"/list?prefix={quote(prefix, safe='')}")
        return _stored_rows(response)

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None = None
    ) -> int:
        """Write and return the new version."""
        path = f"/objects/{quote(key)}{_condition(expected_version)}"
        response = await self._call("PUT", path, value)
        return int(response.body)

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete the object."""
        path = f"/objects/{quote(key)}{_condition(expected_version)}"
        await self._call("DELETE", path)

    async def watch(
        self, prefix: str, after_version: int, timeout_ms: float
    ) -> list[StoredObject]:
        """Wait for objects under the prefix newer than the version."""
        query = f"prefix={quote(prefix, safe='')}&after={after_version}"
        path = f"/watch?{query}&timeout_ms={timeout_ms}"
        limit_ms = timeout_ms + WATCH_MARGIN_MS
        return _stored_rows(await self._call("GET", path, timeout_ms=limit_ms))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_ms: float | None = None,
    ) -> HTTPResponse:
        try:
            response = await self._caller.call(
                self._url + path,
                method=method,
                body=body,
                timeout_ms=timeout_ms or self._timeout_ms,
            )
        except UpstreamUnreachableError as error:
            raise StoreUnavailableError(str(error)) from None
        except StreamBrokenError as error:
            raise AnswerLostError(str(error)) from None
        if response.code == CONFLICT:
            raise ConflictError(f"{path} has another version")
        if response.code in WITHOUT_EFFECT:
            raise StoreUnavailableError(f"the object API answered {response.code}")
        if response.code >= 400 and response.code != NOT_FOUND:
            raise AnswerLostError(f"the object API answered {response.code}")
        return response


def _condition(expected_version: int | None) -> str:
    return "" if expected_version is None else f"?expected_version={expected_version}"


def _stored(row: ObjectRow) -> StoredObject:
    return StoredObject(row.key, b64decode(row.value), row.version)


def _stored_rows(response: HTTPResponse) -> list[StoredObject]:
    rows = msgspec.json.decode(response.body, type=list[ObjectRow])
    return [_stored(row) for row in rows]


def register(registry: PluginRegistry) -> None:
    """Register the object API client under the name http."""
    registry.register("object_store", "http", HttpStore)
