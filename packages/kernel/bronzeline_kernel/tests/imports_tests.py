"""Check that no modules of the kernel import each other in a circle."""

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import bronzeline_kernel


def module_paths(package):
    """Return the path of each module by its name, without packages and tests."""
    root = Path(package.__file__).parent
    return {
        ".".join((root.name, *path.relative_to(root).with_suffix("").parts)): path
        for path in root.rglob("*.py")
        if "tests" not in path.parts and path.name != "__init__.py"
    }


def imported_names(path):
    """Return the modules that a file imports from, also for type checks alone."""
    nodes = ast.walk(ast.parse(path.read_text()))
    return {item.module for item in nodes if isinstance(item, ast.ImportFrom)}


def find_circle(package):
    """Return modules of a package that import each other in a circle, or none."""
    paths = module_paths(package)
    graph = {name: imported_names(path) & paths.keys() for name, path in paths.items()}
    try:
        n_ordered = len(list(TopologicalSorter(graph).static_order()))
    except CycleError as error:
        return error.args[1]
    assert n_ordered == len(paths)
    return []


class ImportTests(unittest.TestCase):
    def test_modules_import_each_other_in_one_direction(self):
        self.assertGreater(len(module_paths(bronzeline_kernel)), 50)
        self.assertEqual(find_circle(bronzeline_kernel), [])
