import asyncio
import unittest

from nose2.tools import params

from bronzeline_daemon.order_service.claim_store import ClaimStore
from bronzeline_kernel.orders import Claim, ClaimState, decode_claim
from bronzeline_kernel.orders.sweep import is_expired

RETENTION_MS = 60_000.0


class FakeStore:
    async def put(self, key, value, *, expected_version=None):
        self.value = value
        return 1


class ClaimStoreTests(unittest.TestCase):
    @params(ClaimState.DONE, ClaimState.NOT_RUN)
    def test_an_outcome_is_kept_for_the_retention_after_it_was_decided(self, state):
        self.assertEqual(self.expiries(state), [False, False, True])

    @params(ClaimState.CLAIMED, ClaimState.DISPATCHING)
    def test_an_undecided_claim_is_kept(self, state):
        self.assertEqual(self.expiries(state), [False, False, False])

    def expiries(self, state):
        """Write a claim 900 s after it was made; return whether it is expired when."""
        store = FakeStore()
        claim = Claim("a", "a/1", state, claimed_at_s=100.0)
        claims = ClaimStore(store, lambda: 1_000.0)
        asyncio.run(claims.write("claims/0", claim, 0))
        written = decode_claim(store.value)
        times_s = (1_000.0, 1_059.0, 1_061.0)
        return [is_expired(written, now_s, RETENTION_MS) for now_s in times_s]
