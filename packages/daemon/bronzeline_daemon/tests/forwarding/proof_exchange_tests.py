import unittest
from random import Random
from types import SimpleNamespace

from nose2.tools import params

from bronzeline_daemon.forwarding.proof_exchange import COMPARISON, ProofExchange
from bronzeline_kernel.forwarding import (
    ForwardingView,
    LeaseTerms,
    ProofAsked,
    ProofOptions,
    ProofSource,
    RouterEntry,
    StoreEra,
    StorePosition,
)
from bronzeline_kernel.tests.forwarding.samples import config

OWN = RouterEntry("router-1", "127.0.0.1", 1, "zone-a")
ROOT = RouterEntry("router-0", "127.0.0.1", 2, "zone-a")


class ProofExchangeTests(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.fetched, self.sent = [], []
        self.era = StoreEra()
        self.view = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
        self.view.apply_config(config(5), 0.0)
        self.source = ProofSource(OWN, ProofOptions.within(2_500.0), -10_000.0)
        self.source.set_peers([ROOT], 0.0)
        self.exchange = ProofExchange(
            self.view,
            self.source,
            SimpleNamespace(fetch_config_from=self.fetched.append),
            SimpleNamespace(
                own=OWN,
                listen=lambda message_type, listener: None,
                send_to=lambda message, peer: self.sent.append(message),
            ),
            self.era,
            SimpleNamespace(now_ms=lambda: self.now_ms),
            Random(1),
        )

    def ask(self, number=7, version=5, position=StorePosition(1, 1)):  # noqa: B008
        asked = ProofAsked(ROOT.router_id, number, position, version)
        self.exchange._on_proof_asked(asked, ROOT)

    @params((7, 10_000.0), (COMPARISON, 20_000.0))
    def test_a_root_without_proofs_that_compares_versions_stays_avoided(
        self, number, until_ms
    ):
        """It was avoided three times in a row, as it had no recent proof."""
        for at_ms in (-15_000.0, -10_000.0, 0.0):
            self.source._avoid(ROOT, at_ms)
        self.now_ms = 5_000.0
        self.ask(number)
        self.assertIsNone(self.source.parent(until_ms - 1.0))
        self.assertEqual(self.source.parent(until_ms), ROOT)

    @params((4, 0), (5, 0), (6, 1))
    def test_a_newer_configuration_is_fetched_from_who_names_it(self, version, count):
        self.ask(COMPARISON, version)
        self.assertEqual(self.fetched, [ROOT] * count)

    @params((StorePosition(), 0), (StorePosition(3, 9), 3))
    def test_an_era_is_learned_from_who_has_read_a_list(self, position, era):
        self.ask(position=position)
        self.assertEqual(self.era.number, era)
