import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import OwnOrigins, StreamOrigin


def origin(number):
    return StreamOrigin(f"id-{number}", "h", "engines", "v1")


class OwnOriginsTests(unittest.TestCase):
    def setUp(self):
        self.own = OwnOrigins()
        self.own.add(origin(0), 0.0)

    def store(self, now_ms, is_mixed=True, n_routers=9):
        return self.own.to_store(is_mixed, n_routers, now_ms)

    def test_nothing_is_stored_with_one_version(self):
        self.assertIsNone(self.store(1_000.0, is_mixed=False))

    def test_streams_that_run_already_are_stored_once_versions_are_mixed(self):
        self.assertIsNone(self.store(0.0, is_mixed=False))
        self.assertEqual(self.store(1_000.0), (origin(0),))
        self.assertIsNone(self.store(2_000.0))

    @params((9, 100.0), (100, 1_000.0), (1_300, 13_000.0))
    def test_all_routers_together_keep_to_a_rate(self, n_routers, interval_ms):
        self.store(0.0, n_routers=n_routers)
        self.own.add(origin(1), 1.0)
        self.assertIsNone(self.store(interval_ms - 1.0, n_routers=n_routers))
        self.assertEqual(
            self.store(interval_ms, n_routers=n_routers), (origin(0), origin(1))
        )

    def test_old_ones_are_left_out(self):
        self.store(0.0)
        self.own.add(origin(1), 60_000.0)
        self.assertEqual(self.store(60_000.0), (origin(1),))

    def test_what_is_stored_is_emptied_when_one_version_is_left(self):
        self.store(0.0)
        self.assertEqual(self.store(1_000.0, is_mixed=False), ())
        self.assertIsNone(self.store(2_000.0, is_mixed=False))

    def test_all_are_stored_again_after_the_store_lost_them(self):
        self.store(0.0)
        self.own.forget_stored()
        self.assertEqual(self.store(1_000.0), (origin(0),))
