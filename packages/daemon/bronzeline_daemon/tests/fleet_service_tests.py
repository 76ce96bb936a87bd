import asyncio
import unittest
from random import Random

from nose2.tools import params

from bronzeline_daemon.fleet_service import FleetService
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.protocols import VmListing


class FakeVmList:
    def __init__(self, n_routers):
        self.listing = VmListing(
            (),
            tuple(
                RouterInfo(f"router-{number}", "127.0.0.1", 1, "zone", "region")
                for number in range(n_routers)
            ),
        )

    async def read(self):
        return self.listing


class FleetServiceTests(unittest.TestCase):
    @params((1, 2.0), (9, 18.0), (100, 25.0), (1_300, 25.0))
    def test_bounds_the_reads_per_second_of_the_fleet(self, n_routers, max_reads_per_s):
        service = FleetService(FakeVmList(n_routers), Random(1))
        asyncio.run(service.refresh())
        pauses_s = [service.poll_interval_s() for _ in range(200)]
        self.assertLessEqual(n_routers / min(pauses_s), max_reads_per_s)
        self.assertGreaterEqual(min(pauses_s), 0.5)
