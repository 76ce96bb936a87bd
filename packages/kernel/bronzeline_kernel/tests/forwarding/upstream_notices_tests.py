"""Check what routers do after upstreams have said that they leave or rest."""

import unittest
from random import Random

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    CopySource,
    Fault,
    Notice,
    NoticeChange,
    UpstreamNotice,
    UpstreamNotices,
)
from bronzeline_kernel.tests.forwarding.samples import (
    ENGINES,
    fleet,
    placement,
    upstream,
)
from bronzeline_kernel.tests.forwarding.stream_driver import Driver

UPSTREAM = ("u", 1)
LEAVING = UpstreamNotice(is_leaving=True, leaving_value="1")


def resting(rest_ms=1_000.0):
    return UpstreamNotice(rest_ms=rest_ms, rest_value="1")


class UpstreamNoticesTests(unittest.TestCase):
    def setUp(self):
        self.notices = UpstreamNotices()
        self.changes = []
        self.notices.on_change = self.changes.append

    def test_an_upstream_leaves_until_it_starts_again(self):
        for notice in (UpstreamNotice(), LEAVING, UpstreamNotice(), LEAVING):
            self.notices.record(UPSTREAM, notice, 10.0)
        self.assertTrue(self.notices.is_leaving(UPSTREAM))
        self.assertFalse(self.notices.is_leaving(("u", 2)))
        expected = NoticeChange("u", 1, Notice.LEAVING, "1")
        self.assertEqual(self.changes, [expected])

    @params((set(), 59_999.0, True), (set(), 60_000.0, False), ({UPSTREAM}, 9e9, True))
    def test_a_notice_is_kept_while_its_upstream_is_listed(self, listed, at_ms, kept):
        self.notices.record(UPSTREAM, LEAVING, 0.0)
        self.notices.keep_only(listed, at_ms)
        self.assertEqual(self.notices.is_leaving(UPSTREAM), kept)
        self.assertEqual([item.is_over for item in self.changes[1:]], [True][kept:])

    @params(0.0, 500.0)
    def test_a_peers_word_counts_as_an_own_response(self, age_ms):
        reported = []
        self.notices.on_leaving = lambda *args: reported.append(args)
        self.notices.receive_leaving(UPSTREAM, "1", age_ms, 1_000.0)
        self.notices.record(UPSTREAM, LEAVING, 1_100.0)
        self.assertTrue(self.notices.is_leaving(UPSTREAM))
        expected = NoticeChange("u", 1, Notice.LEAVING, "1", age_ms, is_own=False)
        self.assertEqual((self.changes, reported), ([expected], []))

    def test_peers_are_told_once_that_an_upstream_leaves_and_that_it_rests(self):
        reported = []
        self.notices.on_leaving = lambda *args: reported.append(args)
        self.notices.on_rest = lambda *args: reported.append(args)
        for _ in range(3):
            self.notices.record(UPSTREAM, LEAVING, 0.0)
            self.notices.record(UPSTREAM, resting(), 0.0)
        expected = [(UPSTREAM, "1"), (UPSTREAM, "1", 1_000.0)]
        self.assertEqual(reported, expected)
        self.notices.receive_rest(("v", 1), "1", 1_000.0, 0.0)
        self.notices.record(("v", 1), resting(), 10.0)
        self.assertEqual(reported, expected)


class RestTests(unittest.TestCase):
    def setUp(self):
        self.notices = UpstreamNotices()
        self.changes = []
        self.notices.on_change = self.changes.append

    def rest(self, rest_ms, now_ms=0.0, upstream=UPSTREAM):
        self.notices.record(upstream, resting(rest_ms), now_ms)

    @params(
        (0.0, 0.0, 0.0),
        (50.0, 50.0, 62.5),
        (800.0, 800.0, 1_000.0),
        (30_000.0, 30_000.0, 30_500.0),
        (1e12, 60_000.0, 60_500.0),
        (float("inf"), 60_000.0, 60_500.0),
    )
    def test_a_rest_lasts_as_long_as_asked_for_within_bounds(
        self, rest_ms, earliest_ms, latest_ms
    ):
        self.rest(rest_ms)
        self.assertFalse(self.notices.is_resting(UPSTREAM, latest_ms))
        for at_ms in (0.0, earliest_ms / 2.0, earliest_ms - 0.1):
            is_resting = self.notices.is_resting(UPSTREAM, at_ms)
            self.assertEqual(is_resting, rest_ms > 0.0)
        self.assertFalse(self.notices.is_resting(("u", 2), 0.0))

    @params((1_000.0, 0.0), (100.0, 500.0), (2_000.0, 500.0))
    def test_the_latest_end_of_several_rests_counts(self, rest_ms, at_ms):
        self.rest(1_000.0)
        self.rest(rest_ms, at_ms)
        last_ms = max(1_000.0, at_ms + rest_ms) - 1.0
        self.assertTrue(self.notices.is_resting(UPSTREAM, last_ms))
        self.assertEqual(len(self.changes), 1)

    def test_a_rest_ends_though_the_upstream_answers_nothing(self):
        self.rest(1_000.0)
        self.assertEqual(self.notices.n_resting(500.0), 1)
        self.notices.keep_only({UPSTREAM}, 2_000.0)
        self.assertEqual(self.notices.n_resting(2_000.0), 0)
        self.assertEqual([item.is_over for item in self.changes], [False, True])
        self.assertEqual(self.changes[1].age_ms, 2_000.0)

    def test_routers_end_a_rest_at_different_times(self):
        ends_ms = set()
        for seed in range(20):
            notices = UpstreamNotices(Random(seed))
            notices.record(UPSTREAM, resting(1_000.0), 0.0)
            ends_ms.add(round(notices.rest_ends_at_ms(UPSTREAM), -1))
        self.assertGreater(len(ends_ms), 10)
        self.assertGreater(max(ends_ms) - min(ends_ms), 150.0)


