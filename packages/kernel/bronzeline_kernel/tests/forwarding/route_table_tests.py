import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import RouteTable
from bronzeline_kernel.tests.forwarding.samples import config, route


class RouteTableTests(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable(
            config(
                routes=[
                    route(name="root", path_prefix="/"),
                    route(name="short", path_prefix="/a/"),
                    route(name="long", path_prefix="/a/b/"),
                    route(name="other", host="other.example", path_prefix="/x/"),
                ]
            )
        )

    @params(
        ("desk.example", "/a/b/c", "long"),
        ("desk.example", "/a/bc", "short"),
        ("desk.example", "/a/b", "short"),
        ("desk.example", "/q", "root"),
        ("DESK.example:8740", "/a/1", "short"),
        ("other.example", "/x/1", "other"),
        ("other.example", "/a/1", None),
        ("nowhere.example", "/a/1", None),
        ("", "/a/1", None),
        ("desk.example", "", None),
    )
    def test_finds_longest_path_prefix_of_host(self, host, path, name):
        result = self.table.find(host, path)
        self.assertEqual(result.name if result else None, name)

    @params(("key-1", "shop"), ("key-2", None), ("", None))
    def test_finds_workspace_by_key(self, key, name):
        result = self.table.find_workspace(key)
        self.assertEqual(result.name if result else None, name)
