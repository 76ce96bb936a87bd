"""Declare the interfaces that a platform plug-in implements for forwarding."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from bronzeline_kernel.forwarding.adoption import UpstreamIdentity
from bronzeline_kernel.forwarding.block_list import Block
from bronzeline_kernel.forwarding.change_log import UpstreamChange
from bronzeline_kernel.forwarding.config import ForwardingConfig, WorkspaceKeys
from bronzeline_kernel.forwarding.messages import (
    CallerRequest,
    CopySource,
    Header,
    MoveRun,
    Send,
)
from bronzeline_kernel.forwarding.peer_messages import RouterEntry
from bronzeline_kernel.forwarding.response_budget import ResponseBudget
from bronzeline_kernel.forwarding.rollout import (
    RolloutChanges,
    RolloutOrder,
    RolloutState,
)
from bronzeline_kernel.forwarding.service_versions import VersionRecord
from bronzeline_kernel.forwarding.store_era import StoreEra
from bronzeline_kernel.forwarding.store_position import StorePosition
from bronzeline_kernel.forwarding.stream_move import MoveCallResult
from bronzeline_kernel.forwarding.stream_origins import StreamOrigin
from bronzeline_kernel.forwarding.upstream_notices import NO_NOTICE, UpstreamNotice
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

GATEWAY_TIMEOUT = 504
# Callers may send a request again after these: they promise that it has not run.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class ConfigReading:
    """Hold the configuration that was read and the store's position at that time."""

    config: ForwardingConfig | None
    position: StorePosition


@dataclass(frozen=True)
class UpstreamListing:
    """Hold all listed upstreams and the store's position at that time."""

    upstreams: tuple[ListedUpstream, ...]
    position: StorePosition


@dataclass(frozen=True)
class UpstreamChanges:
    """Hold the changes since a position, and the position to continue from."""

    changes: tuple[UpstreamChange, ...]
    position: StorePosition


class DirectoryStore(Protocol):
    """Read configuration and upstreams from the platform's store.

    Every method raises `StoreUnavailableError` if the store does not respond, or if
    the response is from before its latest era, and `HistoryLostError` if a watch can't
    continue from its position.
    """

    # Takes in the era that each response names.
    era: StoreEra
    # Counts what is buffered of responses.
    response_budget: ResponseBudget

    async def read_config(self, *, allow_stale: bool = False) -> ConfigReading:
        """Return the newest configuration; a stale read may return an older one."""

    async def watch_config(
        self, position: StorePosition, wait_ms: float
    ) -> ConfigReading:
        """Wait up to `wait_ms` for a change; `config` is None if there was none."""

    async def list_upstreams(self, *, allow_stale: bool = False) -> UpstreamListing:
        """Return all upstreams; a stale read may return an older list."""

    async def watch_upstreams(
        self, position: StorePosition, wait_ms: float
    ) -> UpstreamChanges:
        """Wait for changes of upstreams for up to `wait_ms`."""

    async def announce_router(self, entry: RouterEntry) -> None:
        """Write the entry of this router."""

    async def has_router(self, entry: RouterEntry) -> bool:
        """Return whether a router's entry is stored as given."""

    async def list_routers(self) -> tuple[RouterEntry, ...]:
        """Return the entries of all routers; they may be some seconds out of date."""

    async def list_blocks(self) -> tuple[Block, ...]:
        """Return the stored blocks."""

    async def write_block(self, block: Block) -> None:
        """Write a block, also over an earlier one of the same keys."""

    async def delete_block(self, keys: tuple[str, ...]) -> None:
        """Delete the block of these keys, if there is one."""

    async def list_versions(self) -> tuple[VersionRecord, ...]:
        """Return the stored versions of each service; they may be out of date."""

    async def write_versions(self, record: VersionRecord) -> None:
        """Write the versions of a service, also over earlier ones."""

    async def list_origins(self) -> Mapping[str, tuple[StreamOrigin, ...]]:
        """Return the stored origins of streams, by the id of the router."""

    async def write_origins(
        self, router_id: str, origins: tuple[StreamOrigin, ...]
    ) -> None:
        """Replace the stored origins of a router's streams."""

    async def list_rollouts(self, *, allow_stale: bool = False) -> RolloutChanges:
        """Return the operator's orders of rollouts; unreadable ones are left out."""

    async def watch_rollouts(
        self, position: StorePosition, wait_ms: float
    ) -> RolloutChanges:
        """Wait for changes of orders; raises `HistoryLostError`."""

    async def write_rollout_state(
        self, order: RolloutOrder, state: RolloutState
    ) -> RolloutOrder | None:
        """Write the state of an order unless its entry has changed.

        Return the entry as it is afterwards, whoever wrote it; None if it is gone or
        can't be read.
        """

    def close(self) -> None:
        """Close the connections to the store."""