class PeerRestTests(unittest.TestCase):
    """A peer's rest is a hint: this router may be served."""

    def setUp(self):
        self.placement = placement(fleet(1))
        self.notices = self.placement.upstreams.notices

    def receive(self, name, rest_ms=1_000.0):
        incarnation = self.placement.upstreams.get(name).incarnation
        self.notices.receive_rest(incarnation, "1", rest_ms, 0.0)
        self.placement.health.record_peer_rest(incarnation, rest_ms, 0.0)
        return incarnation

    @params((1_000.0, 999.0, 1_000.0), (30_000.0, 1_999.0, 2_000.0))
    def test_others_are_preferred_for_a_while(self, rest_ms, last_ms, over_ms):
        self.receive("zone-a-0", rest_ms)
        for at_ms, expected in ((last_ms, False), (over_ms, True)):
            chosen = {
                self.placement.choose_for_call(ENGINES, at_ms).upstream.upstream_id
                for _ in range(20)
            }
            self.assertEqual("zone-a-0" in chosen, expected)

    def test_it_is_used_if_there_is_no_other(self):
        for name in ("zone-a-0", "zone-b-0", "zone-c-0"):
            self.receive(name)
        self.assertIsNotNone(self.placement.choose_for_call(ENGINES, 1.0))
        self.assertIsNotNone(self.placement.choose_for_stream(ENGINES, 1.0))

    @params((-5.0, 0.0), (500.0, 500.0), (1e12, 60_000.0))
    def test_a_peers_rest_is_bounded(self, rest_ms, expected_ms):
        incarnation = self.receive("zone-a-0", rest_ms)
        self.assertEqual(self.notices.closed_until_ms(incarnation), expected_ms)

    def test_an_own_response_ends_the_hint(self):
        incarnation = self.receive("zone-a-0")
        self.notices.record(incarnation, UpstreamNotice(), 10.0)
        self.assertEqual(self.notices.closed_until_ms(incarnation), float("-inf"))


class NoticePlacementTests(unittest.TestCase):
    def setUp(self):
        self.placement = placement(fleet(1))

    def leave(self, *names, notice=LEAVING):
        for name in names:
            incarnation = self.placement.upstreams.get(name).incarnation
            self.placement.upstreams.notices.record(incarnation, notice, 0.0)

    def chosen(self, choose, *args):
        found = [choose(*args) for _ in range(40)]
        found = [getattr(item, "upstream", item) for item in found]
        return {item.upstream_id for item in found if item is not None}

    @params(
        ("choose_for_stream", LEAVING),
        ("choose_for_call", LEAVING),
        ("choose_for_stream", resting()),
        ("choose_for_call", resting()),
    )
    def test_a_leaving_or_resting_upstream_gets_no_new_work(self, method, notice):
        choose = getattr(self.placement, method)
        self.leave("zone-a-0", "zone-b-0", notice=notice)
        self.assertEqual(self.chosen(choose, ENGINES, 1.0), {"zone-c-0"})
        self.leave("zone-c-0", notice=notice)
        self.assertEqual(self.chosen(choose, ENGINES, 999.0), set())
        all_names = {"zone-a-0", "zone-b-0", "zone-c-0"} if notice.rest_ms else set()
        self.assertLessEqual(self.chosen(choose, ENGINES, 1_250.0), all_names)
        is_open = bool(self.chosen(choose, ENGINES, 1_250.0))
        self.assertEqual(is_open, notice.rest_ms > 0.0)

    @params(LEAVING, resting())
    def test_such_an_upstream_keeps_no_new_copy_and_lists_no_prompts(self, notice):
        self.leave("zone-b-0", notice=notice)
        copies = self.chosen(self.placement.choose_for_copy, upstream("zone-a-0"), 1.0)
        self.assertEqual(copies, {"zone-c-0"})
        listed = self.placement.prompt_list_candidates(ENGINES, 1.0)
        names = {item.upstream_id for item in listed}
        self.assertEqual(names, {"zone-a-0", "zone-c-0"})

    def test_a_new_start_of_a_leaving_upstream_gets_work_again(self):
        self.leave("zone-a-0")
        self.placement.upstreams.put(upstream("zone-a-0", started=2))
        choose = self.placement.choose_for_call
        self.assertEqual(self.chosen(choose, ENGINES, 1.0), {"zone-a-0"})

    def test_another_listing_does_not_end_the_notice(self):
        self.leave("zone-a-0")
        self.placement.upstreams.replace_all(fleet(1), 1.0)
        choose = self.placement.choose_for_call
        self.assertNotIn("zone-a-0", self.chosen(choose, ENGINES, 1.0))


