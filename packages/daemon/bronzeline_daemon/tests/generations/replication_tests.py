import asyncio
import unittest

from nose2.tools import params

from bronzeline_daemon.generations.replication import Question

# The tests' states are texts; only this one can be used.
USABLE = "usable"


class QuestionTests(unittest.TestCase):
    @params(
        ([("a", None), ("b", None)], None),
        ([("a", USABLE)], USABLE),
        ([("a", "old"), ("b", "old")], None),
        ([("a", None), ("b", "old"), ("b", USABLE)], USABLE),
        ([("b", "old"), ("a", "old"), ("a", USABLE), ("b", USABLE)], USABLE),
    )
    def test_the_first_usable_state_is_reported_once(self, responses, expected):
        async def play():
            reported = []
            question = Question(
                {"a", "b"},
                "a",
                lambda state: state == USABLE,
                lambda state, holder_id, has_answered: reported.append(
                    (state, has_answered)
                ),
            )
            for router_id, state in responses:
                question.add_response(router_id, state)
                await asyncio.sleep(0.0)
            await asyncio.sleep(0.1)
            return reported

        self.assertEqual(asyncio.run(play()), [(expected, True)])
