"""Generate fleets of any size and measure message sizes, CPU time and memory."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from hashlib import sha256
from typing import Any

from bronzeline_daemon.message_codec import MessageCodec
from bronzeline_kernel.config import FleetConfig, ServiceConfig, WorkspaceConfig
from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind

__all__ = [
    "allocated_bytes",
    "cpu_us",
    "make_config",
    "make_routers",
    "make_upstreams",
    "wire_bytes",
]

N_ZONES = 14
N_REGIONS = 4
# Authentication code and framing of a frame; headers of the packet around it.
FRAME_BYTES = 22
PACKET_BYTES = 52
SERVICE = "pool"
N_MODELS = 5


def make_routers(n_routers: int) -> tuple[RouterInfo, ...]:
    """Return routers spread evenly over 14 availability zones in 4 regions."""
    return tuple(
        RouterInfo(f"router-{number}", "10.0.0.1", 7000, *_location(number))
        for number in range(n_routers)
    )


def make_upstreams(n_upstreams: int) -> tuple[Upstream, ...]:
    """Return engines that serve 5 models, spread over the same zones as the routers."""
    return tuple(
        Upstream(
            upstream_id=f"engine-{number}",
            service=SERVICE,
            kind=UpstreamKind.ENGINE,
            host="10.0.1.1",
            port=8000,
            availability_zone=_location(number)[0],
            region=_location(number)[1],
            model=f"model-{number % N_MODELS}",
            version="1",
        )
        for number in range(n_upstreams)
    )


def make_config(n_workspaces: int, revision: int = 1) -> FleetConfig:
    """Return a configuration with this many workspaces, each with its own key."""
    models = tuple(f"model-{number}" for number in range(N_MODELS))
    return FleetConfig(
        revision=revision,
        services={SERVICE: ServiceConfig("engine", models=models)},
        workspaces={
            f"workspace-{number}": WorkspaceConfig(
                key_sha256=sha256(str(number).encode()).hexdigest()
            )
            for number in range(n_workspaces)
        },
    )


def wire_bytes(message: Any) -> int:
    """Return the bytes one message takes on the network, headers included."""
    codec = MessageCodec()
    codec.register(type(message))
    return len(codec.encode(message)) + FRAME_BYTES + PACKET_BYTES


def cpu_us(work: Callable[[], object], n_times: int = 1) -> float:
    """Return the CPU time of one call in microseconds, the mean of `n_times` calls."""
    started_s = time.process_time()
    for _ in range(n_times):
        work()
    return (time.process_time() - started_s) * 1e6 / n_times


def allocated_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that `make` allocates and that its result still uses."""
    tracemalloc.start()
    kept = make()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return current


def _location(number: int) -> tuple[str, str]:
    zone = number % N_ZONES
    region = f"region-{zone % N_REGIONS}"
    return f"{region}-zone-{zone}", region
