import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import ChangeLog, UpstreamChange
from bronzeline_kernel.forwarding.change_log import MAX_CHANGES


def change(name):
    return UpstreamChange(name, None)


class ChangeLogTests(unittest.TestCase):
    def setUp(self):
        self.log = ChangeLog()
        self.log.restart(10)
        self.log.add((change("a"), change("b")), 12)
        self.log.add((), 15)
        self.log.add((change("c"),), 17)

    @params(
        (9, None),
        (10, ["a", "b", "c"]),
        (12, ["c"]),
        (16, ["c"]),
        (17, []),
        (18, None),
    )
    def test_returns_changes_since_a_known_revision(self, revision, expected):
        changes = self.log.since(revision)
        names = None if changes is None else [item.upstream_id for item in changes]
        self.assertEqual(names, expected)

    def test_returns_none_if_changes_were_dropped(self):
        for number in range(MAX_CHANGES):
            self.log.add((change(str(number)),), 20 + number)
        self.assertIsNone(self.log.since(12))
        self.assertIsNotNone(self.log.since(20))
