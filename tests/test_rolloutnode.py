"""Tests of roll-outs in one node: requests, the client of the store, and the whole node."""

import asyncio
import collections
import dataclasses
import json
import logging
import time
import unittest
from unittest import mock

from nose2.tools import params
from tornado import httputil

from orioleloft import rolloutview
from orioleloft_adapter.decoding import DecodingError, decode_rollout, decode_target
from orioleloft_adapter.encoding import encode_table
from orioleloft_adapter.headers import PlatformHeaders
from orioleloft_adapter.operatorstore import PlatformOperatorStore
from orioleloft_adapter.store import (
    CONFIG_KIND,
    CONFIG_OBJECT,
    ROLLOUTS_KIND,
    TARGETS_KIND,
    PlatformStore,
)
from orioleloft_core import packing
from orioleloft_core.entrysettings import (
    Endpoint,
    EntrySettings,
    OperatorBounds,
    RolloutBounds,
)
from orioleloft_core.messages import StateVersions
from orioleloft_core.numericinput import require_whole_number
from orioleloft_core.registry import StateVersion
from orioleloft_core.rollouts import (
    Directive,
    DirectiveAction,
    RolloutOrder,
    Rollouts,
    RolloutState,
    VersionGate,
)
from orioleloft_core.routes import DEFAULT_LIMITS, RouteTable
from orioleloftd.connections import HttpClient
from orioleloftd.entry import EntryNode, node_clock
from orioleloftd.requestcontext import CallerRequest
from orioleloftd.rolloutsync import RolloutsResource
from standins.memoryfleet import ROUTE, SERVICE, MemoryFleet
from standins.processes import free_ports
from standins.store import StoreEmulator, listen
from standins.target import Behaviour, TargetEmulator
from standins.virtualtime import run_in_virtual_time
from tests.support.loop import async_test
from tests.test_adapter import target_object

HOST = "127.0.0.1"
BOUNDS = RolloutBounds(0.1, 50.0, 5.0)
SPEC = {"service": "s", "target_version": "v2", "duration": "12s"}


def rollout_object(spec=SPEC, status=None, name="s"):
    metadata = {"name": name, "revision": 9, "create_revision": 4}
    return {"metadata": metadata, "spec": spec, "status": status}


class DecodingTest(unittest.TestCase):
    @params(
        (None, RolloutState.ORDERED),
        ({"state": "running", "target_version": "v2"}, RolloutState.RUNNING),
        ({"state": "completed", "target_version": "v2"}, RolloutState.COMPLETED),
        ({"state": "rolled_back", "target_version": "v2"}, RolloutState.ROLLED_BACK),
        ({"state": "completed", "target_version": "v1"}, RolloutState.ORDERED),
        ({}, RolloutState.ORDERED),
    )
    def test_status(self, status, state):
        """Guards against the status of an earlier order that decides this one."""
        expected = RolloutOrder("s", "v2", 12.0, 4, 9, state)
        self.assertEqual(
            decode_rollout(rollout_object(status=status), require_whole_number), expected
        )

    @params(
        rollout_object({}),
        rollout_object(SPEC | {"duration": "12"}),
        rollout_object(SPEC | {"duration": "0s"}),
        rollout_object(SPEC | {"duration": 12}),
        rollout_object(SPEC | {"target_version": ""}),
        rollout_object(SPEC | {"target_version": 2}),
        rollout_object(status={"state": "odd", "target_version": "v2"}),
        rollout_object(status="running"),
        {"metadata": {"name": "s"}, "spec": SPEC},
        None,
    )
    def test_malformed(self, item):
        """Guards against an untyped error, after which no order would be read any more."""
        with self.assertRaises(DecodingError):
            decode_rollout(item, require_whole_number)

    @params(("v2", True, "v2"), ("v2", False, ""), ("absent", True, ""), (7, False, ""))
    def test_version_of_a_target(self, version, has_versions, expected):
        """Guards against versions that change messages where there are no roll-outs."""
        target = decode_target(target_object(version=version), has_versions)
        self.assertEqual(target.version, expected)

    def test_malformed_version(self):
        """Guards against a target that gets requests as an old one, as nobody knows its version."""
        with self.assertRaises(DecodingError):
            decode_target(target_object(version=["v2"]), True)


