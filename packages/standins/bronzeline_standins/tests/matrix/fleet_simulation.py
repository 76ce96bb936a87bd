"""Simulate the generation services of several routers on a simulated clock.

The routers run the real `GenerationService`; engines, peers and dispatch are fakes.
"""

import asyncio
from dataclasses import replace
from random import Random

from bronzeline_daemon.generation_service import GenerationService
from bronzeline_daemon.metrics import Metrics
from bronzeline_daemon.peers import PeerIdentity
from bronzeline_daemon.quarantine_service import QuarantineService
from bronzeline_kernel.config import RouterSettings
from bronzeline_kernel.exceptions import (
    StreamBrokenError,
    StreamFencedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind
from bronzeline_kernel.generation import (
    Deliver,
    EndAnswer,
    EventIdCodec,
    FailAnswer,
    GenerationOptions,
    GenerationSpec,
)
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import (
    EngineRequest,
    EngineStreamEnd,
    TokenFrame,
    VmListing,
)
from bronzeline_kernel.routing import Grant, Refusal
from bronzeline_standins.engine_model import EngineModel, EngineOptions

STEP_MS = 10.0
QUARANTINE_MS = 60_000.0
SECRET = "a secret of the fleet"
LINGER_MS = 5_000.0
GRACE_MS = 2_000.0
OPTIONS = GenerationOptions(first_token_timeout_ms=1_600.0, reconnect_grace_ms=GRACE_MS)
LATENCY_S = 0.001
CONNECT_TIMEOUT_S = 0.5
QUEUE_DELAY_S = 0.02
MEMBERSHIP_LAG_S = 1.5
TICK_S = 0.05
RETRIED_CODES = ("holders_unreachable", "takeover_raced")
PAUSE_POLL_S = 0.05
REGIONS = ("lowcountry", "gulf-coast", "piedmont")


class FakeEngine:
    """Run an `EngineModel` that can be paused, stalled, killed and restarted."""

    def __init__(self, fleet, number, *, ignores_fence):
        self.upstream = Upstream(
            f"engine-{number}",
            "draft-desk",
            UpstreamKind.ENGINE,
            "127.0.0.1",
            1,
            f"{REGIONS[number % 3]}-a",
            REGIONS[number % 3],
            "draft-model",
            "1",
        )
        self.options = EngineOptions(
            inter_token_ms=STEP_MS,
            linger_ms=LINGER_MS,
            salt=str(number) if fleet.is_salted else "",
        )
        self.fleet = fleet
        self.ignores_fence = ignores_fence
        self.is_stalled = False
        self.is_leaving = False
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        self.stepped = asyncio.Condition()
        self.n_starts = 0
        self.n_deaths = 0
        self.last_silent_connection = -1
        self.start()

    def start(self):
        self.is_alive = True
        self.n_starts += 1
        self.model = EngineModel(self.options)

    def die(self):
        if self.is_alive:
            self.is_alive = False
            self.n_deaths += 1

    async def run(self):
        while True:
            await asyncio.sleep(STEP_MS / 1000.0)
            await self.unpaused.wait()
            if self.is_alive and not self.is_stalled:
                self.model.step(self.fleet.now_ms())
                if self.model.is_killed:
                    self.die()
            if self.model.streams or self.stepped._waiters:
                async with self.stepped:
                    self.stepped.notify_all()


class FakeConnector:
    """Connect one router to the fake engines."""

    def __init__(self, fleet, router_id):
        self.fleet = fleet
        self.router_id = router_id

    async def generate(self, upstream, request, on_frame):
        engine = await self._connect(upstream)
        self._check_fence(engine, request.generation_id, request.fence)
        stream = engine.model.submit(request)
        return await self._follow(engine, stream, stream.first_index, on_frame)

    async def attach(
        self, upstream, generation_id, attempt, fence, from_index, on_frame
    ):
        engine = await self._connect(upstream)
        stream = engine.model.streams.get(generation_id)
        if stream is None or stream.request.attempt != attempt:
            raise UpstreamRefusedError("unknown stream")
        self._check_fence(engine, generation_id, fence)
        stream.fence = max(stream.fence, fence)
        return await self._follow(engine, stream, from_index, on_frame)

    async def cancel(self, upstream, generation_id, fence):
        engine = await self._connect(upstream)
        self._check_fence(engine, generation_id, fence)
        engine.model.cancel(generation_id)

    async def _connect(self, upstream):
        engine = self.fleet.engines[upstream.upstream_id]
        await asyncio.sleep(LATENCY_S)
        if self.fleet.is_cut(self.router_id, engine):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise UpstreamUnreachableError("connect timed out")
        if not engine.is_alive:
            raise UpstreamUnreachableError("connection refused")
        if not engine.unpaused.is_set():
            await engine.unpaused.wait()
            # Requests that waited for the paused engine arrive in random order.
            await asyncio.sleep(self.fleet.random.uniform(0.0, 0.02))
        return engine

    def _check_fence(self, engine, generation_id, fence):
        stream = engine.model.streams.get(generation_id)
        if stream and fence < stream.fence and not engine.ignores_fence:
            raise StreamFencedError("older fence")

    async def _follow(self, engine, stream, index, on_frame):
        n_starts = engine.n_starts
        connection = self.fleet.next_connection()
        fence = stream.fence
        stream.add_follower(connection)
        try:
            while True:
                await self._wait_for_step(engine, connection)
                await self.fleet.wait_until_unpaused(self.router_id)
                if not engine.is_alive or engine.n_starts != n_starts:
                    raise StreamBrokenError("reset")
                end = stream.end
                if fence < stream.fence and not engine.ignores_fence:
                    end = "superseded"
                n_ready = 0 if end == "superseded" else stream.next_index
                has_pending_tokens = index < n_ready
                while index < n_ready:
                    frame = TokenFrame(
                        stream.request.attempt, index, stream.token(index)
                    )
                    on_frame(frame)
                    index += 1
                if end and not has_pending_tokens:
                    return EngineStreamEnd(
                        stream.request.attempt,
                        end,
                        stream.next_index,
                        stream.n_prompt_tokens,
                    )
        finally:
            stream.remove_follower(connection, self.fleet.now_ms())

    async def _wait_for_step(self, engine, connection):
        while True:
            async with engine.stepped:
                await engine.stepped.wait()
            if self.fleet.is_cut(self.router_id, engine):
                self.fleet.silent_connections.add(connection)
            if connection <= engine.last_silent_connection:
                self.fleet.silent_connections.add(connection)
            if connection not in self.fleet.silent_connections:
                return


class FakePeers:
    """Deliver messages to the other routers, unless one of the two is cut off."""

    def __init__(self, fleet, router_id, members):
        self.own_id = router_id
        self.incarnation = 1
        self.fleet = fleet
        self.members = members
        self.handlers = {}

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, router_id, message):
        asyncio.get_running_loop().call_later(
            LATENCY_S, self._deliver, router_id, message
        )

    def broadcast(self, message):
        for router in self.members.alive():
            self.send(router.router_id, message)

    def _deliver(self, router_id, message):
        target = self.fleet.routers.get(router_id)
        is_unreachable = self.own_id not in self.fleet.routers or target is None
        if is_unreachable or {self.own_id, router_id} & self.fleet.cut_routers:
            return
        if not target.unpaused.is_set():
            loop = asyncio.get_running_loop()
            loop.call_later(PAUSE_POLL_S, self._deliver, router_id, message)
            return
        target.peers.handlers[type(message)](PeerIdentity(self.own_id, 1), message)


