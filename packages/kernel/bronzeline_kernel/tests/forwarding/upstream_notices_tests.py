"""Check what routers do after upstreams have said in responses that they leave."""

import unittest

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


class LeavingPlacementTests(unittest.TestCase):
    def setUp(self):
        self.placement = placement(fleet(1))

    def leave(self, *names):
        for name in names:
            incarnation = self.placement.upstreams.get(name).incarnation
            self.placement.upstreams.notices.record(incarnation, LEAVING, 0.0)

    def chosen(self, choose, *args):
        found = [choose(*args) for _ in range(40)]
        found = [getattr(item, "upstream", item) for item in found]
        return {item.upstream_id for item in found if item is not None}

    @params("choose_for_stream", "choose_for_call")
    def test_a_leaving_upstream_gets_no_new_work(self, method):
        choose = getattr(self.placement, method)
        self.leave("zone-a-0", "zone-b-0")
        self.assertEqual(self.chosen(choose, ENGINES, 1.0), {"zone-c-0"})
        self.leave("zone-c-0")
        self.assertEqual(self.chosen(choose, ENGINES, 1.0), set())

    def test_a_leaving_upstream_keeps_no_new_copy_and_lists_no_prompts(self):
        self.leave("zone-b-0")
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


class LeavingStreamTests(unittest.TestCase):
    """How an upstream's leaving became known: by its response or by the list."""

    def leave(self, driver, entry, source):
        if source == "list":
            zone = entry.availability_zone
            left = upstream(entry.upstream_id, zone, leaving=True)
            driver.placement.upstreams.put(left)
        elif source == "removed":
            driver.placement.upstreams.remove(entry.upstream_id, driver.now_ms)
        else:
            notices = driver.placement.upstreams.notices
            notices.record(entry.incarnation, LEAVING, driver.now_ms)

    @params("response", "list", "removed")
    def test_a_broken_stream_is_not_sent_to_a_leaving_upstream_again(self, source):
        driver = Driver()
        send = driver.start()
        self.leave(driver, send.upstream, source)
        (again,) = driver.fail_attempt(send.number, Fault.BROKEN)
        self.assertNotEqual(again.upstream.address, send.upstream.address)

    @params("response", "list", "removed")
    def test_a_stream_does_not_resume_on_a_leaving_keeper(self, source):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        self.leave(driver, send.copy_to, source)
        (again,) = driver.fail_attempt(send.number, Fault.SILENT)
        self.assertIsNone(again.copy_from)
        self.assertNotEqual(again.upstream.address, send.copy_to.address)

    @params("response", "list")
    def test_a_stream_of_another_router_does_not_resume_on_a_leaving_keeper(
        self, source
    ):
        driver = Driver()
        keeper = fleet(2)[-1]
        driver.run.find_copy = lambda now_ms: CopySource(keeper, keeper, "id-1")
        self.leave(driver, keeper, source)
        send = driver.start()
        self.assertIsNone(send.copy_from)
        self.assertNotEqual(send.upstream.address, keeper.address)

    @params("response", "list")
    def test_the_copy_of_a_stream_moves_from_a_leaving_keeper(self, source):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        self.leave(driver, send.copy_to, source)
        ((_, action),) = driver.wait(50.0)
        self.assertNotEqual(action.keeper.address, send.copy_to.address)

    @params("response", "list")
    def test_a_stream_ends_on_its_leaving_upstream(self, source):
        driver = Driver()
        send = driver.start()
        driver.events(send.number, 3)
        self.leave(driver, send.upstream, source)
        self.assertEqual(driver.wait(100.0), [])
        self.assertTrue(driver.event(send.number, 4))
