import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import LoadByUpstream, Prompt
from bronzeline_kernel.tests.forwarding.samples import (
    ENGINES,
    fleet,
    placement,
    upstream,
)


class PlacementTests(unittest.TestCase):
    def setUp(self):
        self.placement = placement(fleet())

    def test_an_idle_fleet_serves_the_own_zone(self):
        for _ in range(20):
            chosen = self.placement.choose_for_stream(ENGINES, 0.0).upstream
            self.assertEqual(chosen.availability_zone, "zone-a")

    def test_a_prompt_goes_to_another_zone_rather_than_wait(self):
        for name in ("zone-a-0", "zone-a-1"):
            self.placement.load(name).n_prompts = 1
        chosen = self.placement.choose_for_stream(ENGINES, 0.0).upstream
        self.assertNotEqual(chosen.availability_zone, "zone-a")

    @params((0.0, True), (3_000.0, False))
    def test_peers_prompts_count_while_they_are_fresh(self, now_ms, counts):
        prompts = {"zone-a-0": 1, "zone-a-1": 1}
        self.placement.set_peer_load("peer", LoadByUpstream(prompts), 0.0)
        chosen = self.placement.choose_for_stream(ENGINES, now_ms).upstream
        self.assertEqual(chosen.availability_zone != "zone-a", counts)

    def test_a_slow_upstream_is_passed_over(self):
        slow = upstream("zone-a-0").incarnation
        self.placement.health.prompt_read(slow, 3_000.0, 1_000.0, 0.0)
        for _ in range(20):
            chosen = self.placement.choose_for_stream(ENGINES, 1.0).upstream
            self.assertEqual(chosen.upstream_id, "zone-a-1")

    def test_a_peers_new_report_takes_the_place_of_the_old(self):
        self.placement.set_peer_load("peer", LoadByUpstream({"zone-a-0": 9}), 0.0)
        self.placement.set_peer_load("peer", LoadByUpstream({"zone-a-1": 9}), 0.0)
        self.assertEqual(
            self.placement.choose_for_stream(ENGINES, 1.0).upstream.upstream_id,
            "zone-a-0",
        )

    def test_a_prompt_goes_where_it_is_kept(self):
        keeper = upstream("zone-b-1")
        self.placement.prompts.put(keeper.incarnation, {"own": 5_000}, 0.0)
        for part_id, expected in (("own", "zone-b"), ("other", "zone-a")):
            prompt = Prompt(part_id, 5_000)
            chosen = self.placement.choose_for_stream(ENGINES, 1.0, (), prompt).upstream
            self.assertEqual(chosen.availability_zone, expected)

    def test_a_prompt_is_read_anew_rather_than_wait_for_its_keeper(self):
        keeper = upstream("zone-b-1")
        self.placement.prompts.put(keeper.incarnation, {"own": 5_000}, 0.0)
        self.placement.load("zone-b-1").n_prompts = 2
        chosen = self.placement.choose_for_stream(
            ENGINES, 1.0, (), Prompt("own", 5_000)
        ).upstream
        self.assertEqual(chosen.availability_zone, "zone-a")

    def test_who_was_asked_a_short_time_ago_is_not_asked_again(self):
        self.placement.prompts.put(upstream("zone-b-1").incarnation, {}, 0.0)
        self.placement.health.failed(upstream("zone-a-0").incarnation, 0.0)
        asked = self.placement.to_ask_for_prompts(ENGINES, 1.0)
        names = sorted(item.upstream_id for item in asked)
        self.assertEqual(names, ["zone-a-1", "zone-b-0", "zone-c-0", "zone-c-1"])

    def test_a_copy_lies_in_another_zone(self):
        primary = self.placement.choose_for_stream(ENGINES, 0.0).upstream
        for _ in range(20):
            keeper = self.placement.choose_for_copy(primary, 0.0)
            self.assertNotEqual(keeper.availability_zone, primary.availability_zone)

    def test_a_copy_lies_in_the_same_zone_only_where_there_is_no_other(self):
        here = placement([upstream("a"), upstream("b")])
        self.assertEqual(here.choose_for_copy(upstream("a"), 0.0).upstream_id, "b")
        alone = placement([upstream("a")])
        self.assertIsNone(alone.choose_for_copy(upstream("a"), 0.0))

    def test_a_zone_that_lost_an_upstream_is_left(self):
        self.placement.health.record_peer_zone_loss((ENGINES, "zone-a"), 0.0)
        chosen = self.placement.choose_for_stream(ENGINES, 1.0).upstream
        self.assertNotEqual(chosen.availability_zone, "zone-a")

    def test_where_all_are_avoided_one_is_tried_all_the_same(self):
        for item in fleet():
            self.placement.health.failed(item.incarnation, 0.0)
        self.assertIsNotNone(self.placement.choose_for_stream(ENGINES, 1.0))

    @params(("gone", False), ("restarted", False), ("avoided", False), ("here", True))
    def test_a_keeper_keeps_while_it_lives(self, what, expected):
        keeper = fleet()[-1]
        if what == "gone":
            self.placement.upstreams.remove(keeper.upstream_id, 0.0)
        elif what == "restarted":
            later = upstream(keeper.upstream_id, "zone-c", started=2)
            self.placement.upstreams.put(later)
        elif what == "avoided":
            self.placement.health.failed(keeper.incarnation, 0.0)
        self.assertEqual(self.placement.is_keeping(keeper, 1.0), expected)

    def test_many_upstreams_are_sampled_from_both_near_and_far(self):
        many = placement(fleet(per_zone=200))
        chosen = [many.choose_for_stream(ENGINES, 0.0).upstream for _ in range(200)]
        self.assertEqual({x.availability_zone for x in chosen}, {"zone-a"})
        self.assertGreater(len({x.upstream_id for x in chosen}), 50)
        copies = {
            many.choose_for_copy(chosen[0], 0.0).availability_zone for _ in range(60)
        }
        self.assertEqual(copies, {"zone-b", "zone-c"})

    def test_the_own_load_tells_only_what_runs(self):
        self.placement.load("zone-a-0").n_prompts = 1
        self.placement.load("zone-a-1").n_streams = 2
        self.placement.load("zone-b-0").n_copies = 3
        expected = LoadByUpstream({"zone-a-0": 1}, {"zone-a-1": 2}, {"zone-b-0": 3})
        self.assertEqual(self.placement.own_load(), expected)

    def test_peers_copies_are_spread_over_all_keepers(self):
        for router_id, keeper in (("x", "zone-b-0"), ("y", "zone-b-1")):
            work = LoadByUpstream(copies={keeper: 1})
            self.placement.set_peer_load(router_id, work, 0.0)
        keepers = {
            self.placement.choose_for_copy(upstream("zone-a-0"), 1.0).availability_zone
            for _ in range(20)
        }
        self.assertEqual(keepers, {"zone-c"})

    def test_upstreams_that_are_gone_are_forgotten(self):
        gone = [upstream("zone-a-0"), upstream("zone-a-1")]
        for item in gone:
            self.placement.health.failed(item.incarnation, 0.0)
            self.placement.upstreams.remove(item.upstream_id, 0.0)
        self.placement.load("zone-a-0")
        self.placement.load("zone-a-1").n_streams = 1
        for router_id, at_ms in (("left", 0.0), ("here", 2_000.0)):
            work = LoadByUpstream({"zone-b-0": 1})
            self.placement.set_peer_load(router_id, work, at_ms)
        self.placement.prune(3_000.0)
        self.assertEqual(set(self.placement._loads), {"zone-a-1"})
        self.assertEqual(set(self.placement._peer_work), {"here"})
        score = self.placement.health.failure_score(gone[0].incarnation, 0.0)
        self.assertEqual(score, 0.0)

    def test_a_choice_says_against_what_and_from_what_it_was_made(self):
        near = upstream("zone-a-0").incarnation
        self.placement.health.succeeded(near, 100.0)
        self.placement.load("zone-a-1").n_streams = 1
        work = LoadByUpstream(streams={"zone-b-0": 1})
        for router_id, at_ms in (("old", -5_000.0), ("x", 200.0), ("y", 400.0)):
            self.placement.set_peer_load(router_id, work, at_ms)
        choice = self.placement.choose_for_stream(ENGINES, 500.0)
        self.assertEqual(
            (choice.upstream.upstream_id, choice.next_id, choice.n_compared),
            ("zone-a-0", "zone-a-1", 6),
        )
        self.assertLess(choice.cost_ms, choice.next_cost_ms)
        self.assertEqual((choice.reports_age_ms, choice.sign_age_ms), (300.0, 400.0))

    def test_a_choice_of_one_has_nothing_to_compare(self):
        choice = placement([upstream("a")]).choose_for_call(ENGINES, 0.0)
        self.assertEqual((choice.n_compared, choice.next_id), (1, ""))
        self.assertIsNone(choice.next_cost_ms)
        self.assertIsNone(choice.reports_age_ms)
        self.assertIsNone(choice.sign_age_ms)
