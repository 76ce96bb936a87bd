"""Check that no modules of a package import each other in a circle."""

import unittest

from nose2.tools import params

import bronzeline
import bronzeline_daemon
import bronzeline_standins
from bronzeline_kernel.tests.imports_tests import find_circle, module_paths


class ImportTests(unittest.TestCase):
    @params(bronzeline, bronzeline_daemon, bronzeline_standins)
    def test_modules_import_each_other_in_one_direction(self, package):
        self.assertGreater(len(module_paths(package)), 5)
        self.assertEqual(find_circle(package), [])