class FakeDispatch:
    """Grant each ticket a random eligible engine after a short queue delay."""

    def __init__(self, fleet, router_id):
        self.fleet = fleet
        self.router_id = router_id
        self.withdrawn = set()
        self.n_granted = 0

    def request(self, ticket, on_result):
        asyncio.get_running_loop().call_later(
            QUEUE_DELAY_S, self._grant, ticket, on_result
        )

    def withdraw(self, ticket_id):
        self.withdrawn.add(ticket_id)

    def release(self, grant):
        self.n_granted -= 1

    def record_first_token(self, grant, elapsed_ms, n_prompt_tokens):
        pass

    def record_tokens(self, grant, n_tokens, elapsed_ms):
        pass

    def record_failure(self, grant, reason):
        pass

    def _grant(self, ticket, on_result):
        if ticket.ticket_id in self.withdrawn:
            return
        if self.router_id not in self.fleet.routers:
            return
        if not self.fleet.routers[self.router_id].unpaused.is_set():
            loop = asyncio.get_running_loop()
            loop.call_later(PAUSE_POLL_S, self._grant, ticket, on_result)
            return
        eligible = [
            engine.upstream
            for engine in self.fleet.engines.values()
            if engine.upstream.upstream_id not in ticket.excluded_ids
            and not engine.is_leaving
        ]
        if not eligible:
            on_result(Refusal(ticket.ticket_id, "no_upstream", 100.0))
            return
        self.n_granted += 1
        on_result(Grant(ticket.ticket_id, self.fleet.random.choice(eligible), 0.0))


