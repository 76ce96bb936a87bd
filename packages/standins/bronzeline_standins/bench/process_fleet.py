"""Run routers and stand-ins as separate processes for an experiment."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

import msgspec

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.config import (
    LogSettings,
    PeerSettings,
    PluginSettings,
    RouterSettings,
    Settings,
)
from bronzeline_kernel.fleet import Upstream, UpstreamKind
from bronzeline_kernel.protocols import VmListing
from bronzeline_standins.bench.child_process import ChildProcess
from bronzeline_standins.ports import HOST, free_port
from bronzeline_standins.topology import Topology

__all__ = ["ProcessFleet"]

STANDINS_MODULE = "bronzeline_standins"
ROUTER_MODULE = "bronzeline_daemon"
SHARED_KEY = "stand-in key of the peers"


class ProcessFleet:
    """Run a platform, engines, plain services and routers on loopback."""

    def __init__(
        self,
        topology: Topology,
        *,
        n_routers: int,
        n_engines: int,
        engines_per_process: int = 1,
        n_plain: int = 0,
        inter_token_ms: float = 20.0,
        n_slots: int = 64,
        is_one_region: bool = False,
    ) -> None:
        self.topology = topology
        self.engine_ports = [free_port() for _ in range(n_engines)]
        self.plain_ports = [free_port() for _ in range(n_plain)]
        self.caller_ports = [free_port() for _ in range(n_routers)]
        self.platform_port = free_port()
        self.routers: list[ChildProcess] = []
        self.engines: list[ChildProcess] = []
        self.plain_servers: list[ChildProcess] = []
        self.platform = ChildProcess(
            STANDINS_MODULE,
            "platform",
            f"--port={self.platform_port}",
            f"--user={topology.name}",
        )
        self._engines_per_process = engines_per_process
        self._engine_options = (
            f"--inter-token-ms={inter_token_ms}",
            f"--slots={n_slots}",
        )
        self._is_one_region = is_one_region
        self._peer_ports = [free_port() for _ in range(n_routers)]
        self._folder = Path(tempfile.mkdtemp(prefix="bronzeline-"))
        self._http = HttpClient()

    async def __aenter__(self) -> ProcessFleet:
        """Start every process and wait until it listens on its ports."""
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop every process."""
        await self.stop()

    async def stop(self) -> None:
        """Stop the routers first, so that they can drain, then the stand-ins.

        The folder with the settings files of the routers is removed as well.
        """
        standins = [*self.engines, *self.plain_servers, self.platform]
        await asyncio.gather(*(process.stop() for process in self.routers))
        await asyncio.gather(*(process.stop() for process in standins))
        shutil.rmtree(self._folder, ignore_errors=True)

    async def start_router(self, number: int) -> ChildProcess:
        """Start the router with this number, or restart it after it has stopped."""
        path = self._folder / f"router-{number}.json"
        path.write_bytes(msgspec.json.encode(self._settings(number)))
        process = ChildProcess(ROUTER_MODULE, f"--config={path}")
        self.routers[number : number + 1] = [process]
        await process.start([self.caller_ports[number]])
        return process

    async def start_engine(self, number: int) -> ChildProcess:
        """Start the engine process with this number, or restart it after its end."""
        first = number * self._engines_per_process
        ports = self.engine_ports[first : first + self._engines_per_process]
        process = ChildProcess(
            STANDINS_MODULE, "engine", *_port_options(ports), *self._engine_options
        )
        self.engines[number : number + 1] = [process]
        await process.start(ports)
        return process

    async def control(self, port: int, path: str, data: object | None = None) -> bytes:
        """Call a stand-in's control interface: POST if there is data, else GET."""
        response = await self._http.call(
            f"http://{HOST}:{port}/control/{path}",
            method="GET" if data is None else "POST",
            body=None if data is None else msgspec.json.encode(data),
        )
        body: bytes = response.body
        return body

    async def _start(self) -> None:
        await self.platform.start([self.platform_port])
        await self._publish_listing()
        n_processes = len(self.engine_ports) // self._engines_per_process
        await asyncio.gather(*(self.start_engine(item) for item in range(n_processes)))
        if self.plain_ports:
            options = _port_options(self.plain_ports)
            self.plain_servers = [ChildProcess(STANDINS_MODULE, "plain", *options)]
            await self.plain_servers[0].start(self.plain_ports)
        for number in range(len(self.caller_ports)):
            await self.start_router(number)

    async def _publish_listing(self) -> None:
        engines = [
            self._upstream(number, port, UpstreamKind.ENGINE)
            for number, port in enumerate(self.engine_ports)
        ]
        plain_servers = [
            self._upstream(number, port, UpstreamKind.PLAIN)
            for number, port in enumerate(self.plain_ports)
        ]
        routers = [
            self._settings(item).router.info() for item in range(len(self.caller_ports))
        ]
        listing = VmListing((*engines, *plain_servers), tuple(routers))
        await self._http.call(
            f"http://{HOST}:{self.platform_port}/control/vms",
            method="PUT",
            body=msgspec.json.encode(listing),
        )

    def _region(self, number: int) -> str:
        return self.topology.region_of(0 if self._is_one_region else number)

    def _upstream(self, number: int, port: int, kind: UpstreamKind) -> Upstream:
        location_number = 0 if self._is_one_region else number
        return self.topology.upstream(
            f"{kind.value}-{number}", kind, port, location_number
        )

    def _settings(self, number: int) -> Settings:
        region = self._region(number)
        url = f"http://{HOST}:{self.platform_port}"
        return Settings(
            router=RouterSettings(
                router_id=f"router-{number}",
                host=HOST,
                caller_port=self.caller_ports[number],
                peer_port=self._peer_ports[number],
                availability_zone=f"{region}-a",
                region=region,
            ),
            object_store=PluginSettings("http", {"url": url}),
            vm_list=PluginSettings("http", {"url": url}),
            peers=PeerSettings(SHARED_KEY),
            logs=LogSettings(level="error"),
        )


def _port_options(ports: Sequence[int]) -> list[str]:
    return [f"--port={port}" for port in ports]
