import asyncio
import unittest

from bronzeline_standins.caller import Caller
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.topology import BITNA, GUILD, workspace_key


def run_on_fleet(topology, scenario):
    async def run():
        fleet = EmbeddedFleet(topology, n_routers=2)
        await fleet.start()
        try:
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(run())


def caller_of(fleet, number=0):
    key = workspace_key(fleet.topology.workspaces()[0])
    return Caller(fleet.routers[number].caller_port, key)


class EmbeddedFleetTests(unittest.TestCase):
    def test_a_generation_is_streamed_to_its_end(self):
        async def scenario(fleet):
            return await caller_of(fleet).stream(GUILD.model, "plan", 12)

        completion = run_on_fleet(GUILD, scenario)
        self.assertEqual(len(completion.tokens), 12)
        self.assertEqual(completion.usage["completion_tokens"], 12)
        self.assertTrue(completion.is_done)

    def test_an_order_is_placed_and_its_status_found(self):
        async def scenario(fleet):
            caller = caller_of(fleet)
            await caller.order(BITNA.plain_service, "coat-1", b"one coat")
            return await caller.status(BITNA.plain_service, "coat-1")

        response = run_on_fleet(BITNA, scenario)
        self.assertEqual(response.status, 200)
        self.assertIn(b"placed", response.body)

    def test_an_order_resent_through_another_router_runs_once(self):
        async def scenario(fleet):
            callers = [caller_of(fleet, number) for number in (0, 1, 0, 1)]
            responses = await asyncio.gather(
                *(
                    caller.order(GUILD.plain_service, "robe-1", b"a robe")
                    for caller in callers
                )
            )
            return fleet.order_book.n_runs["robe-1"], responses

        n_runs, responses = run_on_fleet(GUILD, scenario)
        self.assertEqual(n_runs, 1)
        self.assertEqual(len({response.body for response in responses}), 1)
