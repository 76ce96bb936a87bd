import heapq
from itertools import count
from random import Random

from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind
from bronzeline_kernel.protocols import LoadReport
from bronzeline_kernel.routing import Dispatcher, Grant, Refusal, Ticket, WorkClass
from bronzeline_kernel.routing.messages import (
    DispatchTick,
    FirstTokenReceived,
    GrantReleased,
    LoadRead,
    PeerMessageReceived,
    RoutersUpdated,
    SendToRouter,
    TicketRequested,
    UpstreamsRead,
)

REGIONS = ("seoul", "busan", "daejeon")
MODEL = "care-model"
SERVICE = "pool"


def make_engine(number, n_regions=3):
    region = REGIONS[number % n_regions]
    return Upstream(
        f"engine-{number}",
        SERVICE,
        UpstreamKind.ENGINE,
        "127.0.0.1",
        1,
        f"{region}-a",
        region,
        MODEL,
        "1",
    )


def make_router(number, n_regions=3):
    region = REGIONS[number % n_regions]
    return RouterInfo(f"router-{number}", "127.0.0.1", 1, f"{region}-a", region)


class DispatchSimulation:
    """Simulate dispatchers and engines with slots on a simulated clock."""

    def __init__(
        self, n_routers=9, n_engines=9, n_slots=8, seed=1, n_regions=3, order=None
    ):
        self.now_ms = 0.0
        self.random = Random(seed)
        self.n_slots = n_slots
        self.engines = [make_engine(number, n_regions) for number in range(n_engines)]
        self.infos = [make_router(number, n_regions) for number in range(n_routers)]
        self.routers = {
            info.router_id: Dispatcher(info, Random(f"{seed}/{info.router_id}"))
            for info in self.infos
        }
        # Routers with timers due at the same time run in this order.
        self.order = [f"router-{number}" for number in order or range(n_routers)]
        self.alive_ids = set(self.routers)
        self.draining = set()
        self.drops_message = lambda source, target: False
        self.running = {}
        self.grants = {}
        self.refusals = {}
        self.decisions = []
        self.durations = {}
        self.workspaces = {}
        self.owners = {}
        self.n_messages = 0
        self._events = []
        self._order = count()
        self._ticket_numbers = count()
        for router_id in self.routers:
            self.send(router_id, UpstreamsRead(tuple(self.engines)))
            for engine in self.engines:
                report = LoadReport(engine.upstream_id, 0.0, 0, 0, n_slots)
                self.send(router_id, LoadRead(engine.upstream_id, report))
        self.update_routers()
        self._push(0.0, lambda: self._tick())

    def restart_router(self, router_id):
        info = next(item for item in self.infos if item.router_id == router_id)
        self.routers[router_id] = Dispatcher(info, Random(f"again/{router_id}"))
        self.alive_ids.add(router_id)
        self.draining.discard(router_id)
        self.send(router_id, UpstreamsRead(tuple(self.engines)))
        for engine in self.engines:
            report = LoadReport(engine.upstream_id, 0.0, 0, 0, self.n_slots)
            self.send(router_id, LoadRead(engine.upstream_id, report))
        self.update_routers()

    def kill_router(self, router_id):
        self.alive_ids.discard(router_id)
        self.update_routers()

    def update_routers(self):
        for router_id in self._in_order():
            others = tuple(
                info
                for info in self.infos
                if info.router_id in self.alive_ids and info.router_id != router_id
            )
            self.send(router_id, RoutersUpdated(others, len(self.infos) - 1))

    def send(self, router_id, message):
        if router_id not in self.alive_ids:
            return
        actions = self.routers[router_id].handle(message, self.now_ms)
        for action in actions:
            self._perform(router_id, action)

    def request(self, router_id, duration_ms, workspace="w-0", **fields):
        ready = sorted(self.alive_ids - self.draining)
        if router_id not in ready:
            # A load balancer sends no requests to a router that is not ready.
            router_id = self.random.choice(ready)
        ticket_id = f"ticket-{next(self._ticket_numbers)}"
        self.durations[ticket_id] = duration_ms
        self.workspaces[ticket_id] = workspace
        self.owners[ticket_id] = router_id
        fields = {"work_class": WorkClass.SHORT, "model": MODEL, **fields}
        ticket = Ticket(
            ticket_id=ticket_id,
            workspace=workspace,
            service=SERVICE,
            deadline_at_ms=self.now_ms + 600_000.0,
            **fields,
        )
        self.send(router_id, TicketRequested(ticket))
        return ticket_id

    def run_until(self, end_ms):
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = end_ms

    def at(self, at_ms, callback):
        self._push(at_ms, callback)

    def n_running(self, upstream_id):
        return sum(item == upstream_id for item in self.running.values())

    def n_held(self, upstream_id):
        return sum(
            self.routers[router_id].state.ledger.n_held(upstream_id)
            for router_id in self._in_order()
        )

    def _in_order(self):
        return [item for item in self.order if item in self.alive_ids]

    def waiting_ids(self):
        return [
            waiter.ticket.ticket_id
            for router_id in self._in_order()
            for waiter in self.routers[router_id].state.queue.waiters()
        ]

    def _push(self, at_ms, callback):
        heapq.heappush(self._events, (at_ms, next(self._order), callback))

    def _tick(self):
        for router_id in self._in_order():
            self.send(router_id, DispatchTick())
        self._push(self.now_ms + 20.0, self._tick)

    def _perform(self, router_id, action):
        match action:
            case Grant():
                self._start(router_id, action)
            case Refusal():
                self.refusals[action.ticket_id] = action
            case SendToRouter(target, message):
                self.n_messages += 1
                if not self.drops_message(router_id, target):
                    peer_message = PeerMessageReceived(router_id, message)
                    self._push(
                        self.now_ms + 3.0, lambda: self.send(target, peer_message)
                    )
            case _:
                self.decisions.append(action)

    def _start(self, router_id, grant):
        ticket_id = grant.ticket_id
        self.grants[ticket_id] = grant
        self.running[ticket_id] = grant.upstream.upstream_id
        self._push(
            self.now_ms + 20.0,
            lambda: self.send(router_id, FirstTokenReceived(ticket_id, 20.0, 10)),
        )
        end_ms = self.now_ms + self.durations[ticket_id]
        self._push(end_ms, lambda: self._end(router_id, ticket_id))

    def _end(self, router_id, ticket_id):
        self.running.pop(ticket_id, None)
        self.send(router_id, GrantReleased(ticket_id))