class EngineClient(Protocol):
    """Send control requests to engines: copies, cached prompts, identity."""

    # Counts what is buffered of responses.
    response_budget: ResponseBudget
    # Called with the notice of each response.
    on_notice: Callable[[ListedUpstream, UpstreamNotice], None]
    # Returns whether an upstream may be sent control requests now. If not, methods
    # raise `UpstreamRefusedError`.
    may_call: Callable[[ListedUpstream], bool]

    async def copy_run(
        self, request: CallerRequest, source: ListedUpstream, holder: ListedUpstream
    ) -> CopySource:
        """Copy the new part of a run's memory to a holder; raises `UpstreamError`."""

    async def move_run(self, request: CallerRequest, call: MoveRun) -> MoveCallResult:
        """Copy the new part of a run's memory; the source stops the run if it is last.

        Raises no errors: the result tells whether the call may have taken effect.
        """

    async def drop_copy(self, copy: CopySource) -> None:
        """Free a copy at its source and holder; raises `UpstreamError`."""

    async def list_prompts(self, upstream: ListedUpstream) -> Mapping[str, int]:
        """Return the cached tokens of each prompt part; raises `UpstreamError`."""

    async def identify(
        self, upstream: ListedUpstream, health_path: str
    ) -> UpstreamIdentity:
        """Identify the process at an upstream's address; raises `UpstreamError`."""

    async def has_listed_start(self, upstream: ListedUpstream) -> bool:
        """Return whether the process that the list names runs; raises `UpstreamError`.

        One that has started anew under the same id may have another version.
        """


@dataclass(frozen=True)
class ResponseHead:
    """Hold the status and parsed headers of an upstream's response.

    `is_own` is true if the response belongs to the request that was sent.
    """

    status: int
    headers: tuple[Header, ...]
    is_own: bool
    is_rejected: bool
    is_other_process: bool
    is_encoded: bool
    keep_alive_ms: float | None
    closes: bool
    # The request rate that the upstream takes from all routers together.
    limit_per_s: float | None = None
    # The id that the response bears, empty without one.
    request_id: str = ""
    # Whether the upstream certifies that the response is its own.
    has_receipt: bool = True
    # Whether the response's end is marked, rather than the connection's end.
    is_framed: bool = True
    notice: UpstreamNotice = NO_NOTICE

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success (2xx)."""
        return 200 <= self.status < 300

    @property
    def is_unproven_refusal(self) -> bool:
        """Return whether the status says "not run" and nothing proves it.

        An upstream may use such a status for a failure after a run.
        """
        is_proven = self.is_rejected or self.is_other_process
        return self.status in REFUSAL_STATUSES and not is_proven

    @property
    def is_failure(self) -> bool:
        """Return whether the upstream reports a failure of its own.

        A 504 only says that the time of the request was used up.
        """
        return self.status >= 500 and self.status != GATEWAY_TIMEOUT


class WireFormat(Protocol):
    """Translate requests and responses to and from the platform's HTTP format."""

    def read_request(
        self, method: str, target: str, headers: Iterable[Header]
    ) -> CallerRequest:
        """Parse a caller's request; raises `RequestError` if it has no id."""

    def caller_key(self, headers: Iterable[Header]) -> str:
        """Return the key that a caller's request gives, empty without one."""

    def upstream_headers(
        self, request: CallerRequest, send: Send, workspace: WorkspaceKeys | None
    ) -> list[Header]:
        """Return the headers for an attempt's request to an upstream."""

    def read_response(
        self, request: CallerRequest, status: int, headers: Iterable[Header]
    ) -> ResponseHead:
        """Parse the status and headers of an upstream's response."""

    def refusal_headers(self, retry_after_ms: float) -> list[Header]:
        """Return the headers that tell a refused caller when to retry."""

    def event_id(self, event: bytes) -> int | None:
        """Return the id of an event of a stream, None if it has none."""
