"""Delete expired claims and look up the outcome of those in doubt."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from bronzeline_daemon.logs import log_event
from bronzeline_daemon.order_service.look_up import OrderLookUp
from bronzeline_kernel.exceptions import ConflictError, StoreError
from bronzeline_kernel.membership import Members
from bronzeline_kernel.orders import (
    CLAIM_PREFIX,
    Claim,
    ClaimState,
    decode_claim,
    encode_claim,
)
from bronzeline_kernel.orders.sweep import ClaimSweeper, is_expired, is_in_doubt
from bronzeline_kernel.protocols import ObjectStore, StoredObject

__all__ = ["ClaimSweepTask"]

MAX_WAIT_S = 600.0
DELETE_INTERVAL_S = 0.05

ResolveRetention = Callable[[str, str], float]


class ClaimSweepTask:
    """Sweep the claims periodically, each router its own share."""

    def __init__(
        self,
        store: ObjectStore,
        sweeper: ClaimSweeper,
        members: Members,
        retention_ms: ResolveRetention,
        order_look_up: OrderLookUp,
        wall_clock_s: Callable[[], float] = time.time,
        has_spare_writes: Callable[[], bool] = lambda: True,
    ) -> None:
        self.n_claims = 0.0
        self._store = store
        self._sweeper = sweeper
        self._members = members
        self._retention_ms = retention_ms
        self._order_look_up = order_look_up
        self._wall_clock_s = wall_clock_s
        self._has_spare_writes = has_spare_writes

    async def run(self) -> None:
        """Sweep one key prefix after the other until cancelled."""
        while True:
            step = self._sweeper.next_step(self._retention_ms("", ""), self.n_claims)
            await asyncio.sleep(min(step.wait_ms / 1000.0, MAX_WAIT_S))
            alive = [item.router_id for item in self._members.alive()]
            if not self._sweeper.is_responsible(step.prefix, alive):
                continue
            try:
                await self.sweep(step.prefix)
            except StoreError as error:
                log_event("claim_sweep_failed", error=error)

    async def sweep(self, prefix: str) -> int:
        """Sweep the claims under a prefix; return the number of deleted claims."""
        listed = await self._store.list_prefix(prefix)
        n_digits = len(prefix) - len(CLAIM_PREFIX)
        self.n_claims = float(len(listed) * 16**n_digits)
        n_deleted = 0
        for stored in listed:
            try:
                n_deleted += await self._sweep_one(stored)
            except ConflictError:
                continue
        return n_deleted

    async def _sweep_one(self, stored: StoredObject) -> bool:
        claim = decode_claim(stored.value)
        now_s = self._wall_clock_s()
        workspace = claim.labels.get("workspace", "")
        service = claim.labels.get("service", "")
        if is_expired(claim, now_s, self._retention_ms(workspace, service)):
            while not self._has_spare_writes():
                await asyncio.sleep(DELETE_INTERVAL_S)
            await self._store.delete(stored.key, expected_version=stored.version)
            return True
        if is_in_doubt(claim, now_s):
            await self._settle(stored, claim)
        return False

    async def _settle(self, stored: StoredObject, claim: Claim) -> None:
        outcome = await self._order_look_up.find(claim.labels)
        if outcome is None:
            return
        done = replace(
            claim,
            state=ClaimState.DONE,
            outcome=outcome,
            decided_at_s=self._wall_clock_s(),
        )
        await self._store.put(
            stored.key, encode_claim(done), expected_version=stored.version
        )
        log_event("order_settled", owner=claim.owner, **claim.labels)
