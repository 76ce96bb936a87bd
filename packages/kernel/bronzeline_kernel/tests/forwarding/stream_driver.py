"""Drive one stream's state machine in simulated time."""

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import (
    Fault,
    StreamOptions,
    StreamRun,
)
from bronzeline_kernel.tests.forwarding.samples import (
    ENGINES,
    binding,
    fleet,
    placement,
    request,
    route,
)

OPTIONS = StreamOptions()


class Driver:
    """Drive one stream and record the actions that it returns."""

    def __init__(self, per_zone=2, budget=50.0, **run_fields):
        self.placement = placement(fleet(per_zone))
        self.now_ms = 0.0
        self.run = StreamRun(
            binding(
                run_fields.pop("request", request()),
                run_fields.pop("route", route()),
                self.placement,
            ),
            ENGINES,
            self.placement,
            RetryBudget(0.5, budget),
            25_000.0,
            **run_fields,
        )
        self.actions = []

    def collect(self, actions):
        self.actions += actions
        return actions

    def start(self):
        return self.collect(self.run.start(self.now_ms))[0]

    def event(self, number, event_id, after_ms=40.0):
        self.now_ms += after_ms
        return self.run.accept_event(number, event_id, self.now_ms)

    def events(self, number, count, after_ms=40.0):
        first = self.run.last_event + 1
        return [
            self.event(number, event_id, after_ms)
            for event_id in range(first, first + count)
        ]

    def fail_attempt(self, number, fault=Fault.BROKEN):
        return self.collect(self.run.lost(number, fault, self.now_ms))

    def lose_upstream(self, number, fault=Fault.BROKEN):
        """Fail an attempt whose upstream then responds to no probe."""
        actions = self.fail_attempt(number, fault)
        probed = self.run.broken_probed(number, False, self.now_ms)
        return actions + self.collect(probed)

    def wait(self, duration_ms, step_ms=10.0):
        """Advance the time in steps; return each action with its time."""
        end_ms, timed_actions = self.now_ms + duration_ms, []
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for action in self.collect(self.run.tick(self.now_ms)):
                timed_actions.append((self.now_ms, action))
        return timed_actions
