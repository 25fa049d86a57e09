"""Tests of odd entries of another writer among the registrations of targets."""

import json
import unittest
import urllib.parse

from nose2.tools import params
from tornado import httputil

from orioleloft_adapter.store import PlatformStore
from orioleloft_core import hashing, jsoninput, messages
from orioleloft_core.entrysettings import Endpoint
from orioleloft_core.registry import StateVersion, TargetList
from orioleloft_core.updates import StateUpdate, TargetDelta
from orioleloftd import codec, peering
from orioleloftd.connections import HttpResponse
from orioleloftd.storesync import StoreError
from standins.oddentries import EXCESSIVE_DEPTH, odd_entries
from tests.support.loop import async_test
from tests.test_adapter import target_object
from tests.test_messages import STATE

SOUND_SPEC = target_object()["spec"]
NODE = messages.unpack(["Announcement", STATE, 0]).state
ENTRIES = [(entry.kind, entry) for entry in odd_entries(SOUND_SPEC)]


def sound_object(name):
    item = target_object()
    return json.dumps({**item, "metadata": {**item["metadata"], "name": name}}).encode()


class ScriptedClient:
    """HTTP client whose responses are given; it records the paths that were called."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)
        self.paths = []

    async def call(self, host, port, method, path, **options):
        self.paths.append(path)
        return HttpResponse(200, httputil.HTTPHeaders(), self._bodies.pop(0))


def make_store(*bodies):
    client = ScriptedClient(*bodies)
    return PlatformStore(Endpoint("127.0.0.1", 1), client), client


def list_body(*objects, has_more=False):
    more = b"true" if has_more else b"false"
    return b'{"items": [%s], "has_more": %s, "at": 9}' % (b", ".join(objects), more)


def watch_body(*objects):
    events = [b'{"object": %s, "removed": false}' % item for item in objects]
    return b'{"events": [%s], "at": 9}' % b", ".join(events)


class OddEntriesTest(unittest.TestCase):
    def assert_usable(self, targets, removed=()):
        """Fails if other nodes, a hash or the log cannot take what was decoded."""
        version = StateVersion(9, 1)
        for part in (
            TargetList(version, tuple(targets)),
            TargetDelta(StateVersion(8, 1), version, tuple(targets), tuple(removed)),
        ):
            update = messages.SharedStateUpdate(NODE, StateUpdate(None, part, None))
            data = codec.encode(messages.pack(update))
            self.assertEqual(messages.unpack(codec.decode(data, 10**6)), update)
        for target in targets:
            hashing.rendezvous_order(target.id, [target.zone, target.service, target.host])
        for name in removed:
            hashing.rendezvous_order(name, ["n1"])

    @params(*ENTRIES)
    @async_test
    async def test_list(self, kind, entry):
        """Guards against a node that serves nothing or ends for one entry of the list (LOST)."""
        store, _ = make_store(list_body(sound_object("a"), entry.stored_object, sound_object("zz")))
        targets = (await store.read_targets()).targets
        self.assertEqual([target.id for target in targets], ["a", "zz"], kind)
        self.assert_usable(targets)
        self.assertEqual(store.unreadable_registrations, 1)

    @params(*ENTRIES)
    @async_test
    async def test_watch(self, kind, entry):
        """Guards against a watch that stops following the targets for one event."""
        store, _ = make_store(
            watch_body(sound_object("a"), entry.stored_object, sound_object("zz"))
        )
        changes = await store.watch_targets(8, 1.0)
        self.assertEqual([target.id for target in changes.changed], ["a", "zz"], kind)
        self.assertEqual(changes.revision, 9)
        self.assert_usable(changes.changed, changes.removed)

    @params(*ENTRIES)
    @async_test
    async def test_end_of_a_page(self, kind, entry):
        """Guards against a list that ends at the name of an odd entry, and against a loop."""
        store, client = make_store(
            list_body(sound_object("a"), entry.stored_object, has_more=True),
            list_body(sound_object("zz")),
        )
        targets = (await store.read_targets()).targets
        self.assertEqual([target.id for target in targets], ["a", "zz"], kind)
        for path in client.paths:
            self.assertTrue(path.isascii() and path.isprintable() and " " not in path, path[:80])
            self.assertLess(len(path), 4096)

    @params((256, True), (257, False), (1_000_000, False))
    @async_test
    async def test_page_that_ends_with_a_long_name(self, length, is_whole):
        """Guards against a list that is read for ever, or skips targets, behind a long name."""
        name = "b" * length
        store, client = make_store(
            list_body(sound_object(name), has_more=True), list_body(sound_object("zz"))
        )
        await store.read_targets()
        after = urllib.parse.unquote(client.paths[1].partition("after=")[2])
        self.assertEqual(after == name, is_whole)
        # Pages are in the order of names; the next target's name is "bb...c" or later.
        self.assertGreaterEqual(after, name)
        self.assertLess(after, "b" * 255 + "c")

    @params(b"null", b"{}", b'{"items": null, "at": 9}', b'{"items": {}, "at": 9}', b"[" * 10**5)
    @async_test
    async def test_list_that_is_none(self, body):
        """Guards against an untyped exception for which the store does not count as lost."""
        store, _ = make_store(body)
        with self.assertRaises(StoreError):
            await store.read_targets()

    @async_test
    async def test_page_without_names(self):
        """Guards against a list that is taken as whole though its next page cannot be asked for."""
        store, _ = make_store(list_body(b'{"metadata": {}}', has_more=True))
        with self.assertRaises(StoreError):
            await store.read_targets()

    @async_test
    async def test_thousand_entries(self):
        """Guards against a log line for each of many odd entries at each read."""
        odd = [entry.stored_object for _, entry in ENTRIES if len(entry.spec) < 10_000]
        many = (odd * (1 + 1000 // len(odd)))[:1000]
        store, _ = make_store(list_body(sound_object("a"), *many))
        with self.assertLogs("orioleloft_adapter.store") as logged:
            targets = (await store.read_targets()).targets
        self.assertEqual([target.id for target in targets], ["a"])
        self.assertEqual(len(logged.output), 1)

    @async_test
    async def test_changed_to_odd(self):
        """Guards against a target that stays in use after its entry has become unreadable."""
        odd = dict(ENTRIES)["service: lone surrogate"].stored_object.replace(b"odd-entry", b"a")
        store, _ = make_store(watch_body(sound_object("a"), odd))
        changes = await store.watch_targets(8, 1.0)
        self.assertEqual((changes.changed, changes.removed), ((), ("a",)))

    @async_test
    async def test_closed_zone_that_cannot_be_encoded(self):
        """Guards against a zone's name that no message to another node can carry."""
        store, _ = make_store(list_body(sound_object("zb"), b'{"metadata": {"name": "\\ud800"}}'))
        self.assertEqual((await store.read_closed_zones()).zones, ("zb",))

    @params("\ufffd.0.0.1", "localhost", "", 7, None)
    @async_test
    async def test_registered_node(self, host):
        """Guards against a host for which the socket library closes the transport of datagrams."""
        nodes = [
            {"name": "n1", "host": "10.0.0.1", "zone": "za"},
            {"name": "n2", "host": host, "zone": "za"},
            "text",
        ]
        document = {"metadata": {"name": "all", "revision": 3}, "spec": {"nodes": nodes}}
        store, _ = make_store(json.dumps(document).encode())
        registered = await store.read_registered_nodes()
        self.assertEqual([node.name for node in registered.nodes], ["n1"])


