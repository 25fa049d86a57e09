"""Tests of the client of the platform's object API, against the stand-in."""

import asyncio
import unittest

from nose2.tools import params

from orioleloft_core.errors import ConflictError, OutcomeUnknownError, PlatformDownError
from orioleloft_platform import objectstore
from orioleloft_platform.objectstore import HttpObjectStore, ListedObject, ListedVM, StoredObject
from tests.support import fixtures

TEST_PLATFORM = fixtures.on_platform(connect_timeout_ms=1000, request_timeout_ms=1000)


async def create(store):
    return await store.create("note/new", {"a": 1})


async def update(store):
    return await store.update("note/old", 1, {"a": 2})


async def read(store):
    return await store.read("note/old")


async def watch(store):
    return await store.watch("note/old", 0, 50)


async def list_(store):
    return await store.list("note/")


async def vms(store):
    return await store.list_vms()


class ObjectStoreTest(unittest.TestCase):
    @TEST_PLATFORM
    async def test_versions_decide_writes(self, _, store):
        """Guards against a write that replaces a version that its writer has not seen."""
        self.assertEqual(await store.create("a b/ü", [1]), 1)
        self.assertEqual(await store.update("a b/ü", 1, [2]), 2)
        for write in (store.create("a b/ü", 0), store.update("a b/ü", 1, 0)):
            with self.assertRaises(ConflictError):
                await write
        with self.assertRaises(ConflictError):
            await store.update("absent", 1, 0)
        self.assertEqual(await store.read("a b/ü"), StoredObject("a b/ü", 2, [2]))
        self.assertIsNone(await store.read("absent"))

    @TEST_PLATFORM
    async def test_lists(self, standin, store):
        """Guards against lists that leave out or add names, and VMs in another form."""
        await store.create("note/old", 1)
        await store.create("other", 1)
        listed = await store.list("note/")
        self.assertEqual(listed, (ListedObject("note/old", 1),))
        vm = {"name": "entry-01", "zone": "za", "address": "127.0.0.1:80"}
        standin.control({"vms": {"live": [vm], "leaving": []}})
        self.assertEqual((await store.list_vms()).live, (ListedVM(**vm),))

    @TEST_PLATFORM
    async def test_watch_returns_on_a_write_and_counts_as_one_call(self, standin, store):
        """Guards against a watch that polls, or that misses a write."""
        waiting = asyncio.create_task(store.watch("head", 0, 5000))
        while "watch" not in standin.counts:
            await asyncio.sleep(0)
        await store.create("head", "v1")
        self.assertEqual(await waiting, StoredObject("head", 1, "v1"))
        self.assertIsNone(await store.watch("head", 1, 20))
        self.assertEqual(standin.counts["watch"], 2)

    @params(
        (create, "is_down", PlatformDownError),
        (update, "is_down", PlatformDownError),
        (read, "is_down", PlatformDownError),
        (watch, "is_down", PlatformDownError),
        (list_, "is_down", PlatformDownError),
        (vms, "is_down", PlatformDownError),
        (create, "drops_calls", OutcomeUnknownError),
        (update, "drops_calls", OutcomeUnknownError),
        (read, "drops_calls", PlatformDownError),
        (create, "lose_answers", OutcomeUnknownError),
        (update, "lose_answers", OutcomeUnknownError),
        (create, "delay_ms", OutcomeUnknownError),
        (read, "delay_ms", PlatformDownError),
    )
    @TEST_PLATFORM
    async def test_faults_give_typed_errors(self, standin, store, call, fault, error):
        """Guards against a lost answer that is taken for a write without effect."""
        await store.create("note/old", {"a": 0})
        standin.control({fault: 5000 if fault == "delay_ms" else 1})
        before = len(standin.writes)
        with self.assertRaises(error):
            await call(store)
        self.assertEqual(len(standin.writes) - before, int(fault == "lose_answers"))

    @params(create, read)
    @TEST_PLATFORM
    async def test_refused_connection_changes_nothing(self, _standin, _store, call):
        """Guards against "outcome unknown" for a call that was never sent."""
        nowhere = HttpObjectStore("127.0.0.1:1")
        with self.assertRaises(PlatformDownError):
            await call(nowhere)
        nowhere.close()

    @TEST_PLATFORM
    async def test_value_over_the_limit_is_not_sent(self, standin, store):
        """Guards against a call that the platform can only refuse."""
        with self.assertRaises(PlatformDownError):
            await store.create("big", "x" * objectstore.MAX_VALUE_BYTES)
        self.assertEqual(standin.counts, {})
        value = "x" * (objectstore.MAX_VALUE_BYTES - 2)
        self.assertEqual(await store.create("big", value), 1)

    @TEST_PLATFORM
    async def test_stale_reads_and_lists(self, standin, store):
        """Guards against a stand-in whose staleness tests nothing."""
        await store.create("note/old", {"a": 0})
        standin.control({"has_stale_reads": True, "has_stale_lists": True})
        await store.update("note/old", 1, {"a": 1})
        await store.create("note/new", 1)
        self.assertEqual((await store.read("note/old")).version, 1)
        self.assertEqual(len(await store.list("")), 1)


if __name__ == "__main__":
    unittest.main()
