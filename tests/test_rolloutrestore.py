"""Tests of roll-outs while the store is restored from an older copy."""

import asyncio
import dataclasses
import random
import unittest
from types import SimpleNamespace

from nose2.tools import params

from orioleloft_adapter.store import ROLLOUTS_KIND, TARGETS_KIND
from orioleloft_core.entrysettings import RolloutBounds
from orioleloft_core.messages import OutgoingDatagram, StoreAccess
from orioleloft_core.registry import StateVersion, StoreRevision
from orioleloft_core.rolloutrestore import RolloutMemory
from orioleloft_core.rollouts import RolloutOrder, Rollouts, RolloutState, ServiceVersions
from orioleloft_core.routes import DEFAULT_LIMITS, RoutedService, RouteTable
from orioleloftd.rolloutcontrol import RolloutControl
from standins.virtualtime import run_in_virtual_time
from tests.support.restorablestore import MESSAGE_S, Fleet

TABLE = RouteTable(1, (), (RoutedService("s", "/health", 100, 2.0, 0.0),), DEFAULT_LIMITS)
SPEC = {"service": "s", "target_version": "v2", "duration": "12s"}
DURATION_S = 12.0
WORK_S = 0.05


def make_order(version="v2", state=RolloutState.RUNNING, era=1, created=5):
    revision = StoreRevision(era, created + 2).number
    return RolloutOrder("s", version, 12.0, StoreRevision(era, created).number, revision, state)


def make_rollouts(era, *orders, is_settled=1):
    return Rollouts(StateVersion(StoreRevision(era, 20).number, is_settled), orders)


class RolloutMemoryTest(unittest.TestCase):
    ORDER = make_order()
    SHUT = make_order(state=RolloutState.ROLLED_BACK)
    COPY = make_order(era=2, state=RolloutState.ORDERED)
    AGAIN = make_order(era=2, created=30, state=RolloutState.ORDERED)
    OTHER = make_order("v3", era=2)

    @params(
        ("order lost", (ORDER,), (), (), (ORDER,)),
        ("status lost", (SHUT,), (COPY,), (), (SHUT,)),
        ("status written again", (SHUT,), (COPY,), ("s",), (COPY,)),
        ("written again before the first read", (SHUT,), (AGAIN,), (), (AGAIN,)),
        ("earlier order in the copy", (ORDER,), (OTHER,), (), (ORDER,)),
        ("never seen", (), (COPY,), (), (COPY,)),
        ("withdrawn in the new era", (ORDER,), (), ("s",), ()),
    )
    def test_held(self, name, in_force, read, named, expected):
        """Guards against an order or status that is given up before it is written again."""
        held = RolloutMemory().held(
            make_rollouts(1, *in_force), make_rollouts(2, *read), frozenset(named)
        )
        self.assertEqual(held, make_rollouts(2, *expected, is_settled=0), name)

    def test_known_versions(self):
        """Guards against a new version in use, as a node that starts lost what a peer had told."""
        read = dataclasses.replace(make_rollouts(2), known=(ServiceVersions("s", ("v1",)),))
        self.assertEqual(RolloutMemory().held(make_rollouts(0), read).known, read.known)

    def test_removed(self):
        """Guards against an order that was withdrawn and is back with the copy."""
        memory = RolloutMemory()
        memory.observe(make_rollouts(1, self.ORDER), make_rollouts(1))
        copy = make_rollouts(2, self.COPY)
        self.assertEqual(memory.held(make_rollouts(1), copy).orders, ())
        self.assertEqual(memory.held(make_rollouts(1), copy, {"s"}).orders, (self.COPY,))
        memory.observe(make_rollouts(1), make_rollouts(1, self.ORDER))
        self.assertEqual(memory.held(make_rollouts(1), copy).orders, (self.COPY,))


class _Member:
    """Membership and transport of one node."""

    def __init__(self, node, fleet):
        self._node, self._fleet = node, fleet

    @property
    def own_state(self):
        access = StoreAccess.READING if self._node.sync.is_reading else StoreAccess.READY
        return SimpleNamespace(name=self._node.name, store=access, incarnation=1)

    def alive(self):
        return [
            node.member.own_state for node in self._fleet.nodes.values() if node is not self._node
        ]

    def broadcast(self, datagram, is_recipient=lambda state: True):
        return [OutgoingDatagram(s.name, datagram) for s in self.alive() if is_recipient(s)]

    def relay(self, datagram, is_recipient=None):
        return []

    def send(self, outgoing):
        for item in outgoing:
            node = self._fleet.nodes[item.host]
            asyncio.get_running_loop().call_later(
                MESSAGE_S, node.control.on_datagram, item.datagram
            )
        return True