class FakeRouter:
    """Run the generation and quarantine services of one router."""

    def __init__(self, fleet, number):
        self.router_id = f"router-{number}"
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        region = REGIONS[number % 3]
        self.members = Members(self.router_id)
        self.peers = FakePeers(fleet, self.router_id, self.members)
        self.dispatch = FakeDispatch(fleet, self.router_id)
        settings = RouterSettings(
            self.router_id, "127.0.0.1", 0, 0, f"{region}-a", region
        )
        self.info = RouterInfo(self.router_id, "127.0.0.1", 1, f"{region}-a", region)
        self.quarantine = QuarantineService(
            self.peers, self.members, fleet, lambda spec: QUARANTINE_MS
        )
        self.service = GenerationService(
            FakeConnector(fleet, self.router_id),
            self.dispatch,
            fleet,
            Metrics(),
            peers=self.peers,
            members=self.members,
            router=settings,
            event_ids=EventIdCodec(SECRET),
            random=Random(number),
            quarantine=self.quarantine,
            wall_clock_s=fleet.loop.time,
            resolve_options=lambda spec: replace(fleet.options, own_id=self.router_id),
        )
        upstreams = tuple(engine.upstream for engine in fleet.engines.values())
        self.service.apply_listing(VmListing(upstreams, ()))
        self.tasks = [
            asyncio.ensure_future(self.run()),
            asyncio.ensure_future(self.quarantine.run()),
        ]

    async def run(self):
        while True:
            await asyncio.sleep(TICK_S)
            await self.unpaused.wait()
            self.service.tick()

    def die(self):
        for task in self.tasks:
            task.cancel()
        self.service.abort()


class Caller:
    """Request a generation as a client does; reconnect with the last event ID."""

    def __init__(self, fleet, spec, *, reconnects=True, discards_progress=False):
        self.fleet = fleet
        self.spec = spec
        self.reconnects = reconnects
        self.discards_progress = discards_progress
        self.tokens = []
        self.token_times_ms = []
        self.last_event_id = ""
        self.end = None
        self.failure = None
        self.n_connections = 0
        self.loses_end = False
        self.is_continuation_lost = False
        self.router_id = ""
        self.run = None
        fleet.callers.append(self)

    def connect(self, router_id):
        self.n_connections += 1
        self.router_id = router_id
        number = self.n_connections
        spec = replace(
            self.spec,
            generation_id=f"{self.spec.generation_id}-{number}",
            last_event_id=self.last_event_id,
        )
        service = self.fleet.routers[router_id].service
        self.run = None
        self.run = service.start(spec, lambda event: self._on_event(number, event))

    def lose_connection(self, delay_ms=50.0):
        """Receive nothing more, and reconnect to another router after the delay."""
        self.n_connections += 1
        if self.reconnects:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1000.0, self._reconnect, self.n_connections)

    def _reconnect(self, number):
        if number == self.n_connections and self.end is None:
            if self.discards_progress:
                self.tokens = []
                self.last_event_id = ""
            alive = sorted(self.fleet.routers)
            others = [
                item
                for item in alive
                if item != self.router_id and self.fleet.routers[item].unpaused.is_set()
            ] or alive
            self.connect(self.fleet.random.choice(others))

    def _on_event(self, number, event):
        if number != self.n_connections or self.router_id not in self.fleet.routers:
            return
        if isinstance(event, Deliver):
            if event.index != len(self.tokens):
                raise AssertionError(f"token {event.index} after {len(self.tokens)}")
            self.tokens.append(event.text)
            self.token_times_ms.append(self.fleet.now_ms())
            self.last_event_id = event.event_id
        elif isinstance(event, EndAnswer):
            if self.loses_end:
                self.loses_end = False
                self.lose_connection()
            else:
                self.end = event
        elif event.code in RETRIED_CODES and self.reconnects:
            self.lose_connection()
        elif isinstance(event, FailAnswer):
            self.failure = event
            self.is_continuation_lost = not self.fleet.can_continue(self)

    @property
    def is_finished(self):
        return self.end is not None or self.failure is not None


