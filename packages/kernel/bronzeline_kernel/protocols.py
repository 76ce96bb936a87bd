"""Declare the interfaces that the kernel needs for I/O and time."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from bronzeline_kernel.fleet import RouterInfo, Upstream

__all__ = [
    "Clock",
    "EngineConnector",
    "EngineRequest",
    "EngineStreamEnd",
    "LoadReport",
    "ObjectStore",
    "PlainConnector",
    "PlainRequest",
    "PlainResponse",
    "StoredObject",
    "TokenFrame",
    "VmList",
    "VmListing",
]


class Clock(Protocol):
    """Provide the current time."""

    def now_ms(self) -> float:
        """Return the monotonic time in ms."""


@dataclass(frozen=True)
class StoredObject:
    """Represent an object in the store, with its version."""

    key: str
    value: bytes
    version: int


class ObjectStore(Protocol):
    """Access the platform's object API; each method makes one call to it.

    Every method raises `StoreUnavailableError` if the call certainly had no
    effect and `AnswerLostError` if it may have had one.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if there is none."""

    async def list_prefix(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with the prefix."""

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None = None
    ) -> int:
        """Write the object and return its new version.

        Raises `ConflictError` if the object doesn't have the expected version;
        0 requires that the object doesn't exist, None overwrites any version.
        """

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete the object; raises `ConflictError` on another version."""

    async def watch(
        self, prefix: str, after_version: int, timeout_ms: float
    ) -> list[StoredObject]:
        """Return newer objects under the prefix; wait up to `timeout_ms` for one."""


@dataclass(frozen=True)
class VmListing:
    """Hold one response of the platform's VM list, which may be out of date."""

    upstreams: tuple[Upstream, ...]
    routers: tuple[RouterInfo, ...]


class VmList(Protocol):
    """Access the platform's list of running and leaving VMs."""

    async def read(self) -> VmListing:
        """Return the list; raises `StoreUnavailableError` if it can't be read."""


@dataclass(frozen=True)
class EngineRequest:
    """Request a generation that continues after the prefix tokens."""

    generation_id: str
    attempt: int
    fence: int
    workspace: str
    model: str
    version: str
    adapter: str
    prompt: str
    prefix_tokens: tuple[str, ...]
    max_tokens: int
    stop: tuple[str, ...]
    sampling_seed: int
    temperature: float
    priority: int


@dataclass(frozen=True, slots=True)
class TokenFrame:
    """Represent one token that an attempt generated."""

    attempt: int
    index: int
    text: str


@dataclass(frozen=True)
class EngineStreamEnd:
    """Report why an engine ended an attempt's stream, with its token counts."""

    attempt: int
    reason: str
    n_tokens: int
    n_prompt_tokens: int


@dataclass(frozen=True)
class LoadReport:
    """Represent the load of an engine at the time of its measurement."""

    upstream_id: str
    measured_at_ms: float
    n_running: int
    n_queued: int
    n_slots: int


class EngineConnector(Protocol):
    """Implement the protocol of one kind of engine."""

    async def generate(
        self,
        upstream: Upstream,
        request: EngineRequest,
        on_frame: Callable[[TokenFrame], None],
    ) -> EngineStreamEnd:
        """Run an attempt, pass each token to `on_frame` and return its end.

        Raises `UpstreamUnreachableError`, `UpstreamRefusedError` or
        `StreamBrokenError`.
        """

    async def attach(
        self,
        upstream: Upstream,
        generation_id: str,
        attempt: int,
        fence: int,
        from_index: int,
        on_frame: Callable[[TokenFrame], None],
    ) -> EngineStreamEnd:
        """Reconnect to a running attempt, starting at a token index."""

    async def cancel(self, upstream: Upstream, generation_id: str, fence: int) -> None:
        """Cancel a generation on the engine."""

    async def load_report(self, upstream: Upstream) -> LoadReport:
        """Return the engine's latest load report, which may be out of date."""


@dataclass(frozen=True)
class PlainRequest:
    """Represent a caller's HTTP request to a plain service."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class PlainResponse:
    """Represent the HTTP response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class PlainConnector(Protocol):
    """Send requests to plain services."""

    async def call(
        self, upstream: Upstream, request: PlainRequest, timeout_ms: float
    ) -> PlainResponse:
        """Send the request once, without retries.

        Raises `UpstreamUnreachableError` if no byte can have been sent and
        `StreamBrokenError` if some may have been.
        """

    async def look_up(
        self, upstream: Upstream, idempotency_key: str, timeout_ms: float
    ) -> PlainResponse | None:
        """Return the response of the order with this key, or None if it did not run."""
