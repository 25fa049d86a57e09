"""Tests that blocked requests outlast a start of all nodes at once."""

import json
import time
import unittest
from types import SimpleNamespace

from nose2.tools import params

from orioleloft_adapter.store import BLOCKED_REQUESTS_KIND, PlatformStore
from orioleloft_core.crashes import BLOCK_S, CrashTracker, RequestFingerprints
from orioleloft_core.entrysettings import Endpoint
from orioleloft_core.messages import StoreAccess
from orioleloftd.connections import HttpClient
from orioleloftd.crasharchive import CrashArchive
from standins.store import StoreEmulator, listen
from tests.support.loop import async_test

HARMFUL = RequestFingerprints("caller", "content")


def member(name, store=StoreAccess.READING):
    return SimpleNamespace(name=name, store=store)


class CrashArchiveTest(unittest.TestCase):
    def start_store(self):
        self.emulator = StoreEmulator()
        port = listen(self.emulator, "127.0.0.1", 0)
        self.store = PlatformStore(Endpoint("127.0.0.1", port), HttpClient(time.monotonic))

    def start_node(self, name="n1", others=(), is_reading=True):
        """Starts a node of a fleet; returns its tracker and its archive."""
        tracker = CrashTracker()
        fleet = SimpleNamespace(own_state=member(name), alive=lambda: list(others))
        sync = SimpleNamespace(is_reading=is_reading)
        return tracker, CrashArchive(tracker, self.store, fleet, sync, lambda: 0.0)

    @property
    def saved(self):
        return {
            name: item["spec"]["crashed"]
            for name, item in self.emulator.objects(BLOCKED_REQUESTS_KIND).items()
        }

    @async_test
    async def test_start_of_all_nodes(self):
        """Guards against a request that crashes further targets each time all nodes start."""
        self.start_store()
        tracker, archive = self.start_node()
        for process in "abc":
            tracker.on_crash(0.0, HARMFUL, process)
        for _ in range(2):
            await archive._write_next()
        tracker, archive = self.start_node()
        await archive.load()
        self.assertFalse(tracker.start_run(0.0, HARMFUL))
        self.assertFalse(tracker.start_run(BLOCK_S - 1, HARMFUL))
        self.assertTrue(tracker.start_run(2 * BLOCK_S, HARMFUL))

    @async_test
    async def test_saved_requests(self):
        """Guards against writes for nothing, and against a block that outlasts its end."""
        self.start_store()
        tracker, archive = self.start_node()
        tracker.on_crash(0.0, HARMFUL, "a")
        await archive._write_next()
        self.assertEqual((self.saved, self.emulator.request_count), ({}, 0))
        for processes in ("ab", "abc"):
            tracker.on_crash(0.0, HARMFUL, processes[-1])
            for _ in range(3):
                await archive._write_next()
            self.assertEqual(self.saved["caller"], list(processes))
        calls = self.emulator.request_count
        await archive._write_next()
        self.assertEqual(self.emulator.request_count, calls)
        tracker.on_answer(0.0, HARMFUL)
        for _ in range(3):
            await archive._write_next()
        self.assertEqual(self.saved, {})

    @async_test
    async def test_next_writer(self):
        """Guards against a record that stays in the store as the node that saved it is gone."""
        self.start_store()
        first, first_archive = self.start_node("n1")
        second, second_archive = self.start_node("n2", [member("n1")])
        for process in "ab":
            for record in first.on_crash(0.0, HARMFUL, process):
                second.merge(0.0, record)
        await first_archive._write_next()
        second_archive._follow()
        second.on_answer(0.0, HARMFUL)
        for _ in range(2):
            await second_archive._write_next()
        self.assertEqual(self.saved, {})

    @async_test
    async def test_restored_store(self):
        """Guards against blocks that are lost with the store, or come back after their end.

        Also against writes of the same request with each period after a restore.
        """
        self.start_store()
        self.emulator.sends_era = True
        ended = RequestFingerprints("ended", "ended-content")
        tracker, archive = self.start_node()
        for process in "ab":
            tracker.on_crash(0.0, ended, process)
        for _ in range(2):
            await archive._write_next()
        copied = self.emulator.revision
        for process in "cd":
            tracker.on_crash(0.0, HARMFUL, process)
        tracker.on_answer(0.0, ended)
        for _ in range(3):
            await archive._write_next()
        self.assertEqual(self.saved, {"caller": ["c", "d"]})
        self.emulator.restore(revisions=self.emulator.revision - copied)
        self.assertEqual(self.saved, {"ended": ["a", "b"]})
        await self.store.read_table()
        calls = self.emulator.request_count
        for _ in range(6):
            await archive._write_next()
        self.assertEqual(self.saved, {"caller": ["c", "d"]})
        # One read; one removal; one save, which is a PUT that finds nothing and a POST.
        self.assertEqual(self.emulator.request_count - calls, 4)

    @params(
        ("n1", (), True, True),
        ("n1", ("n2", "n3"), True, True),
        ("n2", ("n1",), True, False),
        ("n1", (), False, False),
    )
    @async_test
    async def test_writer(self, name, others, is_reading, is_writer):
        """Guards against a write of each node, where each call to the store is billed."""
        self.start_store()
        ready = member("n0", StoreAccess.READY)
        _, archive = self.start_node(name, [ready, *map(member, others)], is_reading)
        self.assertEqual(archive._is_writer(), is_writer)

    @params(
        "null", "[]", '{"scope": 7, "crashed": []}', '{"scope": 0}', '{"scope": 0, "crashed": 4}'
    )
    @async_test
    async def test_odd_record(self, spec):
        """Guards against one odd record that hides the others, or keeps a node from its start."""
        self.start_store()
        tracker, archive = self.start_node()
        for process in "ab":
            tracker.on_crash(0.0, HARMFUL, process)
        await archive._write_next()
        raw_object = {"kind": BLOCKED_REQUESTS_KIND, "name": "odd", "spec": spec}
        await self.emulator.handle_control_request(
            "POST", json.dumps({"raw_object": raw_object}).encode()
        )
        tracker, archive = self.start_node()
        await archive.load()
        self.assertTrue(tracker.is_blocked(0.0, HARMFUL))

    @async_test
    async def test_store_is_busy(self):
        """Guards against a start that fails with the store, and a save that is forgotten."""
        self.start_store()
        tracker, archive = self.start_node()
        for process in "ab":
            tracker.on_crash(0.0, HARMFUL, process)
        self.emulator.mode = "busy"
        await archive.load()
        with self.assertLogs("orioleloftd.crasharchive", "WARNING"):
            await archive.load()
        self.emulator.mode = "up"
        await archive._write_next()
        self.assertEqual(self.saved, {"caller": ["a", "b"]})
