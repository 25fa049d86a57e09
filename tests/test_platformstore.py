"""Tests of the client of the platform's store, against the stand-in of the store."""

import dataclasses
import time
import unittest

from nose2.tools import params

from orioleloft.publishing import PendingNote
from orioleloft_adapter.operatorstore import PlatformOperatorStore
from orioleloft_adapter.store import NODES_KIND, PlatformStore
from orioleloft_core.entrysettings import Endpoint
from orioleloft_core.messages import NodeAddress, NodeList
from orioleloftd.connections import HttpClient
from orioleloftd.storesync import StoreError
from standins.store import StoreEmulator, listen
from tests.support.loop import async_test

HOST = "127.0.0.1"
NODE_A, NODE_B = NodeAddress("n0", "10.0.0.1", "za"), NodeAddress("n1", "10.0.0.2", "zb")


class WatchTest(unittest.TestCase):
    @params(
        {"events": [{"removed": False}], "at": 4},
        {"events": ["text"], "at": 4},
        {"events": [{"object": ["no dictionary"]}], "at": 4},
        {"events": 7, "at": 4},
        {"at": 4},
        None,
    )
    @async_test
    async def test_malformed_event(self, content):
        """Guards against an untyped exception, after which a watch starts again unexplained."""
        store = PlatformStore(Endpoint(HOST, 1), HttpClient(time.monotonic))

        async def call(*_, **__):
            return 200, content

        store.call = call
        for watch in (store.watch_table, store.watch_targets, store.watch_closed_zones):
            with self.assertRaises(StoreError):
                await watch(3, 1.0)

    @params({"metadata": {"name": "main"}}, {"metadata": {"name": "main"}, "spec": [1]})
    @async_test
    async def test_malformed_table(self, item):
        """Guards against a malformed object that replaces the table in force or ends the watch."""
        store = PlatformStore(Endpoint(HOST, 1), HttpClient(time.monotonic))

        async def call(*_, **__):
            return 200, {"events": [{"object": item}], "at": 9}

        store.call = call
        self.assertEqual(await store.watch_table(3, 1.0), (None, 9))


class RegisteredNodesTest(unittest.TestCase):
    def start_store(self):
        self.store_stand_in = StoreEmulator()
        port = listen(self.store_stand_in, HOST, 0)
        return PlatformStore(Endpoint(HOST, port), HttpClient(time.monotonic))

    @async_test
    async def test_conditional_write(self):
        """Guards against losing registered nodes when two watchers write the list at once.

        A write has to fail if the list has changed since it was read.
        """
        store = self.start_store()
        self.assertEqual(await store.read_registered_nodes(), NodeList((), 0))
        self.assertTrue(await store.write_registered_nodes(NodeList((NODE_A,), 0)))
        self.assertFalse(await store.write_registered_nodes(NodeList((NODE_B,), 0)))
        stored = await store.read_registered_nodes()
        self.assertEqual(stored.nodes, (NODE_A,))
        self.assertTrue(
            await store.write_registered_nodes(NodeList((NODE_A, NODE_B), stored.revision))
        )
        self.assertFalse(await store.write_registered_nodes(NodeList((), stored.revision)))
        self.assertEqual((await store.read_registered_nodes()).nodes, (NODE_A, NODE_B))

    @async_test
    async def test_malformed_list(self):
        """Guards against a malformed list that crashes the node instead of raising `StoreError`."""
        store = self.start_store()
        await self.store_stand_in.handle_api_request(
            "POST", f"/v1/objects/{NODES_KIND}", {}, b'{"metadata": {"name": "all"}, "spec": [1]}'
        )
        with self.assertRaises(StoreError):
            await store.read_registered_nodes()


class PendingNotesTest(unittest.TestCase):
    @async_test
    async def test_pending_notes(self):
        """Guards against pending notes that are lost, doubled, or listed in another order."""
        port = listen(StoreEmulator(), HOST, 0)
        store = PlatformOperatorStore(
            PlatformStore(Endpoint(HOST, port), HttpClient(time.monotonic))
        )
        late = PendingNote("a-late", "d1", "author", "op", 5, ("route r", "zone z"))
        early = PendingNote("z-early", "d2", "author", "op", 4, ("limits",))
        self.assertTrue(await store.add_pending(early))
        self.assertTrue(await store.add_pending(late))
        self.assertFalse(await store.add_pending(dataclasses.replace(late, digest="d3")))
        found = await store.read_pending()
        self.assertEqual([dataclasses.replace(each, order=0) for each in found], [early, late])
        self.assertLess(found[0].order, found[1].order)
        for _ in range(2):
            await store.remove_pending("z-early")
        self.assertEqual([each.note for each in await store.read_pending()], ["a-late"])

    @async_test
    async def test_repeated_zone_changes(self):
        """Guards against an error when a note that was cut off sets its zones again."""
        emulator = StoreEmulator()
        platform_store = PlatformStore(
            Endpoint(HOST, listen(emulator, HOST, 0)), HttpClient(time.monotonic)
        )
        store = PlatformOperatorStore(platform_store)
        for is_closed, zones in ((True, ("zb",)), (False, ())):
            for _ in range(2):
                await store.set_zone_closed("zb", is_closed)
            self.assertEqual((await platform_store.read_closed_zones()).zones, zones)
