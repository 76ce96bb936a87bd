import unittest
from unittest.mock import patch

from nose2.tools import params

from bronzeline_kernel.forwarding import PartBlame, PromptLost
from bronzeline_kernel.forwarding.death_evidence import DeathEvidence

APART_MS = 2_000.0


class PartBlameTests(unittest.TestCase):
    def setUp(self):
        self.blame = PartBlame()
        self.now_ms = 10_000.0
        self.n_engines = 0
        self.blame.answered(("other",), self.now_ms)

    def die(self, *prompts, zone=None, is_blocked=False):
        """Let an engine die under prompts, each a request hash and its parts."""
        self.n_engines += 1
        for request_hash, parts in prompts:
            lost = PromptLost(
                f"e{self.n_engines}",
                "engines",
                zone or f"zone-{self.n_engines % 3}",
                request_hash,
                tuple(parts),
                0.0,
            )
            self.blame.prompt_lost(
                lost, self.now_ms, is_own=True, is_blocked=is_blocked
            )

    def wait(self, duration_ms=APART_MS):
        self.now_ms += duration_ms

    def blamed(self):
        found = iter(lambda: self.blame.next_to_blame(self.now_ms), None)
        return [item.part_ids for item in found]

    @params((2, []), (3, [("d",)]))
    def test_a_part_is_blamed_for_three_engines(self, n_deaths, expected):
        for number in range(n_deaths):
            self.die((f"r{number}", f"{number}d"))
            self.wait()
        self.assertEqual(self.blamed(), expected)

    def test_a_part_behind_many_others_is_blamed(self):
        for number in range(3):
            parts = [f"{number}-{place}" for place in range(20)]
            self.die((f"r{number}", [*parts, "d"]))
            self.wait()
        self.assertEqual(self.blamed(), [("d",)])

    def test_deaths_are_compared_again_only_after_a_change(self):
        self.die(("r", "d"))
        self.wait()
        module = "bronzeline_kernel.forwarding.part_blame.DeathEvidence"
        with patch(module, wraps=DeathEvidence) as evidence:
            for _ in range(5):
                self.assertEqual(self.blamed(), [])
                self.wait()
            self.assertEqual(evidence.call_count, 1)
            self.die(("s", "d"))
            self.wait()
            self.assertEqual(self.blamed(), [])
            self.assertEqual(evidence.call_count, 2)

    def test_one_request_alone_does_not_put_the_blame_on_its_parts(self):
        for _ in range(4):
            self.die(("r", "ad"))
            self.wait()
        self.assertEqual(self.blamed(), [])
        self.die(("other", "d"))
        self.wait()
        self.assertEqual(self.blamed(), [("d",)])

    def test_parts_that_always_come_together_are_blamed_together(self):
        for number in range(3):
            self.die((f"r{number}", "ad"))
            self.wait()
        self.assertEqual(self.blamed(), [("a", "d")])

    def test_an_answer_shows_that_its_parts_are_harmless(self):
        for number in range(3):
            self.die((f"r{number}", "ad"))
            self.wait()
        self.assertEqual(self.blame.answered(("a", "x"), self.now_ms), ("a",))
        self.assertEqual(self.blamed(), [("d",)])

    def test_a_death_after_an_answer_counts_again(self):
        for number in range(2):
            self.die((f"r{number}", "d"))
            self.wait()
        self.blame.answered(("d",), self.now_ms)
        for number in range(2, 5):
            self.wait()
            self.die((f"r{number}", "d"))
            self.assertEqual(self.blamed(), [])
        self.wait()
        self.assertEqual(self.blamed(), [("d",)])

    def test_a_death_that_is_reported_after_the_answer_does_not_count(self):
        for number in range(3):
            self.wait()
            self.blame.answered(("d",), self.now_ms)
            late = PromptLost(f"e{number}", "engines", "z", f"r{number}", ("d",), 600.0)
            self.blame.prompt_lost(late, self.now_ms, is_own=False)
            self.assertEqual(self.blame.answered_since(late, self.now_ms), ("d",))
        self.wait()
        self.assertEqual(self.blamed(), [])

    def test_several_parts_are_told_apart_from_those_beside_them(self):
        """Two parts end engines, each beside prompts that are harmless and rare."""
        for number in range(3):
            self.die((f"r{number}", "ad"), (f"s{number}", [f"x{number}"]))
            self.wait()
            self.die((f"t{number}", "ae"), (f"u{number}", [f"y{number}"]))
            self.wait()
            self.blame.answered(("a",), self.now_ms)
        self.assertEqual(self.blamed(), [("d",), ("e",)])

    def test_two_parts_in_different_prompts_wait_for_a_death_that_tells_them_apart(
        self,
    ):
        for number in range(3):
            self.die((f"r{number}", "d"), (f"s{number}", "e"))
            self.wait()
        self.assertEqual(self.blamed(), [])
        self.die(("r4", "d"))
        self.wait()
        self.assertEqual(self.blamed(), [("d",)])

    def test_two_parts_that_end_the_same_engines_are_both_blamed_in_the_end(self):
        for number in range(5):
            self.die((f"r{number}", "d"), (f"s{number}", "e"))
            self.wait()
        self.assertEqual(len(self.blamed()), 1)
        for number in range(5, 8):
            self.die((f"s{number}", "e"))
            self.wait()
        self.assertEqual(len(self.blamed()), 1)

    @params((2, [("d",)]), (3, []))
    def test_the_loss_of_a_zone_is_blamed_on_no_part(self, n_together, expected):
        for number in range(3):
            for engine in range(n_together):
                self.die((f"r{number}{engine}", "d"), zone="zone-a")
            self.wait()
        self.assertEqual(self.blamed(), expected)

    def test_a_part_that_ends_many_engines_of_a_large_zone_is_blamed(self):
        self.blame = PartBlame(n_engines=lambda zone: 40)
        self.blame.answered(("other",), self.now_ms)
        for number in range(20):
            self.die((f"r{number}", "d"), zone="zone-a")
            self.wait(100.0)
        self.assertEqual(self.blamed(), [("d",)])

    def test_the_loss_of_a_large_zone_is_blamed_on_no_part(self):
        self.blame = PartBlame(n_engines=lambda zone: 40)
        self.blame.answered(("other",), self.now_ms)
        for number in range(3):
            for engine in range(30):
                self.die((f"r{number}{engine}", "d"), zone="zone-a")
            self.wait()
        self.assertEqual(self.blamed(), [])

    def test_two_engines_that_die_together_count_once(self):
        for number in range(2):
            self.die((f"r{number}", "d"), zone="zone-a")
            self.die((f"s{number}", "d"), zone="zone-a")
            self.wait()
        self.assertEqual(self.blamed(), [])

    def test_no_part_is_blamed_while_engines_answer_nothing(self):
        self.wait(60_000.0)
        for number in range(6):
            self.die((f"r{number}", "d"))
            self.wait()
        self.assertEqual(self.blamed(), [])

    def test_a_part_of_all_prompts_is_not_blamed(self):
        self.blame = PartBlame()
        self.blame.answered(("system", "x"), self.now_ms)
        self.wait()
        for number in range(6):
            self.die((f"r{number}", ("system",)))
            self.wait()
        self.assertEqual(self.blamed(), [])

    def test_deaths_under_blocked_parts_count_against_no_other(self):
        for number in range(4):
            self.die((f"r{number}", "d"), (f"s{number}", "x"), is_blocked=True)
            self.wait()
        self.assertEqual(self.blamed(), [])

    def test_deaths_count_only_once_it_is_known_what_died_beside(self):
        for number in range(3):
            self.die((f"r{number}", "d"))
            self.wait(600.0 if number == 2 else APART_MS)
        self.assertEqual(self.blamed(), [])
        self.wait(200.0)
        self.assertEqual(self.blamed(), [("d",)])