class RestoreTest(unittest.TestCase):
    """A roll-out in a fleet whose store is restored; requests are drawn at the nodes."""

    def start(self, name, is_watcher=False):
        node = self.fleet.start(name, is_watcher)
        self.add_control(node)
        return node

    def add_control(self, node):
        node.member = _Member(node, self.fleet)
        node.control = RolloutControl(
            versions=node.versions,
            registry=node.state.registry,
            fleet=node.member,
            transport=node.member,
            store=node.store,
            is_reading=lambda: node.sync.is_reading,
            table=lambda: TABLE,
            in_flight=lambda target: 0,
            count=lambda *_, **__: None,
            clock=asyncio.get_running_loop().time,
            unix_time_ms=lambda: 10**9,
        )
        self.tasks.append(asyncio.ensure_future(node.control.run()))

    async def prepare(self, failure_share):
        self.rng, self.tasks, self.sent = random.Random(3), [], []
        self.failure_share = failure_share
        self.fleet = Fleet(("n0", "n1", "n2", "n3"), ("n0", "n1"), RolloutBounds(0.1, 50.0, 5.0))
        for node in self.fleet.nodes.values():
            self.add_control(node)
        await self.register("v1")
        await asyncio.sleep(2.0)
        await self.register("v2")
        await asyncio.sleep(2.0)
        self.tasks.append(asyncio.ensure_future(self.send_requests()))

    async def register(self, version):
        for index in range(4):
            spec = {"address": "10.0.0.1:80", "service": "s", "zone": "za", "slots": 8}
            spec |= {"state": "ready", "born": 1, "version": version}
            await self.fleet.write("POST", TARGETS_KIND, f"{version}-{index}", spec)

    async def send_requests(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(200.0))
            self.send(self.rng.choice(list(self.fleet.nodes.values())))

    def send(self, node):
        versions, now = node.versions, self.now
        is_chosen = versions.choose(now, "s")
        eligible = node.state.registry.eligible_targets("s")
        targets = versions.admitted(now, "s", eligible, is_chosen)
        if not targets:
            # A node that has just started.
            return
        versions.on_first_attempt("s")
        target = self.rng.choice(targets)
        self.sent.append((now, target.version))
        is_failure = target.version == "v2" and self.rng.random() < self.failure_share
        node.control.on_attempt(target, "r", is_failure, None if is_failure else 1.0, WORK_S)

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    async def order(self):
        await self.fleet.write("POST", ROLLOUTS_KIND, "s", SPEC)

    async def order_again(self):
        # Without another write before, the order would get its earlier revision of creation.
        await self.fleet.close_zone("zx")
        await self.order()

    @property
    def state(self):
        stored = self.fleet.emulator.objects(ROLLOUTS_KIND).get("s")
        return ((stored or {}).get("status") or {}).get("state")

    async def wait_for(self, state, seconds=14.0):
        end = self.now + seconds
        while self.state != state:
            self.assertLess(self.now, end, f"the state is {self.state}, not {state}")
            await asyncio.sleep(0.02)

    def sent_since(self, time):
        return {version for at, version in self.sent if at > time}

    def run_scenario(self, scenario, failure_share=0.0):
        async def run():
            await self.prepare(failure_share)
            await scenario()
            for task in self.tasks:
                self.assertFalse(task.done(), task)
                task.cancel()

        run_in_virtual_time(run())

    @params(0.3, 1.5)
    def test_order_is_lost(self, again_after):
        """Guards against a good version that is completed late or never as its order was lost."""

        async def scenario():
            copied_at = self.now
            await asyncio.sleep(0.1)
            await self.order()
            ordered_at = self.now
            await asyncio.sleep(5.0)
            self.fleet.emulator.restore(seconds=self.now - copied_at)
            self.assertEqual(self.fleet.emulator.objects(ROLLOUTS_KIND), {})
            restored_at = self.now
            await asyncio.sleep(again_after)
            self.assertEqual(self.sent_since(restored_at + 0.2), {"v1", "v2"}, "it is given up")
            await self.order_again()
            await self.wait_for("completed")
            self.assertLess(self.now - ordered_at, DURATION_S)
            completed_at = self.now
            await asyncio.sleep(4.0)
            self.assertEqual(self.sent_since(completed_at), {"v2"})
            within = [version for at, version in self.sent if ordered_at <= at < ordered_at + 7.0]
            self.assertLessEqual(within.count("v2"), 0.1 * len(within) + 50)

        self.run_scenario(scenario)

    @params(("running", 3.0), ("completed", 1.0), ("completed", 0.05))
    def test_status_is_lost(self, state, seconds):
        """Guards against a status that stays lost, and old targets that get requests again."""

        async def scenario():
            await self.order()
            copied_at = self.now
            await asyncio.sleep(0.01)
            await self.wait_for(state)
            await asyncio.sleep(seconds)
            final_at = self.now
            calls = [len(node.client.calls) for node in self.fleet.nodes.values()]
            self.fleet.emulator.restore(seconds=self.now - copied_at)
            self.assertIsNone(self.state)
            await self.wait_for(state, 1.5)
            await asyncio.sleep(3.0)
            if state == "completed":
                self.assertEqual(self.sent_since(final_at), {"v2"})
            made = [
                call
                for node, before in zip(self.fleet.nodes.values(), calls, strict=True)
                for call in node.client.calls[before:]
                if call.startswith(f"GET /{ROLLOUTS_KIND}/s") or call.startswith("PUT")
            ]
            self.assertLessEqual(len(made), 4, made)
            if state == "running":
                await self.wait_for("completed")
                self.assertLess(self.now - copied_at, DURATION_S)

        self.run_scenario(scenario)

    @params("status", "order")
    def test_rolled_back_is_lost(self, lost):
        """Guards against a bad version that gets requests until it is found bad once more."""

        async def scenario():
            if lost == "order":
                copied_at = self.now
                await asyncio.sleep(0.1)
            await self.order()
            if lost == "status":
                copied_at = self.now
            await self.wait_for("rolled_back")
            await asyncio.sleep(1.0)
            restored_at = self.now
            self.fleet.emulator.restore(seconds=self.now - copied_at)
            await asyncio.sleep(0.3)
            # A node that starts now reads the copy, or gets the state from a node that knows more.
            self.start("n8")
            await asyncio.sleep(1.2)
            if lost == "order":
                await self.order_again()
            await self.wait_for("rolled_back", 4.0)
            await asyncio.sleep(4.0)
            self.assertEqual(self.sent_since(restored_at), {"v1"})

        self.run_scenario(scenario, 1.0)

    def test_removed_order_returns(self):
        """Guards against requests to a version whose order was withdrawn and is in the copy."""

        async def scenario():
            await self.order()
            await asyncio.sleep(3.0)
            copied_at = self.now
            await asyncio.sleep(0.1)
            await self.fleet.write("DELETE", ROLLOUTS_KIND, "s")
            await asyncio.sleep(2.0)
            restored_at = self.now
            self.fleet.emulator.restore(seconds=self.now - copied_at)
            await asyncio.sleep(1.8)
            await self.fleet.write("DELETE", ROLLOUTS_KIND, "s")
            await asyncio.sleep(4.0)
            self.assertEqual(self.sent_since(restored_at), {"v1"})

        self.run_scenario(scenario)

    def test_write_across_the_change_of_era(self):
        """Guards against a status that lands on an order that another operator wrote meanwhile."""

        async def scenario():
            await self.order()
            await asyncio.sleep(1.0)
            store = self.fleet.nodes["n0"].store
            order = await store.read_rollout("s")
            self.fleet.emulator.restore(revisions=1)
            written = await store.write_rollout_status(order, RolloutState.COMPLETED)
            self.assertIsNone(written)
            read = await store.read_rollout("s")
            self.assertEqual((read.key, read.era), (order.key, order.era + 1))
            earlier = dataclasses.replace(read, revision=order.revision)
            before = len(self.fleet.nodes["n0"].client.calls)
            self.assertIsNone(await store.write_rollout_status(earlier, RolloutState.COMPLETED))
            self.assertEqual(len(self.fleet.nodes["n0"].client.calls), before)

        self.run_scenario(scenario)
