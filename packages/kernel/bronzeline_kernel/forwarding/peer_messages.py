"""Define what routers of a platform tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.change_log import UpstreamChange
from bronzeline_kernel.forwarding.run_directory import RunRecord
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = [
    "LoadReport",
    "ProofAsked",
    "ProofGiven",
    "RouterEntry",
    "RunAsked",
    "RunEnded",
    "RunRecord",
    "RunUnknown",
    "UpstreamAdopted",
    "UpstreamReplaced",
    "ZoneLost",
]


@dataclass(frozen=True)
class RouterEntry:
    """Hold a router's entry in the store."""

    router_id: str
    host: str
    peer_port: int
    availability_zone: str


@dataclass(frozen=True)
class RunEnded:
    """Say that a run ended, so that its copy is of no use."""

    request_hash: str


@dataclass(frozen=True)
class RunAsked:
    """Ask a peer for the record of a run whose caller came back."""

    request_hash: str
    router_id: str


@dataclass(frozen=True)
class RunUnknown:
    """Say that no record of a run is held."""

    request_hash: str


@dataclass(frozen=True)
class LoadReport:
    """Tell a router's prompts, streams and copies on each upstream."""

    router_id: str
    prompts: dict[str, int]
    streams: dict[str, int]
    copies: dict[str, int]


@dataclass(frozen=True)
class ZoneLost:
    """Tell that an upstream of a service and zone was lost without a word."""

    service: str
    availability_zone: str


@dataclass(frozen=True)
class UpstreamReplaced:
    """Tell that another process answers at an upstream's address."""

    upstream_id: str
    started_at_ms: int


@dataclass(frozen=True)
class UpstreamAdopted:
    """Tell of an engine that the store could not list."""

    entry: ListedUpstream


@dataclass(frozen=True)
class ProofAsked:
    """Ask a peer how current it is, and for the changes that it has."""

    router_id: str
    number: int
    upstream_revision: int


@dataclass(frozen=True)
class ProofGiven:
    """Tell a peer how current this router is.

    `changes` is None where the peer must read the list itself;
    `away_until_ms_ago` says how long ago the store came back, if it was away.
    """

    number: int
    config_version: int
    age_ms: float
    upstream_revision: int
    changes: tuple[UpstreamChange, ...] | None
    away_until_ms_ago: float | None
