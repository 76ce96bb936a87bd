import asyncio
import unittest
from dataclasses import replace
from random import Random

from nose2.tools import params

from bronzeline_kernel.config import (
    CONFIG_KEY,
    ConfigClient,
    FleetConfig,
    decode_config,
)
from bronzeline_kernel.exceptions import (
    AnswerLostError,
    ConfigConflictError,
    ConfigOutcomeUnknownError,
    ConflictError,
    SettingsError,
    StoreUnavailableError,
)
from bronzeline_kernel.protocols import StoredObject

COMMAND = ".venv/bin/python .ci/run_tests.py client_tests"


class FakeStore:
    """Simulate an object store with faults.

    A call fails before its effect or after it, or a write takes effect later.
    """

    def __init__(self, seed=0, fault_ratio=0.0):
        self.stored = None
        self.version = 0
        self.delayed_writes = []
        self.random = Random(seed)
        self.fault_ratio = fault_ratio
        self.faults = []
        self.n_puts = 0

    def next_fault(self):
        if self.faults:
            return self.faults.pop(0)
        if self.random.random() < self.fault_ratio:
            return self.random.choice(("before", "after", "late"))
        return ""

    async def get(self, key):
        await asyncio.sleep(0)
        if self.next_fault():
            raise StoreUnavailableError("down")
        return self.stored

    async def put(self, key, value, *, expected_version=None):
        await asyncio.sleep(0)
        self.n_puts += 1
        fault = self.next_fault()
        self.apply_delayed_writes()
        if fault == "before":
            raise StoreUnavailableError("down")
        if fault == "late":
            self.delayed_writes.append((key, value, expected_version))
            raise AnswerLostError("lost")
        version = self.apply_write(key, value, expected_version)
        if fault == "after":
            raise AnswerLostError("lost")
        return version

    def apply_delayed_writes(self):
        delayed_writes, self.delayed_writes = self.delayed_writes, []
        for key, value, expected in delayed_writes:
            if self.random.random() < 0.5:
                self.delayed_writes.append((key, value, expected))
                continue
            try:
                self.apply_write(key, value, expected)
            except ConflictError:
                continue

    def apply_write(self, key, value, expected):
        current = self.stored.version if self.stored else 0
        if expected is not None and expected != current:
            raise ConflictError(key)
        self.version += 1
        self.stored = StoredObject(key, value, self.version)
        return self.version


def with_deadline(value_ms):
    def edit(config):
        defaults = replace(config.defaults, plain_deadline_ms=value_ms)
        return replace(config, defaults=defaults)

    return edit


def run_async(work):
    return asyncio.run(work)


class ConfigClientTests(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.client = ConfigClient(self.store, Random(1))

    def stored_config(self):
        return decode_config(self.store.stored.value)

    def test_each_change_increments_the_version_and_lists_its_entries(self):
        first = run_async(self.client.change(with_deadline(1.0)))
        second = run_async(self.client.change(with_deadline(2.0), expected_version=1))
        self.assertEqual((first.version, second.version), (1, 2))
        changes = [str(item) for item in second.changes]
        self.assertEqual(changes, ["/defaults/plain_deadline_ms: 1.0 -> 2.0"])
        self.assertEqual(self.store.stored.key, CONFIG_KEY)

    def test_conflict_shows_what_changed_since(self):
        base = run_async(self.client.change(with_deadline(1.0))).config
        run_async(self.client.change(with_deadline(2.0)))
        for given, expected in (
            (base, "/defaults/plain_deadline_ms: 1.0 -> 2.0"),
            (None, "/defaults/plain_deadline_ms (version 2)"),
        ):
            with self.assertRaises(ConfigConflictError) as caught:
                run_async(self.client.change(with_deadline(3.0), 1, base=given))
            self.assertEqual(caught.exception.changes, (expected,))

    def test_all_problems_are_reported_together_and_nothing_is_written(self):
        rule = {"exception_id": "e", "scope": "model:x", "option": "y", "value": 1}

        def edit(config):
            return {"defaults": {"max_tokens_limit": 0}, "exceptions": [rule]}

        with self.assertRaises(SettingsError) as caught:
            run_async(self.client.change(edit))
        paths = {item.path for item in caught.exception.problems}
        expected = {
            "/defaults/max_tokens_limit",
            "/exceptions/0/option",
            "/exceptions/0/reason",
            "/exceptions/0/scope",
        }
        self.assertEqual(paths, expected)
        self.assertEqual(self.store.n_puts, 0)

    @params((["", "after"],), (["", "late"],), (["", "late", "late", "after"],))
    def test_a_change_whose_reply_was_lost_is_applied_once(self, faults):
        self.store.faults = list(faults)
        self.assertEqual(run_async(self.client.change(with_deadline(5.0))).version, 1)
        self.assertEqual(self.stored_config().defaults.plain_deadline_ms, 5.0)

    def test_an_unavailable_store_raises_an_error(self):
        self.store.fault_ratio = 0.0
        self.store.faults = ["before"]
        with self.assertRaises(StoreUnavailableError):
            run_async(self.client.change(with_deadline(5.0)))

    @params(*range(30))
    def test_concurrent_changes_report_their_true_outcome(self, seed):
        store = FakeStore(seed, fault_ratio=0.3)
        applied, refused = [], []

        async def run_operator(number):
            client = ConfigClient(store, Random(f"{seed}/{number}"))
            for step in range(8):
                value_ms = float(1 + number * 100 + step)
                try:
                    result = await client.change(with_deadline(value_ms))
                    applied.append((result.version, value_ms))
                except (ConfigConflictError, StoreUnavailableError):
                    refused.append(value_ms)
                except ConfigOutcomeUnknownError:
                    continue

        async def race():
            await asyncio.gather(*(run_operator(number) for number in range(5)))

        versions = []
        apply_write = store.apply_write

        def record(key, value, expected):
            version = apply_write(key, value, expected)
            config = decode_config(value)
            versions.append((config.revision, config.defaults.plain_deadline_ms))
            return version

        store.apply_write = record
        run_async(race())
        store.random.random = lambda: 1.0
        store.apply_delayed_writes()
        hint = f"seed {seed}; {COMMAND}"
        self.assertEqual(
            [item[0] for item in versions], list(range(1, len(versions) + 1))
        )
        self.assertTrue(set(applied) <= set(versions), hint)
        self.assertEqual({value for _, value in versions} & set(refused), set(), hint)
        self.assertEqual(len({value for _, value in versions}), len(versions), hint)
        self.assertIsInstance(decode_config(store.stored.value), FleetConfig)
