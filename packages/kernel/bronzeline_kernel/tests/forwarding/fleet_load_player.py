"""Play streams of several routers that know each other's load some time later."""

from __future__ import annotations

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.tests.forwarding.load_player import STEP_MS, Caller, LoadPlayer
from bronzeline_kernel.tests.forwarding.samples import ZONES, fleet, placement

REPORT_INTERVAL_MS = 100.0
REPORT_DELAY_MS = 20.0


class RouterView:
    """Let callers of one router use its placement and the fleet's engines."""

    def __init__(self, player, router_placement):
        self.player = player
        self.placement = router_placement
        self.budget = RetryBudget(0.5, 50.0)

    def __getattr__(self, name):
        return getattr(self.player, name)


class FleetLoadPlayer(LoadPlayer):
    """Let callers send streams through routers in turn, which report their load."""

    def __init__(self, speed, n_routers=9, per_zone=3, seed=1, n_slots=64):
        super().__init__(speed, per_zone, seed, n_slots)
        entries = fleet(per_zone)
        self.routers = [
            RouterView(self, placement(entries, ZONES[number % len(ZONES)]))
            for number in range(n_routers)
        ]
        for number, router in enumerate(self.routers):
            router.placement.random.seed(f"{seed}/{number}")
        self.reports = []

    def send(self, budget_ms=25_000.0, n_prompt_tokens=5_000, after_event=0):
        """Send a stream now, through any router."""
        router = self._random.choice(self.routers)
        deadline_ms = self.now_ms + budget_ms
        caller = Caller(router, self.now_ms, deadline_ms, n_prompt_tokens, after_event)
        self.callers.append(caller)
        caller.start(self.now_ms)
        return caller

    def wait(self, duration_ms):
        """Advance the time, and deliver the reports that are due."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            super().wait(STEP_MS)
            if self.now_ms % REPORT_INTERVAL_MS < STEP_MS:
                self.reports += [
                    (self.now_ms + REPORT_DELAY_MS, number, router.placement.own_load())
                    for number, router in enumerate(self.routers)
                ]
            self._deliver_reports()

    def _deliver_reports(self):
        due = [item for item in self.reports if item[0] <= self.now_ms]
        self.reports = [item for item in self.reports if item[0] > self.now_ms]
        for _, sender, load in due:
            for number, router in enumerate(self.routers):
                if number != sender:
                    router.placement.set_peer_load(f"r{sender}", load, self.now_ms)
