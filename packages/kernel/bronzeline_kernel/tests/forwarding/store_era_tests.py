import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import StoreEra


class StoreEraTests(unittest.TestCase):
    def setUp(self):
        self.era = StoreEra()
        self.changes = []
        self.era.listen(lambda former, era: self.changes.append((former, era)))

    @params(
        ([0], []),
        ([5], []),
        ([1, 1, 1], []),
        ([1, 2, 2], [(1, 2)]),
        ([0, 1], [(0, 1)]),
        ([1, 3], [(1, 3)]),
        ([2, 1, 2], []),
    )
    def test_a_rise_is_reported_once(self, named, changes):
        for number in named:
            self.era.observe(number)
        self.assertEqual(self.changes, changes)
        self.assertEqual(self.era.number, max(named))

    @params((1, False), (2, True), (3, True))
    def test_an_earlier_era_is_not_the_latest(self, named, is_latest):
        self.era.observe(2)
        self.assertEqual(self.era.observe(named), is_latest)
