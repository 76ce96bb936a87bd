"""Read the orders of rollouts from the store, decide them and write their states."""

from __future__ import annotations

import asyncio

from bronzeline_daemon.forwarding.rollout_exchange import RolloutExchange
from bronzeline_daemon.forwarding.store_timeout import StoreTimeout
from bronzeline_daemon.logs import log_event, log_exception
from bronzeline_kernel.exceptions import HistoryLostError, StoreUnavailableError
from bronzeline_kernel.forwarding import (
    DirectoryStore,
    ProofSource,
    RolloutAnnouncement,
    RolloutChanges,
    RolloutOrder,
    RolloutStages,
    RolloutState,
    Situation,
    StorePosition,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["RolloutDirectory"]

# A change ends the long poll at once.
WATCH_MS = 4_000.0
IDLE_POLL_S = 0.1
RETRY_S = 0.3
FAILURE_PAUSE_S = 1.0
TICK_S = 0.1
# A decider that was suspended for this long reads the store before it decides again.
PAUSE_MS = 1_000.0
ANNOUNCE_INTERVAL_MS = 500.0
ANNOUNCE_FINAL_INTERVAL_MS = 3_000.0
# Reports arrive every 200 ms; a router that is silent for longer has failed.
REPORT_LIFETIME_MS = 1_500.0


class RolloutDirectory:
    """Decide rollouts while this router reads the store; others follow its peers."""

    def __init__(
        self,
        store: DirectoryStore,
        exchange: RolloutExchange,
        proof_source: ProofSource,
        clock: Clock,
    ) -> None:
        self._store = store
        self._exchange = exchange
        self._proof_source = proof_source
        self._clock = clock
        self._stages: dict[str, RolloutStages] = {}
        # The position at which each entry was read last.
        self._read_at: dict[str, StorePosition] = {}
        self._position: StorePosition | None = None
        self._was_read = False
        self._is_unsure = True
        self._timeout = StoreTimeout()
        self._write_timeout = StoreTimeout()
        self._writes: dict[str, asyncio.Task[None]] = {}
        self._announced_at_ms: dict[str, float] = {}
        self._announced: dict[str, RolloutAnnouncement] = {}
        self._logged: dict[str, tuple[object, ...]] = {}
        self._ticked_at_ms = clock.now_ms()
        self._tasks: list[asyncio.Task[None]] = []
        exchange.on_announced = self._on_announced

    def start(self) -> None:
        """Start to read the orders and to decide them."""
        self._tasks = [
            asyncio.create_task(self._watch()),
            asyncio.create_task(self._decide()),
        ]

    def stop(self) -> None:
        """Cancel the background tasks."""
        for task in (*self._tasks, *self._writes.values()):
            task.cancel()

    def stages(self, service: str) -> RolloutStages | None:
        """Return the rollout of a service if this router decides it."""
        return self._stages.get(service)

    @property
    def _is_reader(self) -> bool:
        return self._proof_source.must_read_store(self._clock.now_ms())

    async def _watch(self) -> None:
        while True:
            try:
                await self._read_next()
            except HistoryLostError as error:
                log_event("history_lost", what="rollouts", error=str(error))
                self._position = None
            except StoreUnavailableError as error:
                if not self._is_unsure:
                    log_event("rollouts_not_read", error=str(error))
                self._is_unsure = True
                await asyncio.sleep(RETRY_S)
            except Exception as error:
                log_exception(
                    "rollouts_failed", (type(error), error, error.__traceback__)
                )
                self._position = None
                await asyncio.sleep(FAILURE_PAUSE_S)

    async def _read_next(self) -> None:
        """Read once; a router that doesn't read the store reads at its start only."""
        if not self._exchange.is_list_loaded or (
            self._was_read and not self._is_reader
        ):
            self._position = None
            await asyncio.sleep(IDLE_POLL_S)
            return
        if self._position is None:
            changes = await self._timeout.call(
                self._store.list_rollouts(allow_stale=not self._is_reader),
                is_unsure=self._is_unsure,
            )
            listed = {order.service for order in changes.orders}
            removed = self._stages.keys() - listed - set(changes.unreadable)
            self._take(changes, removed)
        else:
            wait_ms = 0.0 if self._is_unsure else WATCH_MS
            changes = await self._timeout.call(
                self._store.watch_rollouts(self._position, wait_ms),
                is_unsure=self._is_unsure,
            )
            self._take(changes, set(changes.removed))
        self._is_unsure = False
        self._was_read = True
        self._position = changes.position

    def _take(self, changes: RolloutChanges, removed: set[str]) -> None:
        self._exchange.refresh()
        for order in changes.orders:
            self._take_order(order)
        for service in removed & self._stages.keys():
            if changes.position >= self._read_at[service]:
                self._stages[service].withdraw()

    def _take_order(self, order: RolloutOrder) -> None:
        """Begin to decide an order, or compare it with what was known."""
        service = order.service
        position = StorePosition(self._store.era.number, order.revision)
        known_at = self._read_at.get(service)
        if known_at is not None and position < known_at:
            return
        known = self._stages.get(service)
        self._read_at[service] = position
        if known is not None and known.order.is_same_rollout(order):
            is_restored = known_at is not None and position.era > known_at.era
            if known.update(order, is_restored=is_restored):
                return
        if known is not None:
            log_event(
                "rollout_superseded",
                service=service,
                version=known.order.version,
                stage=known.stage.value,
                by=order.version,
            )
        self._begin(order)

    def _begin(self, order: RolloutOrder) -> None:
        service, now_ms = order.service, self._clock.now_ms()
        traffic = self._exchange.traffic
        if order.served_version:
            traffic.establish(service, order.served_version)
        announced = traffic.announced(service, now_ms)
        if announced is not None and (
            announced.version != order.version
            or announced.created_revision != order.created_revision
        ):
            announced = None
        control = traffic.control_of(service, order.version)
        stages = RolloutStages.begin(
            order, self._exchange.bounds, control, announced, now_ms
        )
        self._stages[service] = stages
        log_event(
            "rollout_ordered",
            service=service,
            version=order.version,
            duration_ms=round(order.duration_ms),
            state=order.state.value if order.state else "",
            control=",".join(sorted(stages.control)),
            revision=order.revision,
        )
        if stages.is_blind:
            self._exchange.query(service, order.version)
        # Until a deciding router tells more, only the control is used.
        self._exchange.follow(self._announcement_of(stages, now_ms))

    def _on_announced(self, announced: RolloutAnnouncement) -> None:
        stages = self._stages.get(announced.service)
        if stages is not None:
            stages.follow(announced, self._clock.now_ms(), self._store.era.number)

    async def _decide(self) -> None:
        while True:
            try:
                self._tick()
            except Exception as error:
                log_exception(
                    "rollouts_failed", (type(error), error, error.__traceback__)
                )
                await asyncio.sleep(FAILURE_PAUSE_S)
            await asyncio.sleep(TICK_S)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        paused_ms, self._ticked_at_ms = now_ms - self._ticked_at_ms, now_ms
        if not self._is_reader:
            # What another router decides meanwhile is read again before this one does.
            if self._was_read:
                self._stages.clear()
                self._read_at.clear()
                self._position = None
            return
        if paused_ms > PAUSE_MS:
            log_event("rollouts_paused", paused_ms=round(paused_ms))
            self._position = None
        if self._position is None:
            return
        for stages in list(self._stages.values()):
            self._advance(stages, now_ms)

    def _advance(self, stages: RolloutStages, now_ms: float) -> None:
        service = stages.order.service
        stages.bounds = self._exchange.bounds
        state = stages.tick(self._situation(stages, now_ms), now_ms)
        self._log(stages, now_ms)
        if not stages.is_blind:
            self._announce(stages, now_ms)
        task = self._writes.get(service)
        if state is not None and (task is None or task.done()):
            self._writes[service] = asyncio.create_task(
                self._write(stages.order, state)
            )

    def _situation(self, stages: RolloutStages, now_ms: float) -> Situation:
        service = stages.order.service
        fleet, traffic = self._exchange.fleet(service), self._exchange.traffic
        return Situation(
            fleet.totals(),
            self._exchange.targets_ms(service),
            traffic.n_upstreams(service, (stages.order.version,)),
            traffic.n_upstreams(service, stages.control),
            fleet.n_running(stages.control, now_ms, REPORT_LIFETIME_MS),
        )

    async def _write(self, order: RolloutOrder, state: RolloutState) -> None:
        """Write a state; the next write begins once this one has ended."""
        try:
            await self._try_write(order, state)
        except Exception as error:
            log_exception("rollouts_failed", (type(error), error, error.__traceback__))
            await asyncio.sleep(FAILURE_PAUSE_S)

    async def _try_write(self, order: RolloutOrder, state: RolloutState) -> None:
        """Write a state; what is read back counts, whoever wrote it."""
        fields = {"service": order.service, "version": order.version}
        try:
            stored = await self._write_timeout.call(
                self._store.write_rollout_state(order, state), is_unsure=False
            )
        except StoreUnavailableError as error:
            log_event(
                "rollout_not_written", **fields, state=state.value, error=str(error)
            )
            await asyncio.sleep(RETRY_S)
            return
        if stored is None:
            log_event("rollout_not_stored", **fields, state=state.value)
            await asyncio.sleep(FAILURE_PAUSE_S)
            return
        log_event(
            "rollout_written",
            **fields,
            state=state.value,
            stored=stored.state.value if stored.state else "",
            stored_version=stored.version,
            revision=stored.revision,
        )
        self._take_order(stored)

    def _announcement_of(
        self, stages: RolloutStages, now_ms: float
    ) -> RolloutAnnouncement:
        era = self._store.era.number
        return stages.announced(era, self._exchange.router_id, now_ms)

    def _announce(self, stages: RolloutStages, now_ms: float) -> None:
        """Tell peers when something has changed, and again as datagrams may be lost."""
        service = stages.order.service
        announced = self._announcement_of(stages, now_ms)
        interval_ms = (
            ANNOUNCE_FINAL_INTERVAL_MS
            if stages.stage.is_final
            else ANNOUNCE_INTERVAL_MS
        )
        is_due = now_ms - self._announced_at_ms.get(service, 0.0) >= interval_ms
        if not is_due and announced.is_same_decision(self._announced.get(service)):
            return
        self._announced[service], self._announced_at_ms[service] = announced, now_ms
        self._exchange.announce(announced)

    def _log(self, stages: RolloutStages, now_ms: float) -> None:
        """Log each stage and verdict with the counts that decided it."""
        service, judged = stages.order.service, stages.judgement
        subject = (stages.order.version, stages.stage, judged.verdict)
        if self._logged.get(service) == subject:
            return
        self._logged[service] = subject
        fleet = self._exchange.fleet(service)
        age_ms = fleet.age_ms(now_ms)
        log_event(
            "rollout_stage",
            service=service,
            version=stages.order.version,
            stage=stages.stage.value,
            reason=stages.reason,
            verdict=judged.verdict.value,
            verdict_reason=judged.reason,
            route=judged.route,
            n_bad=judged.n_bad,
            n_responses=judged.n_responses,
            n_control_bad=judged.n_control_bad,
            n_control=judged.n_control,
            n_reports=fleet.n_reports,
            reports_age_ms=None if age_ms is None else round(age_ms),
            elapsed_ms=round(now_ms - stages.ordered_at_ms),
        )