class FleetSimulation:
    """Hold the engines, the routers and the callers, and the cut links between them."""

    def __init__(
        self,
        loop,
        seed,
        *,
        n_routers=4,
        n_engines=5,
        is_salted=True,
        ignores_fence=False,
        options=None,
    ):
        self.loop = loop
        self.random = Random(seed)
        self.is_salted = is_salted
        self.options = options or OPTIONS
        self.silent_connections = set()
        self.cut_links = set()
        self.cut_routers = set()
        self.callers = []
        self.n_connections = 0
        self.engines = {
            f"engine-{number}": FakeEngine(self, number, ignores_fence=ignores_fence)
            for number in range(n_engines)
        }
        self.routers = {}
        for number in range(n_routers):
            router = FakeRouter(self, number)
            self.routers[router.router_id] = router
        infos = [router.info for router in self.routers.values()]
        for router in self.routers.values():
            router.members.apply_listing(infos)
        self.tasks = [
            asyncio.ensure_future(engine.run()) for engine in self.engines.values()
        ]

    def now_ms(self):
        return self.loop.now_ms()

    def next_connection(self):
        self.n_connections += 1
        return self.n_connections

    def is_cut(self, router_id, engine):
        return (router_id, engine.upstream.upstream_id) in self.cut_links

    def kill_router(self, router_id):
        router = self.routers.pop(router_id, None)
        if router is not None:
            router.die()
        self.loop.call_later(MEMBERSHIP_LAG_S, self._remove_member, router_id)

    def _remove_member(self, router_id):
        for router in self.routers.values():
            router.members.forget(router_id)

    async def wait_until_unpaused(self, router_id):
        router = self.routers.get(router_id)
        if router is not None:
            await router.unpaused.wait()

    async def wait_until(self, condition, timeout_ms=60_000.0):
        deadline_ms = self.now_ms() + timeout_ms
        while not condition():
            if self.now_ms() > deadline_ms:
                return False
            await asyncio.sleep(0.005)
        return True

    def can_continue(self, caller):
        """Return whether a router or an engine holds all tokens of the caller."""
        event_id = EventIdCodec(SECRET).read(caller.last_event_id)
        if event_id is None:
            return True
        hints, index = event_id.hints, event_id.index
        generation_id = hints.generation_id
        tokens = caller.tokens
        states = [
            router.service.replication.store.find(generation_id, hints.request_key)
            for router in self.routers.values()
        ]
        if any(state and list(state.tokens[: index + 1]) == tokens for state in states):
            return True
        streams = [
            engine.model.streams.get(generation_id)
            for engine in self.engines.values()
            if engine.is_alive
        ]
        return any(
            stream
            and stream.next_index > index
            and stream.request.attempt == hints.attempt
            for stream in streams
        )

    def n_streams(self):
        return sum(
            len(engine.model.running) + len(engine.model.queued)
            for engine in self.engines.values()
            if engine.is_alive
        )


def make_spec(n_tokens=40, **changes):
    spec = GenerationSpec(
        "gen", "guild-00", "draft-desk", "draft-model", "a plan", n_tokens
    )
    return replace(spec, **changes)


def engine_request(spec):
    return EngineRequest(
        "", 1, 1, "", spec.model, "1", spec.adapter, spec.prompt, (), spec.max_tokens,
        spec.stop, spec.sampling_seed, spec.temperature, 0,
    )  # fmt: skip
