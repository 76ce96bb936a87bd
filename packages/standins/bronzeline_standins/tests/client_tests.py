import asyncio
import unittest

import openai
from nose2.tools import params

from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.topology import GUILD, workspace_key

KEY = workspace_key(GUILD.workspaces()[0])
MESSAGES = [
    {"role": "system", "content": "be brief"},
    {"role": "user", "content": [{"type": "text", "text": "Plan the thread colors."}]},
]


def run_with_client(scenario, key=KEY):
    async def run():
        fleet = EmbeddedFleet(GUILD, n_routers=1)
        await fleet.start()
        base_url = f"http://127.0.0.1:{fleet.routers[0].caller_port}/v1"
        try:
            async with openai.AsyncOpenAI(
                base_url=base_url, api_key=key, max_retries=0
            ) as client:
                return await scenario(client)
        finally:
            await fleet.stop()

    return asyncio.run(run())


class OpenAIClientTests(unittest.TestCase):
    def test_streamed_and_unstreamed_chats_agree(self):
        async def scenario(client):
            options = {"model": GUILD.model, "messages": MESSAGES, "max_tokens": 20}
            stream = await client.chat.completions.create(
                stream=True, stream_options={"include_usage": True}, **options
            )
            chunks = [chunk async for chunk in stream]
            return chunks, await client.chat.completions.create(**options)

        chunks, unstreamed = run_with_client(scenario)
        choices = [chunk.choices[0] for chunk in chunks if chunk.choices]
        text = "".join(choice.delta.content or "" for choice in choices)
        self.assertEqual(text, unstreamed.choices[0].message.content)
        self.assertEqual(choices[0].delta.role, "assistant")
        self.assertEqual(choices[-1].finish_reason, "length")
        self.assertEqual(chunks[-1].choices, [])
        self.assertEqual(chunks[-1].usage.completion_tokens, 20)
        self.assertEqual(unstreamed.usage, chunks[-1].usage)

    def test_streamed_and_unstreamed_completions_agree(self):
        async def scenario(client):
            options = {"model": GUILD.model, "prompt": "plan", "max_tokens": 9}
            stream = await client.completions.create(stream=True, **options)
            text = "".join([chunk.choices[0].text async for chunk in stream])
            return text, await client.completions.create(**options)

        text, unstreamed = run_with_client(scenario)
        self.assertEqual(text, unstreamed.choices[0].text)
        self.assertEqual(
            unstreamed.usage.total_tokens, unstreamed.usage.prompt_tokens + 9
        )

    def test_models_are_listed_and_described(self):
        async def scenario(client):
            rows = [row.id async for row in await client.models.list()]
            return rows, await client.models.retrieve(GUILD.model)

        rows, model = run_with_client(scenario)
        self.assertEqual(rows, [GUILD.model])
        self.assertEqual(model.owned_by, GUILD.engine_service)

    @params(
        ({"model": "other"}, openai.NotFoundError, "unknown_model"),
        ({"n": 2}, openai.BadRequestError, "unsupported_parameter"),
        ({"max_tokens": 0}, openai.BadRequestError, "invalid_parameter"),
        ({"temperature": 3}, openai.BadRequestError, "invalid_parameter"),
        ({"max_tokens": "9"}, openai.BadRequestError, "invalid_body"),
        ({"stop": [""]}, openai.BadRequestError, "invalid_parameter"),
        (
            {"extra_headers": {"Request-Timeout-Ms": "soon"}},
            openai.BadRequestError,
            "invalid_header",
        ),
    )
    def test_refusals_raise_the_matching_client_errors(
        self, changes, error_class, code
    ):
        async def scenario(client):
            options = {"model": GUILD.model, "messages": MESSAGES, **changes}
            with self.assertRaises(error_class) as caught:
                await client.chat.completions.create(**options)
            return caught.exception

        error = run_with_client(scenario)
        self.assertEqual(error.code, code)
        self.assertEqual(error.body["run_status"], "not_run")

    def test_the_request_timeout_ends_the_completion(self):
        async def scenario(client):
            options = {"model": GUILD.model, "prompt": "plan", "max_tokens": 5_000}
            limit = {"extra_headers": {"Request-Timeout-Ms": "400"}}
            with self.assertRaises(openai.APIStatusError) as unstreamed:
                await client.completions.create(**options, **limit)
            stream = await client.completions.create(stream=True, **options, **limit)
            with self.assertRaises(openai.APIError) as streamed:
                [chunk async for chunk in stream]
            return unstreamed.exception, streamed.exception

        for error in run_with_client(scenario):
            self.assertEqual(error.code, "deadline_passed")
            self.assertGreater(error.body["n_delivered"], 0)

    def test_unknown_fields_are_ignored(self):
        async def scenario(client):
            return await client.chat.completions.create(
                model=GUILD.model,
                messages=MESSAGES,
                max_completion_tokens=3,
                extra_body={"colour": "red"},
            )

        completion = run_with_client(scenario)
        self.assertEqual(completion.usage.completion_tokens, 3)

    def test_an_unknown_key_is_refused(self):
        async def scenario(client):
            with self.assertRaises(openai.AuthenticationError) as caught:
                await client.models.list()
            return caught.exception

        self.assertEqual(run_with_client(scenario, key="no").code, "unknown_key")
