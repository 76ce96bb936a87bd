"""Check how well many routers keep to limits, with slow and lost messages."""

import unittest
from random import Random

from nose2.tools import params

from bronzeline_kernel.forwarding import UpstreamLimits
from bronzeline_kernel.forwarding.return_times import useful_return_ms
from bronzeline_kernel.tests.forwarding.samples import upstream

UPSTREAM = ("u", 1)
STEP_MS = 5.0
REPORT_EVERY_MS = 100.0
WINDOW_MS = 4_000.0
LENGTH_MS = 20_000.0
RESPONSE_MS = 50.0
# The platform counts what routers send later than 500 ms after a response with the
# limit has passed through them.
KNOWN_AFTER_MS = 600.0
# The share of those told a time that should be served at that time.
MIN_SERVED_AT_RETURN = 0.95


class LimitPlayer:
    """Let routers send requests to one upstream, as fast as its limit allows."""

    def __init__(self, n_routers, limit_per_s, demand_per_s, lost_share=0.0, n_zones=3):
        self.random = Random(5)
        self.limit_per_s = limit_per_s
        self.demand_per_s = demand_per_s
        self.lost_share = lost_share
        self.delay_ms = 25.0
        self.messages = []
        self.responses = []
        self.sent_ms = []
        self.n_wanted = 0
        self.n_delivered = 0
        self.n_zones = n_zones
        self.now_ms = 0.0
        self.routers = [
            self.make_router(number, n_routers) for number in range(n_routers)
        ]

    def make_router(self, number, n_routers):
        limits = UpstreamLimits(
            n_routers=n_routers, n_in_zone=n_routers // self.n_zones
        )
        limits.on_report = lambda report: self.messages.append(
            (self.now_ms + self.delay_ms, number, report)
        )
        return limits

    def restart(self, number):
        self.routers[number] = self.make_router(number, len(self.routers))

    def play(self, until_ms=LENGTH_MS):
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self.deliver()
            if self.now_ms % REPORT_EVERY_MS == 0.0:
                for limits in self.routers:
                    for report in limits.reports(self.now_ms):
                        limits.on_report(report)
            if self.random.random() < self.demand_per_s * STEP_MS / 1_000.0:
                self.request(self.random.randrange(len(self.routers)))

    def request(self, number):
        self.n_wanted += 1
        limits = self.routers[number]
        if limits.may_send(UPSTREAM, self.now_ms):
            limits.record_send(UPSTREAM, self.now_ms)
            self.sent_ms.append(self.now_ms)
            self.responses.append((self.now_ms + RESPONSE_MS, number))

    def deliver(self):
        for item in [x for x in self.responses if x[0] <= self.now_ms]:
            self.responses.remove(item)
            limits = self.routers[item[1]]
            limits.record_response(UPSTREAM, self.limit_per_s, self.now_ms)
        for item in [x for x in self.messages if x[0] <= self.now_ms]:
            self.messages.remove(item)
            _, sender, report = item
            is_for_zone = self.routers[sender].is_for_zone(report)
            for number, limits in enumerate(self.routers):
                is_same_zone = number % self.n_zones == sender % self.n_zones
                if number == sender or (is_for_zone and not is_same_zone):
                    continue
                if self.random.random() >= self.lost_share:
                    self.n_delivered += 1
                    limits.receive(report, self.now_ms)

    def most_in_window(self):
        sent_ms = [at_ms for at_ms in self.sent_ms if at_ms >= KNOWN_AFTER_MS]
        return max(
            sum(at_ms <= x < at_ms + WINDOW_MS for x in sent_ms) for at_ms in sent_ms
        )


