import unittest

from bronzeline_kernel.generation import GenerationPlaced, PlacementDirectory
from bronzeline_kernel.generation.directory import EXPIRY_MS


class PlacementDirectoryTests(unittest.TestCase):
    def test_a_key_that_was_placed_again_does_not_keep_expired_ones(self):
        directory = PlacementDirectory()
        directory.place(GenerationPlaced("a", "1", ("router-1",)), 0.0)
        directory.place(GenerationPlaced("b", "2", ("router-1",)), 1.0)
        directory.place(GenerationPlaced("a", "3", ("router-2",)), EXPIRY_MS)
        directory.expire(EXPIRY_MS + 1.0)
        self.assertIsNone(directory.find("b"))
        self.assertEqual(directory.find("a").generation_id, "3")
