import unittest
from collections import Counter

from nose2.tools import params

from bronzeline_kernel.forwarding import FAN_OUT, RouterEntry, find_parent


def fleet(n_zones, per_zone):
    return [
        RouterEntry(f"zone-{zone:02}-{number:03}", "10.0.0.1", 7_200, f"zone-{zone:02}")
        for zone in range(n_zones)
        for number in range(per_zone)
    ]


def parents_of(routers):
    return {
        router: find_parent(router, routers_except(routers, router))
        for router in routers
    }


def routers_except(routers, router):
    return [item for item in routers if item != router]


class ProofTreeTests(unittest.TestCase):
    @params(
        (1, 1, 0),
        (3, 1, 1),
        (3, 3, 2),
        (6, 33, 3),
        (14, 93, 5),
    )
    def test_every_router_reaches_one_root_in_few_steps(self, n_zones, per_zone, depth):
        routers = fleet(n_zones, per_zone)
        parents = parents_of(routers)
        roots = [router for router, parent in parents.items() if parent is None]
        self.assertEqual(roots, routers[:1])
        depths = []
        for router in routers:
            n_steps = 0
            while parents[router] is not None:
                router, n_steps = parents[router], n_steps + 1
            depths.append(n_steps)
        self.assertEqual(max(depths), depth)

    @params((3, 3), (6, 33), (14, 93))
    def test_no_router_is_asked_by_more_than_two_times_the_fan_out(
        self, n_zones, per_zone
    ):
        parents = parents_of(fleet(n_zones, per_zone))
        n_children = Counter(parents.values())
        del n_children[None]
        self.assertLessEqual(max(n_children.values()), 2 * FAN_OUT)

    def test_only_the_first_of_a_zone_asks_another_zone(self):
        parents = parents_of(fleet(6, 33))
        asks_elsewhere = [
            router.router_id
            for router, parent in parents.items()
            if parent is not None
            and parent.availability_zone != router.availability_zone
        ]
        self.assertEqual(
            asks_elsewhere, [f"zone-{zone:02}-000" for zone in range(1, 6)]
        )