class ReturnPlayer(LimitPlayer):
    """Let refused callers come back once, at the time that they were told."""

    CREST_FROM_MS, CREST_TO_MS = 5_000.0, 8_000.0

    def __init__(self, base_per_s, crest_per_s, budget_ms, fixed_return_ms=None):
        super().__init__(n_routers=9, limit_per_s=6.0, demand_per_s=base_per_s)
        self.base_per_s = base_per_s
        self.crest_per_s = crest_per_s
        self.budget_ms = budget_ms
        self.fixed_return_ms = fixed_return_ms
        self.returns_ms = []
        self.n_refused = 0
        self.n_served_at_return = 0

    def play(self, until_ms=LENGTH_MS):
        while self.now_ms < until_ms:
            is_crest = self.CREST_FROM_MS <= self.now_ms < self.CREST_TO_MS
            self.demand_per_s = self.crest_per_s if is_crest else self.base_per_s
            super().play(self.now_ms + STEP_MS)
            due = [at_ms for at_ms in self.returns_ms if at_ms <= self.now_ms]
            self.returns_ms = [
                at_ms for at_ms in self.returns_ms if at_ms > self.now_ms
            ]
            for _ in due:
                limits = self.random.choice(self.routers)
                if limits.may_send(UPSTREAM, self.now_ms):
                    limits.record_send(UPSTREAM, self.now_ms)
                    self.n_served_at_return += 1

    def request(self, number):
        n_sent = len(self.sent_ms)
        super().request(number)
        if len(self.sent_ms) > n_sent or self.now_ms < KNOWN_AFTER_MS:
            return
        entries = [upstream(UPSTREAM[0], started=UPSTREAM[1])]
        limits = self.routers[number]
        return_ms = self.fixed_return_ms
        if return_ms is None:
            return_ms = limits.return_after_ms("orders", entries, self.now_ms)
        self.returns_ms.append(
            self.now_ms + useful_return_ms(return_ms, self.budget_ms)
        )
        self.n_refused += 1


class LimitLoadTests(unittest.TestCase):
    @params(
        (9, 1.1, 13.0, 0.0),
        (9, 2.8, 13.0, 0.05),
        (9, 2.8, 100.0, 0.0),
        (90, 1.1, 90.0, 0.0),
        (90, 15.0, 90.0, 0.05),
        (90, 40.0, 190.0, 0.0),
        (150, 40.0, 190.0, 0.0),
    )
    def test_routers_keep_to_a_limit_and_use_it(
        self, n_routers, limit_per_s, demand_per_s, lost_share
    ):
        player = LimitPlayer(n_routers, limit_per_s, demand_per_s, lost_share)
        player.play()
        allowed = 1.5 * limit_per_s * WINDOW_MS / 1_000.0 + 5.0
        self.assertLessEqual(player.most_in_window(), allowed)
        n_possible = limit_per_s * LENGTH_MS / 1_000.0
        self.assertGreaterEqual(len(player.sent_ms), 0.75 * n_possible)

    def test_restarted_routers_do_not_exceed_a_limit_for_long(self):
        player = LimitPlayer(9, 2.8, 30.0)
        for number in range(9):
            player.play(2_000.0 * (number + 1))
            player.restart(number)
        self.assertLessEqual(player.most_in_window(), 1.5 * 2.8 * 4.0 + 5.0)

    def test_a_demand_below_the_limit_is_not_refused(self):
        player = LimitPlayer(9, 8.0, 3.0)
        player.play()
        self.assertGreaterEqual(len(player.sent_ms), 0.9 * player.n_wanted)

    @params(1.5, 3.0)
    def test_callers_refused_in_a_crest_are_served_when_they_come_back(
        self, base_per_s
    ):
        player = ReturnPlayer(base_per_s, 15.0, 25_000.0)
        player.play(LENGTH_MS + 12_000.0)
        self.assertGreater(player.n_refused, 20)
        share = player.n_served_at_return / player.n_refused
        self.assertGreaterEqual(share, MIN_SERVED_AT_RETURN)

    @params(1.5, 3.0)
    def test_more_are_served_at_return_than_without_an_order_of_return(
        self, base_per_s
    ):
        player = ReturnPlayer(base_per_s, 15.0, 25_000.0)
        player.play(LENGTH_MS + 12_000.0)
        other = ReturnPlayer(base_per_s, 15.0, 25_000.0, fixed_return_ms=150.0)
        other.play(LENGTH_MS + 12_000.0)
        self.assertGreater(
            player.n_served_at_return / player.n_refused,
            other.n_served_at_return / other.n_refused,
        )

    def test_a_limit_costs_each_router_its_rate_in_messages(self):
        for n_routers in (9, 90):
            player = LimitPlayer(n_routers, 2.0, 50.0)
            player.play()
            received_per_s = player.n_delivered / n_routers / (LENGTH_MS / 1_000.0)
            self.assertLess(received_per_s, 2.0 * 2.0)