class JsonInputTest(unittest.TestCase):
    @params(
        (b"[1, -2.5, null, true]", [1, -2.5, None, True]),
        (b'{"a": "\xff"}', {"a": "\ufffd"}),
        (b'["]" , "\\"[" , "' + b"[" * 5000 + b'", ' + b"9" * 5000 + b', "x"]', None),
    )
    def test_documents(self, data, expected):
        """Guards against a document that is refused for one value, or changed beside it."""
        found = jsoninput.decode(data)
        if expected is None:
            self.assertEqual(found[:3] + found[4:], ["]", '"[', "[" * 5000, "x"])
            return
        self.assertEqual(found, expected)

    @params(
        b"",
        b"[",
        b"[" * EXCESSIVE_DEPTH,
        b"]" * EXCESSIVE_DEPTH,
        b"[}" * EXCESSIVE_DEPTH,
        b'"' + b'\\"' * 200_000,
        b'["' + b"\\" * 200_001,
        b"\xff\xff",
    )
    def test_malformed_documents(self, data):
        """Guards against an untyped exception, and against a decoder that hangs on such input."""
        with self.assertRaises(ValueError):
            jsoninput.decode(data)


class DatagramEndpointTest(unittest.TestCase):
    def test_datagram_that_cannot_be_encoded(self):
        """Guards against one value that keeps a node from telling the others anything (CONFIG)."""
        endpoint = peering.DatagramEndpoint(1, lambda datagram: None)
        report = messages.TargetReport(NODE, "\ud800", 1.0, 0.0)
        with self.assertLogs("orioleloftd.peering", "ERROR"):
            is_sent = endpoint.send([messages.OutgoingDatagram("10.0.0.1", report)])
        self.assertFalse(is_sent)
