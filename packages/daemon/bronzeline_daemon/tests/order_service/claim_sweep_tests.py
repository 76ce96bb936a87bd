import unittest

from bronzeline_daemon.order_service.claim_sweep import ClaimSweepTask
from bronzeline_kernel.exceptions import ConflictError
from bronzeline_kernel.orders import (
    Claim,
    ClaimState,
    Outcome,
    decode_claim,
    encode_claim,
)
from bronzeline_kernel.protocols import StoredObject

NOW_S = 1_000.0
RETENTION_MS = 60_000.0
FOUND_OUTCOME = Outcome(200, {}, b"placed")


class FakeStore:
    def __init__(self, claims):
        self.objects = {
            f"claims/{number}": StoredObject(
                f"claims/{number}", encode_claim(claim), number + 1
            )
            for number, claim in enumerate(claims)
        }
        self.contested = set()

    async def list_prefix(self, prefix):
        return list(self.objects.values())

    async def delete(self, key, *, expected_version=None):
        if key in self.contested:
            raise ConflictError(key)
        del self.objects[key]

    async def put(self, key, value, *, expected_version=None):
        self.objects[key] = StoredObject(key, value, 99)

    def claim(self, number):
        return decode_claim(self.objects[f"claims/{number}"].value)


class FakeOrderLookUp:
    async def find(self, labels):
        return FOUND_OUTCOME if labels["idempotency_key"] == "ran" else None


def claim(state, age_s, key="robe"):
    labels = {"workspace": "guild", "service": "desk", "idempotency_key": key}
    return Claim("a", "a/1", state, claimed_at_s=NOW_S - age_s, labels=labels)


def make_sweep(store):
    return ClaimSweepTask(
        store, None, None, lambda *scope: RETENTION_MS, FakeOrderLookUp(), lambda: NOW_S
    )


class ClaimSweepTests(unittest.IsolatedAsyncioTestCase):
    async def test_deletes_expired_claims_and_settles_those_in_doubt(self):
        store = FakeStore(
            [
                claim(ClaimState.DONE, 61.0),
                claim(ClaimState.DONE, 10.0),
                claim(ClaimState.CLAIMED, 900.0, "ran"),
                claim(ClaimState.CLAIMED, 900.0, "unknown"),
                claim(ClaimState.NOT_RUN, 61.0),
            ]
        )
        store.contested = {"claims/0"}
        self.assertEqual(await make_sweep(store).sweep("claims/"), 1)
        self.assertEqual(sorted(store.objects), [f"claims/{n}" for n in range(4)])
        self.assertEqual(store.claim(2).outcome, FOUND_OUTCOME)
        self.assertEqual(store.claim(3).state, ClaimState.CLAIMED)

    async def test_the_outcome_of_an_order_long_in_doubt_is_not_deleted_at_once(self):
        store = FakeStore([claim(ClaimState.CLAIMED, 900.0, "ran")])
        sweep = make_sweep(store)
        self.assertEqual([await sweep.sweep("claims/") for _ in range(2)], [0, 0])
        self.assertEqual(store.claim(0).outcome, FOUND_OUTCOME)
