import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import ChangeLog, StorePosition, UpstreamChange
from bronzeline_kernel.forwarding.change_log import MAX_CHANGES


def change(name):
    return UpstreamChange(name, None)


def at(revision, era=2):
    return StorePosition(era, revision)


class ChangeLogTests(unittest.TestCase):
    def setUp(self):
        self.log = ChangeLog()
        self.log.restart(at(10))
        self.log.add((change("a"), change("b")), at(12))
        self.log.add((), at(15))
        self.log.add((change("c"),), at(17))

    @params(
        (9, None),
        (10, ["a", "b", "c"]),
        (12, ["c"]),
        (16, ["c"]),
        (17, []),
        (18, None),
    )
    def test_returns_changes_since_a_known_revision(self, revision, expected):
        changes = self.log.since(at(revision))
        names = None if changes is None else [item.upstream_id for item in changes]
        self.assertEqual(names, expected)

    def test_returns_none_if_changes_were_dropped(self):
        for number in range(MAX_CHANGES):
            self.log.add((change(str(number)),), at(20 + number))
        self.assertIsNone(self.log.since(at(12)))
        self.assertIsNotNone(self.log.since(at(20)))

    @params((1, 12), (3, 12))
    def test_returns_none_for_a_revision_of_another_era(self, era, revision):
        self.assertIsNone(self.log.since(at(revision, era)))
