import random
import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_kernel.decisions import Decision, DecisionLog
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.story import (
    DecisionBatchTaken,
    DecisionReplicator,
    NotableDecisions,
    StoryArchive,
    ToldDecision,
    format_decisions,
)


def decision(subject, kind="choose_upstream", chosen="engine-1", at_ms=0.0, **fields):
    return Decision(at_ms, subject, kind, chosen, fields.pop("reason", "x"), **fields)


def told(number, router_id="router-0"):
    return ToldDecision(router_id, float(number), decision(f"gen-{number}"))


def router(number):
    return RouterInfo(f"router-{number}", "127.0.0.1", 1, f"zone-{number % 3}", "r")


class DecisionLogTests(unittest.TestCase):
    @given(st.lists(st.integers(0, 5), max_size=60), st.integers(1, 20))
    def test_the_latest_are_kept_by_subject(self, numbers, n_kept):
        log = DecisionLog(n_kept)
        made = [
            decision(f"gen-{number}/{place}", at_ms=place)
            for place, number in enumerate(numbers)
        ]
        for item in made:
            log.record(item)
        self.assertEqual(len(log), min(len(made), n_kept))
        for number in range(6):
            subject = f"gen-{number}"
            expected = [
                item
                for item in made[-n_kept:]
                if item.subject.startswith(f"{subject}/")
            ]
            self.assertEqual(log.for_subject(subject), expected)

    @params(
        ("order/w/s/k", ["order/w/s/k", "order/w/s/k/nonce"]),
        ("order/w/s/k/nonce", ["order/w/s/k/nonce"]),
        ("order/w/s/kk", ["order/w/s/kk"]),
        ("gen-1", ["gen-1", "gen-1/2"]),
        ("gen-1/2", ["gen-1", "gen-1/2"]),
        ("gen-", []),
        ("engine-1", ["engine-1"]),
    )
    def test_a_subject_has_its_own_decisions_and_those_on_its_parts(
        self, subject, expected
    ):
        subjects = [
            *("order/w/s/k", "order/w/s/kk", "order/w/s/k/nonce"),
            *("gen-1", "gen-11", "gen-1/2", "engine-1", "engine-11"),
        ]
        log, archive = DecisionLog(), StoryArchive()
        for item in subjects:
            log.record(decision(item))
            archive.add([ToldDecision("r", 0.0, decision(item))])
        self.assertEqual([item.subject for item in log.for_subject(subject)], expected)
        told = archive.for_subject(subject)
        self.assertEqual([item.decision.subject for item in told], expected)


class NotableDecisionsTests(unittest.TestCase):
    @params(
        ([decision("gen-1")], 0),
        ([decision("engine-1", kind="eject")], 0),
        ([decision("gen-1", chosen="")], 1),
        ([decision("gen-1"), decision("gen-2")], 0),
        ([decision("gen-1"), decision("gen-1/2", chosen="engine-2")], 2),
        ([decision("gen-1"), decision("gen-1", kind="resume"), decision("gen-1")], 3),
        ([decision("order/w/s/k")], 1),
    )
    def test_only_troubled_stories_are_handed_over(self, decisions, n_expected):
        log = DecisionLog()
        notable = NotableDecisions(log)
        picked = []
        for item in decisions:
            log.record(item)
            picked.extend(notable.select(item))
        self.assertEqual(len(picked), n_expected)


class HandOverTests(unittest.TestCase):
    @params(*range(12))
    def test_two_peers_of_other_zones_keep_all_despite_losses(self, seed):
        """Lose messages and acknowledgements at random; all arrive twice."""
        chance = random.Random(seed)
        peers = [router(number) for number in range(6)]
        replicator = DecisionReplicator(router(0))
        archives = {peer.router_id: StoryArchive() for peer in peers}
        sent = [told(number) for number in range(100)]
        replicator.add(sent)
        for now_ms in range(0, 60_000, 500):
            for action in replicator.tick(peers, float(now_ms)):
                if chance.random() < 0.3:
                    continue
                archives[action.router_id].add(action.batch.decisions)
                if chance.random() < 0.7:
                    taken = DecisionBatchTaken(action.batch.batch_id)
                    replicator.on_acknowledged(action.router_id, taken)
        self.assertEqual(len(archives["router-0"]), 0)
        n_lost = sum(
            not any(archive.for_subject(item.decision.subject) for archive in
                    archives.values())
            for item in sent
        )  # fmt: skip
        self.assertEqual(n_lost, 0)

    def test_nothing_is_sent_without_peers_and_memory_is_bounded(self):
        replicator = DecisionReplicator(router(0))
        replicator.add(told(number) for number in range(5_000))
        self.assertEqual(replicator.tick([router(0)], 0.0), [])
        self.assertEqual(replicator.n_dropped, 1_000)

    def test_a_silent_peer_is_given_up_after_a_few_tries(self):
        replicator = DecisionReplicator(router(0))
        replicator.add([told(1)])
        sent = [
            len(replicator.tick([router(1)], float(now_ms)))
            for now_ms in range(0, 10_000, 500)
        ]
        self.assertEqual(sum(sent), 4)
        self.assertEqual(replicator.n_dropped, 1)


class StoryArchiveTests(unittest.TestCase):
    def test_repeats_are_kept_once_and_the_oldest_go(self):
        archive = StoryArchive(n_kept=3)
        for number in (1, 2, 2, 3, 4):
            archive.add([told(number)])
        self.assertEqual(len(archive), 3)
        self.assertEqual(archive.for_subject("gen-1"), [])
        self.assertEqual(archive.for_subject("gen-2/1"), [told(2)])


class TellingTests(unittest.TestCase):
    def test_a_story_is_dated_and_names_what_decided(self):
        first = decision(
            "gen-1",
            kind="grant",
            reason="least_work",
            against=("engine-2",),
            rule="slow-gulf",
            configuration_version=12,
            details={"wait_ms": "3"},
        )
        lines = format_decisions(
            [
                ToldDecision(
                    "router-1", 2.0, decision("gen-1", kind="some_kind", chosen="")
                ),
                ToldDecision("router-0", 1.5, first),
                ToldDecision("router-0", 1.5, first),
            ]
        )
        self.assertEqual(
            [str(line) for line in lines],
            [
                "1970-01-01T00:00:01.500Z router-0: given to engine-1: "
                "least work, not engine-2; wait ms 3 "
                "(by exception slow-gulf, configuration version 12)",
                "1970-01-01T00:00:02.000Z router-1: some kind none: x "
                "(by the defaults)",
            ],
        )
