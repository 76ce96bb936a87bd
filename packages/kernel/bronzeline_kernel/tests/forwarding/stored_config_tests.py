import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import ForwardingView, LeaseTerms
from bronzeline_kernel.forwarding.stored_config import REWRITE_MS
from bronzeline_kernel.tests.forwarding.samples import config

RESTORED_MS = 10_000.0
LATER_MS = RESTORED_MS + REWRITE_MS


class StoredConfigTests(unittest.TestCase):
    """A reading renews the lease only if the store has what was accepted."""

    def setUp(self):
        self.view = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
        self.view.apply_config(config(8), 0.0)
        self.view.stored_config.record(8)
        self.view.record_reading(RESTORED_MS - 1_000.0)

    def age_ms(self, now_ms):
        return self.view.lease.age_ms(now_ms)

    def test_each_reading_renews_the_lease_without_a_restoration(self):
        self.view.record_reading(RESTORED_MS)
        self.assertEqual(self.age_ms(RESTORED_MS), 0.0)

    @params(
        # A reading before the operator can have written again proves nothing.
        (8, LATER_MS - 1.0, False),
        (8, LATER_MS, True),
        (9, LATER_MS, True),
        # Nor does one of a store that lacks the version in force.
        (7, LATER_MS, False),
        (7, LATER_MS + 60_000.0, False),
        (None, LATER_MS, False),
    )
    def test_a_copy_that_may_lack_a_revocation_does_not_renew_the_lease(
        self, version, sent_at_ms, is_renewed
    ):
        self.view.store_restored(RESTORED_MS)
        if version is not None:
            self.view.stored_config.record(version)
        doubt = self.view.record_reading(sent_at_ms)
        self.assertEqual(not doubt, is_renewed)
        expected_ms = 0.0 if is_renewed else sent_at_ms - RESTORED_MS + 1_000.0
        self.assertEqual(self.age_ms(sent_at_ms), expected_ms)

    def test_the_lease_is_renewed_once_the_version_is_written_again(self):
        self.view.store_restored(RESTORED_MS)
        self.view.stored_config.record(7)
        self.view.record_reading(LATER_MS)
        self.view.stored_config.record(8)
        self.view.record_reading(LATER_MS + 500.0)
        self.assertEqual(self.age_ms(LATER_MS + 500.0), 0.0)

    def test_a_reading_that_proves_nothing_still_counts_as_contact(self):
        self.view.store_restored(RESTORED_MS)
        self.view.record_reading(RESTORED_MS)
        self.assertEqual(self.view.read_age_ms(RESTORED_MS + 200.0), 200.0)
