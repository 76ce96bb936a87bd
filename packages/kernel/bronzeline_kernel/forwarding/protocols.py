"""Declare what forwarding needs of a platform."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from bronzeline_kernel.forwarding.adoption import UpstreamIdentity
from bronzeline_kernel.forwarding.change_log import UpstreamChange
from bronzeline_kernel.forwarding.config import ForwardingConfig, WorkspaceKeys
from bronzeline_kernel.forwarding.messages import (
    CallerRequest,
    CopySource,
    Header,
    Send,
)
from bronzeline_kernel.forwarding.peer_messages import RouterEntry
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = [
    "ConfigReading",
    "DirectoryStore",
    "EngineClient",
    "ResponseHead",
    "UpstreamChanges",
    "UpstreamListing",
    "WireFormat",
]


@dataclass(frozen=True)
class ConfigReading:
    """Hold the configuration as read, and the store's revision then."""

    config: ForwardingConfig | None
    revision: int


@dataclass(frozen=True)
class UpstreamListing:
    """Hold every listed upstream, and the store's revision then."""

    upstreams: tuple[ListedUpstream, ...]
    revision: int


@dataclass(frozen=True)
class UpstreamChanges:
    """Hold the changes since a revision, and the revision to go on from."""

    changes: tuple[UpstreamChange, ...]
    revision: int


class DirectoryStore(Protocol):
    """Read configuration and upstreams from the platform's store.

    Every method raises `StoreUnavailableError` when the store gave no answer
    and `HistoryLostError` when a watch can't go on from its revision.
    """

    async def read_config(self, *, allow_stale: bool = False) -> ConfigReading:
        """Return the newest configuration, or one that was so at its revision."""

    async def watch_config(self, revision: int, wait_ms: float) -> ConfigReading:
        """Wait for a change; without one, the reading holds None."""

    async def list_upstreams(self, *, allow_stale: bool = False) -> UpstreamListing:
        """Return all upstreams, as they are or were at its revision."""

    async def watch_upstreams(self, revision: int, wait_ms: float) -> UpstreamChanges:
        """Wait for changes of upstreams."""

    async def announce_router(self, entry: RouterEntry) -> None:
        """Write a router's own entry."""

    async def list_routers(self) -> tuple[RouterEntry, ...]:
        """Return the routers' entries, which may be seconds old."""

    def close(self) -> None:
        """Close the connections."""


class EngineClient(Protocol):
    """Ask engines to copy their runs, what they keep and who they are."""

    async def copy_run(
        self, request: CallerRequest, source: ListedUpstream, keeper: ListedUpstream
    ) -> CopySource:
        """Copy what is new of a run to a keeper; raises `UpstreamError`."""

    async def drop_copy(self, copy: CopySource) -> None:
        """Free a copy at both ends; raises `UpstreamError`."""

    async def list_prompts(self, upstream: ListedUpstream) -> Mapping[str, int]:
        """Return the tokens kept of each part; raises `UpstreamError`."""

    async def identify(
        self, upstream: ListedUpstream, health_path: str
    ) -> UpstreamIdentity:
        """Ask who answers at an upstream's address; raises `UpstreamError`."""


@dataclass(frozen=True)
class ResponseHead:
    """Hold what the head of an upstream's answer says."""

    status: int
    headers: tuple[Header, ...]
    is_own: bool
    is_rejected: bool
    is_other_process: bool
    is_encoded: bool
    keep_alive_ms: float | None
    closes: bool

    @property
    def is_success(self) -> bool:
        """Say whether the upstream answers with a result."""
        return 200 <= self.status < 300


class WireFormat(Protocol):
    """Translate requests and answers to and from the platform's form."""

    def read_request(
        self, method: str, target: str, headers: Iterable[Header]
    ) -> CallerRequest:
        """Return the request; raises `RequestError` where it has no id."""

    def upstream_headers(
        self, request: CallerRequest, send: Send, workspace: WorkspaceKeys | None
    ) -> list[Header]:
        """Return the headers of a request to an upstream."""

    def read_response(
        self, request: CallerRequest, status: int, headers: Iterable[Header]
    ) -> ResponseHead:
        """Return what the head of an upstream's answer says."""

    def refusal_headers(self, retry_after_ms: float) -> list[Header]:
        """Return the headers of a refusal that says when to come back."""

    def event_id(self, event: bytes) -> int | None:
        """Return the id of an event of a stream."""
