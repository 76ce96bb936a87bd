"""Test what is refused when a router holds too much."""

import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    HeldKind,
    MemoryAccount,
    MemoryLimits,
    Reservation,
    head_kind,
)

LIMITS = MemoryLimits(total_bytes=1_000_000)
SMALL, LARGE = 10_000, 100_000


class MemoryAccountTests(unittest.TestCase):
    @params(
        (HeldKind.LARGE_BODY, 699_000, True),
        (HeldKind.LARGE_BODY, 699_500, False),
        (HeldKind.LARGE_HEAD, 699_000, True),
        (HeldKind.LARGE_HEAD, 699_500, False),
        (HeldKind.SMALL_BODY, 849_000, True),
        (HeldKind.SMALL_BODY, 849_500, False),
        (HeldKind.HEAD, 999_000, True),
        (HeldKind.HEAD, 999_500, False),
        (HeldKind.CONNECTION, 999_500, False),
    )
    def test_what_is_refused_when_so_much_is_held(self, kind, n_held, is_granted):
        account = MemoryAccount(LIMITS)
        account.add(HeldKind.RESPONSE, n_held)
        self.assertEqual(account.reserve(kind, 1_000), is_granted)
        self.assertEqual(account.n_bytes, n_held + 1_000 * is_granted)
        self.assertEqual(account.n_refused[kind], 1 - is_granted)

    @params(
        (HeldKind.LARGE_BODY, False),
        (HeldKind.LARGE_HEAD, False),
        (HeldKind.SMALL_BODY, False),
        (HeldKind.HEAD, True),
        (HeldKind.CONNECTION, True),
    )
    def test_control_responses_leave_less_for_bodies_alone(self, kind, is_granted):
        # Guards against the store's responses and bodies that together take more
        # than a VM has, and against callers that are closed for the store's sake.
        account = MemoryAccount(LIMITS)
        account.add(HeldKind.CONTROL, 999_500)
        self.assertEqual(account.reserve(kind, 1_000), is_granted)
        account.add(HeldKind.RESPONSE, 900_000)
        self.assertFalse(account.is_over)

    def test_responses_are_never_refused(self):
        account = MemoryAccount(LIMITS)
        account.add(HeldKind.RESPONSE, 2_000_000)
        self.assertTrue(account.is_over)
        account.release(HeldKind.RESPONSE, 2_000_000)
        self.assertFalse(account.is_over)

    def test_stalled_large_bodies_leave_room_for_small_ones(self):
        # Guards against ordinary callers that are shut out by a few uploads.
        account = MemoryAccount(LIMITS)
        while Reservation(account).grow_body(LARGE, LARGE):
            pass
        self.assertFalse(Reservation(account).grow_body(LARGE, LARGE))
        self.assertTrue(Reservation(account).grow_body(SMALL, 2 * SMALL))

    @params("guild", "other")
    def test_stalled_large_heads_leave_room_for_small_requests(self, workspace):
        # Guards against ordinary callers that are shut out by a few heads of
        # thousands of fields, also those of the same workspace.
        account = MemoryAccount(LIMITS)
        n_stalled = 0
        while self._begin(account, "guild", n_stalled, LARGE).grow_body(1, 2):
            n_stalled += 1
        request = self._begin(account, workspace, n_stalled + 1, SMALL)
        self.assertTrue(request.grow_body(SMALL, 2 * SMALL))

    def _begin(self, account, workspace, connection, n_head_bytes):
        reservation = Reservation(account)
        reservation.held_share = account.shares.open(workspace, connection, 0.0)
        if not reservation.grow(head_kind(n_head_bytes), n_head_bytes):
            reservation.release_all()
        return reservation

    def test_a_body_that_turns_out_large_counts_as_large(self):
        account = MemoryAccount(LIMITS)
        reservation = Reservation(account)
        self.assertTrue(reservation.grow_body(SMALL, SMALL))
        self.assertTrue(reservation.grow_body(LARGE, LARGE - SMALL))
        self.assertEqual(account.by_kind[HeldKind.LARGE_BODY], LARGE)
        self.assertEqual(account.by_kind[HeldKind.SMALL_BODY], 0)

    def test_a_refused_body_leaves_no_bytes_behind(self):
        # What was counted as small is lost with the refusal of the whole body.
        account = MemoryAccount(LIMITS)
        reservation = Reservation(account)
        reservation.grow_body(SMALL, SMALL)
        self.assertFalse(reservation.grow_body(2_000_000, 2_000_000))
        reservation.release()
        self.assertEqual(account.n_bytes, 0)

    def test_a_joined_body_is_held_once(self):
        account = MemoryAccount(LIMITS)
        large, small = Reservation(account), Reservation(account)
        large.grow_body(LARGE, 2 * LARGE)
        small.grow_body(SMALL, 2 * SMALL)
        large.release_copy(LARGE)
        small.release_copy(SMALL)
        self.assertEqual(account.n_bytes, LARGE + 2 * SMALL)
        large.release()
        small.release()
        self.assertEqual(account.n_bytes, 0)

    def test_a_shared_reservation_is_released_by_its_last_holder(self):
        account = MemoryAccount(LIMITS)
        reservation = Reservation(account)
        reservation.grow(HeldKind.HEAD, 500)
        reservation.share()
        reservation.release()
        self.assertEqual(account.n_bytes, 500)
        reservation.release()
        self.assertEqual(account.n_bytes, 0)
        reservation.release()
        self.assertEqual(account.n_bytes, 0)
        self.assertFalse(reservation.grow(HeldKind.HEAD, 500))

    @params((150, 40, 46_137_344), (16, 200, 25_165_824), (96, 38, 25_165_824))
    def test_limits_follow_from_the_memory_and_the_idle_process(
        self, memory_mib, idle_mib, total_bytes
    ):
        limits = MemoryLimits.for_memory(memory_mib, idle_mib * 1_048_576)
        self.assertEqual(limits.total_bytes, total_bytes)

    def test_the_least_account_holds_one_body_of_the_greatest_size(self):
        account = MemoryAccount()
        self.assertTrue(Reservation(account).grow_body(4_194_304, 2 * 4_194_304))