class StoreTest(unittest.TestCase):
    def start_store(self):
        self.standin = StoreEmulator()
        port = listen(self.standin, HOST, 0)
        return PlatformStore(Endpoint(HOST, port), HttpClient(time.monotonic), True)

    async def write_order(self, **changes):
        document = {"metadata": {"name": "s"}, "spec": SPEC | changes}
        await self.standin._create(ROLLOUTS_KIND, document)

    @async_test
    async def test_conditional_status(self):
        """Guards against a status that is written for an order that has changed meanwhile."""
        store = self.start_store()
        await self.write_order()
        order = await store.read_rollout("s")
        written = await store.write_rollout_status(order, RolloutState.RUNNING)
        self.assertEqual((written.state, written.key), (RolloutState.RUNNING, order.key))
        self.assertIsNone(await store.write_rollout_status(order, RolloutState.COMPLETED))
        self.assertEqual((await store.read_rollout("s")).state, RolloutState.RUNNING)
        await self.standin._delete(ROLLOUTS_KIND, "s")
        self.assertIsNone(await store.write_rollout_status(written, RolloutState.COMPLETED))
        self.assertIsNone(await store.read_rollout("s"))

    @async_test
    async def test_watch(self):
        """Guards against a change of an order or a status that the watch does not deliver."""
        store, delivered = self.start_store(), []
        listener = mock.Mock(on_rollouts=delivered.append)
        resource = RolloutsResource(store, listener, mock.Mock(now=lambda: 0.0))
        resource._watch_timeout = lambda: 0.05
        await resource.poll()
        await self.write_order()
        await self.standin._create(
            ROLLOUTS_KIND, {"metadata": {"name": "odd"}, "spec": SPEC | {"service": "other"}}
        )
        for _ in range(3):
            await resource.poll()
        await store.write_rollout_status(delivered[-1].orders[0], RolloutState.RUNNING)
        for _ in range(2):
            await resource.poll()
        states = [[order.state for order in each.orders] for each in delivered]
        self.assertEqual(states, [[], [RolloutState.ORDERED], [RolloutState.RUNNING]])


class RequestsTest(unittest.TestCase):
    """Requests through the forwarder, to targets in memory."""

    def run_fleet(self, scenario, slots=6, target_count=6):
        async def run():
            fleet = MemoryFleet(1, target_count, 3, slots=slots, work_s=0.05)
            for target in fleet.targets[-2:]:
                target.registration = dataclasses.replace(target.registration, version="v2")
            with fleet.running():
                node = fleet.nodes["n0"]
                registry = node.forwarder._registry
                gate = VersionGate(BOUNDS, registry)
                node.forwarder._chooser._versions = gate
                order = RolloutOrder("s", "v2", 12.0, 4, 9, RolloutState.RUNNING)
                gate.on_rollouts(Rollouts(StateVersion(9, 1), (order,)))
                gate.refresh()
                return await scenario(fleet, gate, order)

        return run_in_virtual_time(run())

    def sent(self, fleet):
        """Returns the number of requests and probes that each version got."""
        arrivals = [len(target.arrivals) for target in fleet.targets]
        return sum(arrivals[:-2]), sum(arrivals[-2:])

    def test_share(self):
        """Guards against requests or probes to a new version beyond its share."""

        async def scenario(fleet, gate, order):
            replies = await fleet.send_requests(10.0, 60.0)
            runs = [sum(not each.is_probe for each in target.arrivals) for target in fleet.targets]
            self.assertTrue(all(reply.status == 200 for reply in replies))
            self.assertLessEqual(sum(runs[-2:]), 0.08 * len(replies))
            self.assertGreater(sum(runs[-2:]), 0.06 * len(replies))
            self.assertEqual(runs[-1] * runs[-2], 0, "one target gets the share at a time")

        self.run_fleet(scenario)

    def test_queued_requests_after_a_rollback(self):
        """Guards against queued requests and handed-over slots that reach a version rolled back."""

        async def scenario(fleet, gate, order):
            load = asyncio.get_running_loop().create_task(fleet.send_requests(6.0, 400.0))
            await asyncio.sleep(2.0)
            switch = Directive("n", order.key, DirectiveAction.SWITCH, 0)
            gate.on_directive(asyncio.get_running_loop().time(), switch)
            await asyncio.sleep(1.0)
            old, new = self.sent(fleet)
            self.assertGreater(new, 0)
            gate.on_directive(0.0, Directive("n", order.key, DirectiveAction.ROLL_BACK, 0))
            # A request or probe that was on its way arrives after the one-way delay.
            await asyncio.sleep(0.05)
            _, before = self.sent(fleet)
            await load
            later_old, after = self.sent(fleet)
            self.assertEqual(after, before)
            self.assertGreater(later_old, old)

        self.run_fleet(scenario, slots=2)


