"""Check that no modules of the kernel import each other in a circle."""

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import bronzeline_kernel

ROOT = Path(bronzeline_kernel.__file__).parent


def module_paths():
    """Return the path of each module by its name, without packages and tests."""
    return {
        ".".join((ROOT.name, *path.relative_to(ROOT).with_suffix("").parts)): path
        for path in ROOT.rglob("*.py")
        if "tests" not in path.parts and path.name != "__init__.py"
    }


def imported_names(path):
    """Return the modules that a file imports from, also for type checks alone."""
    nodes = ast.walk(ast.parse(path.read_text()))
    return {item.module for item in nodes if isinstance(item, ast.ImportFrom)}


class ImportTests(unittest.TestCase):
    def test_modules_import_each_other_in_one_direction(self):
        paths = module_paths()
        graph = {
            name: imported_names(path) & paths.keys() for name, path in paths.items()
        }
        try:
            order = list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            self.fail(f"modules import each other in a circle: {error.args[1]}")
        self.assertEqual(len(order), len(paths))
