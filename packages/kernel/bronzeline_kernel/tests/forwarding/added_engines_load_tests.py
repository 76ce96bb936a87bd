"""Play the addition of engines while prompts wait at those that were there."""

import unittest

from nose2.tools import params

from bronzeline_kernel.tests.forwarding.load_player import EngineSpeed, LoadPlayer
from bronzeline_kernel.tests.forwarding.samples import ZONES, upstream

N_BEFORE = 20
# Three engines read a prompt of a second each; more come than they can read.
INTERVAL_MS = 250.0
# An added engine takes its share within this time.
SHARE_WITHIN_MS = 2_000.0
N_AFTER = 16


class AddedEnginesTests(unittest.TestCase):
    """Load: 1.3 times the capacity, and then as many engines again."""

    def play(self, prompt_sizes):
        player = LoadPlayer(EngineSpeed(), per_zone=1)
        sizes = [prompt_sizes[n % len(prompt_sizes)] for n in range(N_BEFORE + N_AFTER)]
        for n_prompt_tokens in sizes[:N_BEFORE]:
            player.send(n_prompt_tokens=n_prompt_tokens)
            player.wait(INTERVAL_MS)
        for zone in ZONES:
            player.add(upstream(f"{zone}-added", zone))
        added_at_ms = player.now_ms
        after = []
        for n_prompt_tokens in sizes[N_BEFORE:]:
            after.append(player.send(n_prompt_tokens=n_prompt_tokens))
            player.wait(INTERVAL_MS)
        return player, after, added_at_ms

    @params((5_000,), (1_000, 9_000))
    def test_added_engines_take_their_share_at_once(self, *prompt_sizes):
        _, after, added_at_ms = self.play(prompt_sizes)
        soon = [
            caller
            for caller in after
            if caller.sent_at_ms < added_at_ms + SHARE_WITHIN_MS
        ]
        on_added = [
            caller
            for caller in soon
            if caller.run.attempt is None
            or caller.run.attempt.upstream.upstream_id.endswith("-added")
        ]
        self.assertGreaterEqual(len(on_added), 0.5 * len(soon))

    @params((5_000,), (1_000, 9_000))
    def test_prompts_sent_after_the_addition_wait_for_none_from_before(
        self, *prompt_sizes
    ):
        player, after, _ = self.play(prompt_sizes)
        while not all(caller.outcome for caller in player.callers):
            player.wait(100.0)
        self.assertEqual({caller.outcome for caller in after}, {"served"})
        read_ms = max(prompt_sizes) / player.speed.prompt_tokens_per_ms
        first_ms = sorted(caller.first_event_ms for caller in after)
        self.assertLess(first_ms[len(first_ms) // 2], 2.5 * read_ms)