class NodeTest(unittest.TestCase):
    @async_test
    async def test_order_of_an_operator(self):
        """Guards against parts that are not wired: an order is never decided, or not shown."""
        emulator, store, node = await self.start_node(BOUNDS)
        faulty = Behaviour(work_s=0.003, slots=8, version="v2", fault_error_share=1.0)
        for index in range(3):
            await self.register(emulator, f"v2-{index}", faulty)
        await emulator._create(ROLLOUTS_KIND, {"metadata": {"name": "s"}, "spec": SPEC})
        state, expected = None, "rolled_back"
        while state != expected:
            await asyncio.gather(*(self.send(node) for _ in range(8)))
            status = emulator.objects(ROLLOUTS_KIND)["s"]["status"] or {}
            state = status.get("state")
        self.assertEqual(status["target_version"], "v2")
        shown = await PlatformOperatorStore(store).read_node_rollouts(node._settings.peer_endpoint)
        text = "\n".join(rolloutview.format_node(shown))
        self.assertIn(f"s to v2: {expected}", text)
        self.assertIn("n0 decides", text)
        orders = await PlatformOperatorStore(store).read_rollouts()
        self.assertIn(expected, rolloutview.format_orders(orders)[0])
        json.dumps(shown)

    @async_test
    async def test_node_without_rollouts(self):
        """Guards against calls, versions, messages or log lines where there are no roll-outs."""
        with self.assertLogs("orioleloftd", logging.INFO) as logged:
            emulator, store, node = await self.start_node(None)
            second = Behaviour(work_s=0.003, slots=8, version="v2")
            await self.register(emulator, "v2-0", second)
            await emulator._create(ROLLOUTS_KIND, {"metadata": {"name": "s"}, "spec": SPEC})
            while node._state.registry.count("s") < 5:
                await asyncio.sleep(0.01)
            await asyncio.gather(*(self.send(node) for _ in range(8)))
        calls = collections.Counter(self.calls)
        self.assertEqual([call for call in calls if "rollout" in call], [])
        # One at the start, and one before the first watch.
        self.assertEqual(calls["GET /v1/objects/evacuations"], 2, calls)
        self.assertEqual({t.version for t in node._state.registry.target_list.targets}, {""})
        self.assertEqual([line for line in logged.output if "rollout" in line], [])
        update = node._state.update_since(StateVersions())
        self.assertEqual(len(packing.to_plain(update)), 3)
        self.assertEqual(len(packing.to_plain(node._state.state_versions)), 3)

    async def start_node(self, rollouts):
        """Starts a node and four targets of an old version; returns the store, a client, the node.

        Args:
            rollouts: limits on roll-outs, or None.
        """
        emulator, self.calls = StoreEmulator(), []
        handle = emulator.handle_api_request

        async def record(method, path, query, body):
            self.calls.append(f"{method} {path}{'?watch' * ('watch' in query)}")
            return await handle(method, path, query, body)

        emulator.handle_api_request = record
        endpoint = Endpoint(HOST, listen(emulator, HOST, 0))
        store = PlatformStore(endpoint, HttpClient(node_clock), rollouts is not None)
        table = RouteTable(3, (ROUTE,), (SERVICE,), DEFAULT_LIMITS)
        payload = {"metadata": {"name": CONFIG_OBJECT}, "spec": encode_table(table, None)}
        await emulator._create(CONFIG_KIND, payload)
        for index in range(4):
            await self.register(emulator, f"v1-{index}", Behaviour(work_s=0.003, slots=8))
        ports = [Endpoint(HOST, port) for port in free_ports(4)]
        bounds = OperatorBounds(grace_period=0.5, rollouts=rollouts)
        settings = EntrySettings("n0", "za", *ports, ports[3], bounds=bounds)
        node = EntryNode(settings, PlatformHeaders(), store, lambda: None)
        await node.start()
        while not (node.is_ready and node._store_sync.is_reading):
            await asyncio.sleep(0.01)
        return emulator, store, node

    async def register(self, emulator, name, behaviour):
        target = TargetEmulator(name, behaviour)
        port = target.listen(HOST)
        await emulator._create(TARGETS_KIND, target.registration("s", HOST, port, "za", 1))

    async def send(self, node):
        headers = httputil.HTTPHeaders({"Host": "a", "X-Request-Id": "q"})
        request = CallerRequest("q", "GET", "a", "/x", headers, b"", node_clock(), 3.0)
        return await node.serve(request)