class NoticeStreamTests(unittest.TestCase):
    """How it is known: by a response that says it leaves or rests, or by the list."""

    def leave(self, driver, entry, source):
        if source == "list":
            zone = entry.availability_zone
            left = upstream(entry.upstream_id, zone, leaving=True)
            driver.placement.upstreams.put(left)
        elif source == "removed":
            driver.placement.upstreams.remove(entry.upstream_id, driver.now_ms)
        else:
            notices = driver.placement.upstreams.notices
            notice = resting() if source == "rest" else LEAVING
            notices.record(entry.incarnation, notice, driver.now_ms)

    @params("response", "rest", "list", "removed")
    def test_a_broken_stream_is_not_sent_to_a_leaving_upstream_again(self, source):
        driver = Driver()
        send = driver.start()
        self.leave(driver, send.upstream, source)
        (again,) = driver.fail_attempt(send.number, Fault.BROKEN)
        self.assertNotEqual(again.upstream.address, send.upstream.address)

    @params("response", "rest", "list", "removed")
    def test_a_stream_does_not_resume_on_a_leaving_holder(self, source):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        self.leave(driver, send.copy_to, source)
        (again,) = driver.fail_attempt(send.number, Fault.SILENT)
        self.assertIsNone(again.copy_from)
        self.assertNotEqual(again.upstream.address, send.copy_to.address)

    @params("response", "rest", "list")
    def test_a_stream_of_another_router_does_not_resume_on_a_leaving_holder(
        self, source
    ):
        driver = Driver()
        holder = fleet(2)[-1]
        driver.run.find_copy = lambda now_ms: CopySource(holder, holder, "id-1")
        self.leave(driver, holder, source)
        send = driver.start()
        self.assertIsNone(send.copy_from)
        self.assertNotEqual(send.upstream.address, holder.address)

    @params("response", "list")
    def test_the_copy_of_a_stream_moves_from_a_leaving_holder(self, source):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        self.leave(driver, send.copy_to, source)
        ((_, action),) = driver.wait(50.0)
        self.assertNotEqual(action.holder.address, send.copy_to.address)

    @params(
        ("response", Fault.BROKEN, False),
        ("list", Fault.BROKEN, False),
        ("response", Fault.SILENT, False),
        ("response", Fault.UNREACHABLE, False),
        ("", Fault.BROKEN, True),
        ("", Fault.SILENT, True),
    )
    def test_the_end_of_a_leaving_upstream_is_no_loss_of_its_zone(
        self, source, fault, is_suspect
    ):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        if source:
            self.leave(driver, send.upstream, source)
        driver.fail_attempt(send.number, fault)
        health, zone = driver.placement.health, send.upstream.zone
        entries = [x for x in fleet(2) if x.zone == zone]
        other = next(x for x in entries if x.address != send.upstream.address)
        found = health.is_zone_suspect(zone, other.incarnation, driver.now_ms)
        self.assertEqual(found, is_suspect)

    def test_no_copy_is_asked_of_a_resting_upstream(self):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        self.leave(driver, send.copy_to, "list")
        self.leave(driver, send.upstream, "rest")
        self.assertEqual(driver.wait(150.0), [])

    @params("response", "rest", "list")
    def test_a_stream_ends_on_its_leaving_upstream(self, source):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        self.leave(driver, send.upstream, source)
        self.assertEqual(driver.wait(100.0), [])
        self.assertTrue(driver.event(send.number, 4))
