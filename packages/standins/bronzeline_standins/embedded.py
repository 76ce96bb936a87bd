"""Run a fleet of routers and stand-ins in one process, on one event loop."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from hashlib import sha256

import msgspec

from bronzeline_daemon.config_distribution_service import CONFIG_KEY
from bronzeline_daemon.daemon import Daemon, DispatcherFactory
from bronzeline_kernel.config import (
    AdminSettings,
    FleetDefaults,
    LogSettings,
    PeerSettings,
    PluginSettings,
    RouterSettings,
    Settings,
)
from bronzeline_kernel.fleet import RouterInfo, UpstreamKind
from bronzeline_kernel.plugins import load_plugins
from bronzeline_kernel.protocols import VmListing
from bronzeline_kernel.routing import Dispatcher
from bronzeline_standins.embedded_process import EmbeddedProcess
from bronzeline_standins.engine import EngineServer
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.link import Link
from bronzeline_standins.plain_service import OrderBook, PlainServer
from bronzeline_standins.platform import PlatformServer
from bronzeline_standins.ports import HOST, free_port
from bronzeline_standins.region_links import PLATFORM, RegionLinks
from bronzeline_standins.topology import Topology

__all__ = ["OPERATOR_KEY", "EmbeddedFleet"]

STOP_TIMEOUT_S = 3.0
PEER_SHARED_KEY = "stand-in key of the peers"
OPERATOR_KEY = "stand-in key of the operators"
OPERATOR_KEY_SHA256 = sha256(OPERATOR_KEY.encode()).hexdigest()


class EmbeddedFleet:
    """Start and stop a fleet that runs in one process, and inject faults into it."""

    def __init__(
        self,
        topology: Topology,
        *,
        n_routers: int | None = None,
        engine_options: EngineOptions | None = None,
        defaults: FleetDefaults | None = None,
        first_caller_port: int = 0,
        seed: int = 0,
        dispatcher_factory: DispatcherFactory = Dispatcher,
    ) -> None:
        self.topology = topology
        self.n_routers = n_routers or topology.n_routers
        self.seed = seed
        self.order_book = OrderBook()
        self.platform = PlatformServer()
        options = engine_options or EngineOptions()
        self.engines = [
            EngineServer(
                f"engine-{number}", replace(options, salt=options.salt and str(number))
            )
            for number in range(topology.n_engines)
        ]
        self.plain_servers = [
            PlainServer(f"plain-{number}", self.order_book)
            for number in range(topology.n_plain)
        ]
        self.routers: list[Daemon] = []
        self.links = RegionLinks(topology.region_latency_ms)
        self._processes: list[EmbeddedProcess | None] = [None] * self.n_routers
        self._caller_links: list[Link] = []
        self._defaults = defaults
        self._dispatcher_factory = dispatcher_factory
        self._caller_ports = [
            first_caller_port + number if first_caller_port else free_port()
            for number in range(self.n_routers)
        ]
        self._peer_ports = [free_port() for _ in range(self.n_routers)]

    async def start(self) -> None:
        """Start the stand-ins with configuration and VM list, then the routers."""
        self.platform.rewrite_listing = self.links.rewrite_listing
        for server in (self.platform, *self.engines, *self.plain_servers):
            server.start()
        config = self.topology.fleet_config(self._defaults)
        self.platform.table.put(CONFIG_KEY, msgspec.json.encode(config), 0)
        self.publish()
        for number in range(self.n_routers):
            await self.start_router(number)

    async def start_router(self, number: int) -> Daemon:
        """Start a router, or restart a stopped or killed one on the same ports."""
        process = EmbeddedProcess()
        daemon: Daemon = await process.spawn(self._start_daemon(number))
        self._processes[number] = process
        self.routers[number : number + 1] = [daemon]
        return daemon

    async def stop_router(self, number: int) -> None:
        """Stop a router gracefully, as after SIGTERM."""
        process = self._processes[number]
        if process is None:
            return
        # The task never ends if the router is killed meanwhile. `asyncio.wait` can
        # be cancelled then; awaiting the task itself would keep waiting for it.
        await asyncio.wait({process.spawn(self.routers[number].stop())})
        self.kill_router(number)

    def kill_router(self, number: int) -> None:
        """End a router at once: close its sockets and drop its work."""
        process = self._processes[number]
        if process is not None:
            process.kill()
        self._processes[number] = None

    def pause_router(self, number: int) -> None:
        """Suspend a router until it is resumed, as SIGSTOP does."""
        process = self._processes[number]
        if process is not None:
            process.pause()

    def resume_router(self, number: int) -> None:
        """Resume a paused router, which doesn't learn that it was paused."""
        process = self._processes[number]
        if process is not None:
            process.resume()

    async def stop(self) -> None:
        """Stop the routers, killing those that time out, then the stand-ins."""
        stops = [
            asyncio.ensure_future(self.stop_router(number))
            for number in range(len(self.routers))
        ]
        if stops:
            _, pending = await asyncio.wait(stops, timeout=STOP_TIMEOUT_S)
            for task in pending:
                task.cancel()
        for number in range(len(self.routers)):
            self.kill_router(number)
        for server in (*self.engines, *self.plain_servers, self.platform):
            server.die()
        for link in self._caller_links:
            link.close()
        self.links.close()

    def cut(self, region_a: str, region_b: str) -> None:
        """Cut the links between two regions; `PLATFORM` counts as a region."""
        for link in self.links.between(region_a, region_b):
            link.cut()

    def heal(self) -> None:
        """Let new connections through on all links between regions."""
        for link in self.links.links():
            link.heal()

    def silence_links(self) -> None:
        """Drop all bytes of the open connections between regions; new ones work."""
        for link in self.links.links():
            link.go_silent()

    def open_caller_link(self, number: int) -> Link:
        """Open a link from callers to a router, which can be cut or go silent."""
        latency_ms = self.topology.client_latency_ms
        link = Link(self._caller_ports[number], latency_ms)
        link.start_listening()
        self._caller_links.append(link)
        return link

    def set_leaving(self, *vm_ids: str) -> None:
        """Publish a VM list in which only these upstreams and routers are leaving."""
        self.publish(frozenset(vm_ids))

    def publish(self, leaving_ids: frozenset[str] = frozenset()) -> None:
        """Publish the VM list, with the given upstreams and routers as leaving."""
        engine_upstreams = [
            self.topology.upstream(
                server.upstream_id, UpstreamKind.ENGINE, server.port, number
            )
            for number, server in enumerate(self.engines)
        ]
        plain_upstreams = [
            self.topology.upstream(
                server.upstream_id, UpstreamKind.PLAIN, server.port, number
            )
            for number, server in enumerate(self.plain_servers)
        ]
        upstreams = tuple(
            replace(item, is_leaving=item.upstream_id in leaving_ids)
            for item in (*engine_upstreams, *plain_upstreams)
        )
        routers = tuple(
            replace(item, is_leaving=item.router_id in leaving_ids)
            for item in self._router_infos()
        )
        listing = VmListing(upstreams, routers)
        for region in self.topology.regions:
            self.links.rewrite_listing(region, listing)
        self.platform.publish(listing)

    def router_settings(self, number: int) -> Settings:
        """Return the settings of a router by its number."""
        region = self.topology.region_of(number)
        port = self.links.port_of(
            region, PLATFORM, self.platform.port, self.topology.zone_latency_ms
        )
        url = f"http://{HOST}:{port}"
        return Settings(
            router=RouterSettings(
                router_id=f"router-{number}",
                host=HOST,
                caller_port=self._caller_ports[number],
                peer_port=self._peer_ports[number],
                availability_zone=f"{region}-a",
                region=region,
            ),
            object_store=PluginSettings("http", {"url": url}),
            vm_list=PluginSettings("http", {"url": f"{url}/regions/{region}"}),
            peers=PeerSettings(PEER_SHARED_KEY),
            logs=LogSettings(),
            seed=self.seed,
            admin=AdminSettings({"stand-in": OPERATOR_KEY_SHA256}),
        )

    async def _start_daemon(self, number: int) -> Daemon:
        daemon = Daemon(
            self.router_settings(number),
            load_plugins(),
            dispatcher_factory=self._dispatcher_factory,
        )
        await daemon.start()
        return daemon

    def _router_infos(self) -> list[RouterInfo]:
        settings = map(self.router_settings, range(self.n_routers))
        return [item.router.info() for item in settings]
