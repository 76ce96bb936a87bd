import unittest

from bronzeline_standins.ports import free_port


class PortsTests(unittest.TestCase):
    def test_no_port_is_returned_twice(self):
        """Reserve so many ports that independent choices would repeat one."""
        ports = [free_port() for _ in range(500)]
        self.assertEqual(len(set(ports)), len(ports))
