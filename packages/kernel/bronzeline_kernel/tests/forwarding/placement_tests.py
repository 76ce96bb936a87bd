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

    def test_own_zone_is_preferred_while_idle(self):
        for _ in range(20):
            chosen = self.placement.choose_for_stream(ENGINES, 0.0).upstream
            self.assertEqual(chosen.availability_zone, "zone-a")

    def test_other_zone_is_preferred_over_waiting(self):
        for name in ("zone-a-0", "zone-a-1"):
            self.placement.load(name).n_prompts = 1
        chosen = self.placement.choose_for_stream(ENGINES, 0.0).upstream
        self.assertNotEqual(chosen.availability_zone, "zone-a")

    @params((0.0, True), (3_000.0, False))
    def test_recent_peer_load_counts(self, now_ms, is_counted):
        prompts = {"zone-a-0": 1, "zone-a-1": 1}
        self.placement.set_peer_load("peer", LoadByUpstream(prompts), 0.0)
        chosen = self.placement.choose_for_stream(ENGINES, now_ms).upstream
        self.assertEqual(chosen.availability_zone != "zone-a", is_counted)

    def test_slow_upstream_is_not_chosen(self):
        slow = upstream("zone-a-0").incarnation
        self.placement.health.record_prompt_time(slow, 3_000.0, 1_000.0, 0.0)
        for _ in range(20):
            chosen = self.placement.choose_for_stream(ENGINES, 1.0).upstream
            self.assertEqual(chosen.upstream_id, "zone-a-1")

    def test_new_peer_report_replaces_the_old_one(self):
        self.placement.set_peer_load("peer", LoadByUpstream({"zone-a-0": 9}), 0.0)
        self.placement.set_peer_load("peer", LoadByUpstream({"zone-a-1": 9}), 0.0)
        self.assertEqual(
            self.placement.choose_for_stream(ENGINES, 1.0).upstream.upstream_id,
            "zone-a-0",
        )

    def test_upstream_with_cached_prompt_is_preferred(self):
        cached_on = upstream("zone-b-1")
        self.placement.prompts.put(cached_on.incarnation, {"own": 5_000}, 0.0)
        for part_id, expected in (("own", "zone-b"), ("other", "zone-a")):
            prompt = Prompt(part_id, 5_000)
            chosen = self.placement.choose_for_stream(ENGINES, 1.0, (), prompt).upstream
            self.assertEqual(chosen.availability_zone, expected)

    def test_busy_upstream_with_cached_prompt_is_not_chosen(self):
        cached_on = upstream("zone-b-1")
        self.placement.prompts.put(cached_on.incarnation, {"own": 5_000}, 0.0)
        self.placement.load("zone-b-1").n_prompts = 2
        chosen = self.placement.choose_for_stream(
            ENGINES, 1.0, (), Prompt("own", 5_000)
        ).upstream
        self.assertEqual(chosen.availability_zone, "zone-a")

    def test_upstream_with_recent_prompt_list_is_no_candidate(self):
        self.placement.prompts.put(upstream("zone-b-1").incarnation, {}, 0.0)
        self.placement.health.record_failure(upstream("zone-a-0").incarnation, 0.0)
        candidates = self.placement.prompt_list_candidates(ENGINES, 1.0)
        names = sorted(item.upstream_id for item in candidates)
        self.assertEqual(names, ["zone-a-1", "zone-b-0", "zone-c-0", "zone-c-1"])

    def test_holder_is_in_another_zone(self):
        primary = self.placement.choose_for_stream(ENGINES, 0.0).upstream
        for _ in range(20):
            holder = self.placement.choose_for_copy(primary, 0.0)
            self.assertNotEqual(holder.availability_zone, primary.availability_zone)

    def test_holder_is_in_same_zone_only_without_other_zones(self):
        one_zone = placement([upstream("a"), upstream("b")])
        self.assertEqual(one_zone.choose_for_copy(upstream("a"), 0.0).upstream_id, "b")
        one_upstream = placement([upstream("a")])
        self.assertIsNone(one_upstream.choose_for_copy(upstream("a"), 0.0))

    def test_suspect_zone_is_not_chosen(self):
        self.placement.health.record_peer_zone_loss((ENGINES, "zone-a"), 0.0)
        chosen = self.placement.choose_for_stream(ENGINES, 1.0).upstream
        self.assertNotEqual(chosen.availability_zone, "zone-a")

    def test_chooses_an_avoided_upstream_if_all_are_avoided(self):
        for item in fleet():
            self.placement.health.record_failure(item.incarnation, 0.0)
        self.assertIsNotNone(self.placement.choose_for_stream(ENGINES, 1.0))

    @params(("gone", False), ("restarted", False), ("avoided", False), ("here", True))
    def test_holder_is_available_unless_gone_restarted_or_avoided(
        self, state, expected
    ):
        holder = fleet()[-1]
        if state == "gone":
            self.placement.upstreams.remove(holder.upstream_id, 0.0)
        elif state == "restarted":
            later = upstream(holder.upstream_id, "zone-c", started=2)
            self.placement.upstreams.put(later)
        elif state == "avoided":
            self.placement.health.record_failure(holder.incarnation, 0.0)
        self.assertEqual(self.placement.is_holder_available(holder, 1.0), expected)

    def test_samples_own_and_other_zones_of_a_large_fleet(self):
        large_fleet = placement(fleet(per_zone=200))
        chosen = [
            large_fleet.choose_for_stream(ENGINES, 0.0).upstream for _ in range(200)
        ]
        self.assertEqual({x.availability_zone for x in chosen}, {"zone-a"})
        self.assertGreater(len({x.upstream_id for x in chosen}), 50)
        copies = {
            large_fleet.choose_for_copy(chosen[0], 0.0).availability_zone
            for _ in range(60)
        }
        self.assertEqual(copies, {"zone-b", "zone-c"})

    def test_own_load_leaves_out_idle_upstreams(self):
        self.placement.load("zone-a-0").n_prompts = 1
        self.placement.load("zone-a-1").n_streams = 2
        self.placement.load("zone-b-0").n_copies = 3
        expected = LoadByUpstream({"zone-a-0": 1}, {"zone-a-1": 2}, {"zone-b-0": 3})
        self.assertEqual(self.placement.own_load(), expected)

    def test_holder_choice_counts_copies_of_peers(self):
        for router_id, holder in (("x", "zone-b-0"), ("y", "zone-b-1")):
            load = LoadByUpstream(copies={holder: 1})
            self.placement.set_peer_load(router_id, load, 0.0)
        holders = {
            self.placement.choose_for_copy(upstream("zone-a-0"), 1.0).availability_zone
            for _ in range(20)
        }
        self.assertEqual(holders, {"zone-c"})

    def test_prune_drops_removed_upstreams_and_old_reports(self):
        gone = [upstream("zone-a-0"), upstream("zone-a-1")]
        for item in gone:
            self.placement.health.record_failure(item.incarnation, 0.0)
            self.placement.upstreams.remove(item.upstream_id, 0.0)
        self.placement.load("zone-a-0")
        self.placement.load("zone-a-1").n_streams = 1
        for router_id, at_ms in (("left", 0.0), ("here", 2_000.0)):
            load = LoadByUpstream({"zone-b-0": 1})
            self.placement.set_peer_load(router_id, load, at_ms)
        self.placement.prune(3_000.0)
        self.assertEqual(set(self.placement._loads), {"zone-a-1"})
        self.assertEqual(set(self.placement._peer_reports._by_router), {"here"})
        score = self.placement.health.failure_score(gone[0].incarnation, 0.0)
        self.assertEqual(score, 0.0)

    def test_choice_reports_alternative_and_age_of_evidence(self):
        incarnation = upstream("zone-a-0").incarnation
        self.placement.health.record_success(incarnation, 100.0)
        self.placement.load("zone-a-1").n_streams = 1
        load = LoadByUpstream(streams={"zone-b-0": 1})
        for router_id, at_ms in (("old", -5_000.0), ("x", 200.0), ("y", 400.0)):
            self.placement.set_peer_load(router_id, load, at_ms)
        choice = self.placement.choose_for_stream(ENGINES, 500.0)
        self.assertEqual(
            (choice.upstream.upstream_id, choice.next_id, choice.n_compared),
            ("zone-a-0", "zone-a-1", 6),
        )
        self.assertLess(choice.cost_ms, choice.next_cost_ms)
        self.assertEqual((choice.reports_age_ms, choice.sign_age_ms), (300.0, 400.0))

    def test_choice_without_alternative(self):
        choice = placement([upstream("a")]).choose_for_call(ENGINES, 0.0)
        self.assertEqual((choice.n_compared, choice.next_id), (1, ""))
        self.assertIsNone(choice.next_cost_ms)
        self.assertIsNone(choice.reports_age_ms)
        self.assertIsNone(choice.sign_age_ms)
