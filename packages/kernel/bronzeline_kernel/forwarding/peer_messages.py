"""Define the messages that routers of a platform exchange."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.change_log import UpstreamChange
from bronzeline_kernel.forwarding.run_directory import RunRecord
from bronzeline_kernel.forwarding.store_position import StorePosition
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = [
    "LoadReport",
    "ProofAsked",
    "ProofGiven",
    "RouterEntry",
    "RouterListAsked",
    "RouterListGiven",
    "RouterListing",
    "RunAsked",
    "RunEnded",
    "RunRecord",
    "RunUnknown",
    "UpstreamAdopted",
    "UpstreamLeaving",
    "UpstreamReplaced",
    "UpstreamResting",
    "ZoneLost",
]


@dataclass(frozen=True)
class RouterEntry:
    """Represent a router's entry in the store."""

    router_id: str
    host: str
    peer_port: int
    availability_zone: str


@dataclass(frozen=True)
class RouterListing:
    """Hold the entries of all routers."""

    routers: tuple[RouterEntry, ...]


@dataclass(frozen=True)
class RouterListAsked:
    """Request the checksum of a peer's list of routers."""

    digest: int


@dataclass(frozen=True)
class RouterListGiven:
    """Report the checksum of this router's list of routers."""

    digest: int


@dataclass(frozen=True)
class RunEnded:
    """Notify peers that a run ended and its copy is no longer needed."""

    request_hash: str


@dataclass(frozen=True)
class RunAsked:
    """Request a peer's record of a run after its caller resent the request."""

    request_hash: str
    router_id: str


@dataclass(frozen=True)
class RunUnknown:
    """Reply that this router has no record of a run."""

    request_hash: str


@dataclass(frozen=True)
class LoadReport:
    """Report a router's numbers of prompts, streams and copies by upstream."""

    router_id: str
    prompts: dict[str, int]
    streams: dict[str, int]
    copies: dict[str, int]


@dataclass(frozen=True)
class ZoneLost:
    """Report that an upstream of a service and zone failed without an error reply."""

    service: str
    availability_zone: str


@dataclass(frozen=True)
class UpstreamReplaced:
    """Report that another process answers at an upstream's address."""

    upstream_id: str
    started_at_ms: int


@dataclass(frozen=True)
class UpstreamLeaving:
    """Report that an upstream said that it leaves, by which value and how long ago."""

    upstream_id: str
    started_at_ms: int
    value: str
    age_ms: float


@dataclass(frozen=True)
class UpstreamResting:
    """Report that an upstream asked this router for a rest, and by which value."""

    upstream_id: str
    started_at_ms: int
    value: str
    rest_ms: float


@dataclass(frozen=True)
class UpstreamAdopted:
    """Announce an engine that started while the store was unreachable."""

    entry: ListedUpstream


@dataclass(frozen=True)
class ProofAsked:
    """Request proof of how current a peer is, and the upstream changes it knows.

    `position` is that of the sender's list of upstreams, `config_version` that of its
    configuration.
    """

    router_id: str
    number: int
    position: StorePosition
    config_version: int


@dataclass(frozen=True)
class ProofGiven:
    """Report to a peer how current this router's data is.

    `age_ms` is the age of the proof that the configuration is current, `read_age_ms`
    that of the last reading of the store, which may have proven nothing.
    `changes` is None if the peer must read the whole list of upstreams itself.
    `away_until_ms_ago` is the time since the store became reachable again for this
    router, None if there was no recent outage; routers of earlier builds read it.
    """

    number: int
    config_version: int
    age_ms: float
    read_age_ms: float
    position: StorePosition
    changes: tuple[UpstreamChange, ...] | None
    away_until_ms_ago: float | None
