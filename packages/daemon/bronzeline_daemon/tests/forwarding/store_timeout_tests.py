import asyncio
import time
import unittest

from nose2.tools import params

from bronzeline_daemon.forwarding.store_timeout import StoreTimeout
from bronzeline_kernel.exceptions import StoreUnavailableError

SLOW_S = 0.6


async def slow_call():
    await asyncio.sleep(SLOW_S)
    return "answered"


class StoreTimeoutTests(unittest.TestCase):
    @params(
        ([True], ["timeout"]),
        ([False], ["answered"]),
        ([True, True, True], ["timeout", "answered", "timeout"]),
        ([False, True], ["answered", "timeout"]),
        ([True, False, True], ["timeout", "answered", "timeout"]),
    )
    def test_every_other_call_is_short_while_the_store_may_not_respond(
        self, unsure, expected
    ):
        async def play():
            timeout = StoreTimeout()
            outcomes = []
            for is_unsure in unsure:
                try:
                    outcome = await timeout.call(slow_call(), is_unsure=is_unsure)
                except StoreUnavailableError:
                    outcome = "timeout"
                outcomes.append(outcome)
            return outcomes

        self.assertEqual(asyncio.run(play()), expected)

    def test_a_short_call_ends_before_a_slow_one(self):
        started_s = time.monotonic()
        with self.assertRaises(StoreUnavailableError):
            asyncio.run(StoreTimeout().call(slow_call(), is_unsure=True))
        self.assertLess(time.monotonic() - started_s, SLOW_S)
