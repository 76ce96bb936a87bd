import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import ResponseBudget, ResponseBuffer, ResponseLimits

LIMITS = ResponseLimits(total_bytes=30, per_upstream_bytes=20)
FIRST, SECOND = ("10.0.0.1", 1), ("10.0.0.2", 1)


class ResponseBudgetTests(unittest.TestCase):
    def setUp(self):
        self.budget = ResponseBudget(LIMITS)

    @params(
        ([(FIRST, 20)], True),
        ([(FIRST, 21)], False),
        ([(FIRST, 15), (FIRST, 6)], False),
        ([(FIRST, 15), (SECOND, 15)], True),
        ([(FIRST, 15), (SECOND, 16)], False),
    )
    def test_limits_each_address_and_their_sum(self, reservations, last_is_within):
        results = [self.budget.reserve(*item) for item in reservations]
        self.assertEqual(results[-1], last_is_within)
        self.assertLessEqual(self.budget.n_bytes, LIMITS.total_bytes)

    def test_a_buffer_returns_its_bytes(self):
        buffer = ResponseBuffer(self.budget, FIRST)
        self.assertTrue(buffer.append(b"x" * 20))
        self.assertFalse(buffer.append(b"y"))
        self.assertEqual(buffer.pop(), b"x" * 20)
        self.assertEqual(self.budget.n_bytes, 0)
        self.assertTrue(ResponseBuffer(self.budget, FIRST).append(b"x" * 20))

    @params(128, 200, 552)
    def test_limits_follow_the_memory_of_the_vm(self, memory_mib):
        limits = ResponseLimits.for_memory(memory_mib)
        self.assertLessEqual(4 * limits.total_bytes, memory_mib * 1024 * 1024 / 8)
        self.assertLess(limits.per_upstream_bytes, limits.total_bytes)
