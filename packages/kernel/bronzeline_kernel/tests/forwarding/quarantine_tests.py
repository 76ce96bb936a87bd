"""Check which requests routers refuse once they have told each other of deaths."""

import unittest
from random import Random

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    EngineLost,
    PromptLost,
    Quarantine,
    RequestIdentity,
)
from bronzeline_kernel.tests.forwarding.samples import request

TICK_MS = 100.0
ZONES = ("zone-a", "zone-b", "zone-c")


class Fleet:
    """Deliver the messages of several routers' quarantines."""

    def __init__(self, n_routers=5, lost_share=0.0, seed=1):
        self.random = Random(seed)
        self.lost_share = lost_share
        self.routers = [Quarantine(Random(seed)) for _ in range(n_routers)]
        self.now_ms = 0.0
        self.n_engines = 0
        self.n_sent = 0

    def wait(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for router in self.routers:
                for message in router.tick(self.now_ms, len(self.routers) - 1):
                    self.deliver(router, message)

    def deliver(self, sender, message):
        for router in self.routers:
            if router is sender:
                continue
            self.n_sent += 1
            if self.random.random() >= self.lost_share:
                router.receive(message, self.now_ms)

    def die(self, router, request_hash, parts, has_answered=False):
        """Let an engine die under one request of a router."""
        self.n_engines += 1
        engine, zone = f"e{self.n_engines}", ZONES[self.n_engines % 3]
        lost = EngineLost(engine, "engines", zone, {request_hash: 1_000.0})
        prompt = PromptLost(engine, "engines", zone, request_hash, tuple(parts), 0.0)
        self.routers[router].engine_died(
            lost, None if has_answered else prompt, self.now_ms
        )

    def answer(self, router, parts):
        self.routers[router].prompt_answered(tuple(parts), self.now_ms)

    def refusing(self, parts, work_hash="new"):
        """Return how many routers refuse a request."""
        wanted = request(shared_part_ids=tuple(parts))
        identity = RequestIdentity("", work_hash)
        return sum(
            router.find(router.keys(wanted, identity), self.now_ms) is not None
            for router in self.routers
        )

    def answer_elsewhere(self):
        for number in range(len(self.routers)):
            self.answer(number, ("harmless",))


class QuarantineTests(unittest.TestCase):
    @params((0.0, 3), (0.3, 5))
    def test_all_routers_refuse_a_part_that_ended_engines_at_several(
        self, lost_share, n_deaths
    ):
        fleet = Fleet(lost_share=lost_share)
        fleet.answer_elsewhere()
        for number in range(n_deaths):
            fleet.die(number % 5, f"r{number}", "ad")
            fleet.wait(1_500.0)
        self.assertEqual(fleet.refusing("ad"), 5)
        self.assertEqual(fleet.refusing("a"), 0)
        self.assertEqual(fleet.refusing("axy"), 0)

    def test_an_answer_at_one_router_ends_the_refusal_at_all(self):
        fleet = Fleet()
        fleet.answer_elsewhere()
        for number in range(3):
            fleet.die(number, f"r{number}", "d")
            fleet.wait(1_500.0)
        self.assertEqual(fleet.refusing("d"), 5)
        fleet.answer(4, "d")
        fleet.wait(1_000.0)
        self.assertEqual(fleet.refusing("d"), 0)

    def test_the_part_that_is_left_is_refused_alone(self):
        fleet = Fleet()
        fleet.answer_elsewhere()
        for number in range(3):
            fleet.die(number, f"r{number}", "ad")
            fleet.wait(1_500.0)
        fleet.answer(1, "ax")
        fleet.wait(1_000.0)
        self.assertEqual(fleet.refusing("xd"), 5)
        self.assertEqual(fleet.refusing("ax"), 0)

    def test_a_part_needs_fewer_deaths_alone_than_before_together(self):
        fleet = Fleet()
        fleet.answer_elsewhere()
        for number in range(5):
            fleet.die(number, f"r{number}", "ad" if number < 3 else f"d{number}")
            fleet.wait(1_500.0)
        self.assertEqual(fleet.refusing("dy"), 5)

    def test_popular_parts_are_not_refused_after_many_unrelated_deaths(self):
        fleet = Fleet()
        for number in range(30):
            fleet.die(number % 5, f"r{number}", ("popular",))
            fleet.wait(500.0)
            fleet.answer((number + 1) % 5, ("popular",))
            fleet.wait(500.0)
        self.assertEqual(fleet.refusing(("popular",)), 0)

    def test_a_stream_that_was_answered_is_not_blamed(self):
        fleet = Fleet()
        fleet.answer_elsewhere()
        for number in range(5):
            fleet.die(number, f"r{number}", "d", has_answered=True)
            fleet.wait(1_500.0)
        self.assertEqual(fleet.refusing("d"), 0)

    def test_a_request_that_ends_engines_alone_is_refused_and_its_parts_are_not(self):
        fleet = Fleet()
        fleet.answer_elsewhere()
        for number in range(3):
            fleet.die(number, "killer", "a")
            fleet.wait(1_500.0)
        self.assertEqual(fleet.refusing("a", work_hash="killer"), 5)
        self.assertEqual(fleet.refusing("a"), 0)

    def test_few_routers_tell_all_others_that_a_popular_part_is_harmless(self):
        fleet = Fleet(n_routers=300)
        fleet.die(0, "r", ("popular",))
        fleet.wait(600.0)
        n_sent = fleet.n_sent
        for number in range(1, 300):
            fleet.answer(number, ("popular",))
        fleet.wait(2_000.0)
        self.assertLess((fleet.n_sent - n_sent) / 299, 60)
        self.assertFalse(any(x.parts.is_suspected("popular") for x in fleet.routers))
