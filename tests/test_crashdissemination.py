"""Tests that started and returning nodes learn which requests crash targets."""

import dataclasses
import random
import unittest

from nose2.tools import params

from orioleloft_core import messages
from orioleloft_core.crashes import (
    CRASH_LIMITS,
    CrashScope,
    CrashTracker,
    RequestFingerprints,
)
from orioleloft_core.membership import PING_PERIOD_S
from orioleloft_core.messages import CrashReport, OutgoingDatagram
from orioleloftd import codec, peering
from orioleloftd.connections import ExchangeError, HttpResponse
from orioleloftd.crashdissemination import CrashDissemination
from tests.support.loop import async_test
from tests.test_messages import STATE

NODE_COUNT = 9
HARMFUL = RequestFingerprints("caller", "content")
NODE = messages.unpack(["Announcement", STATE, 0]).state
# Time after a start or a return from which a machine is held to the operators' bound, in seconds.
STABLE_WINDOW_S = 3.0


class FleetView:
    """The part of a node's fleet that the dissemination uses."""

    def __init__(self, network, own_state):
        self._network = network
        self.own_state = own_state

    @property
    def version(self):
        return self._network.version

    def alive(self):
        return [
            node.state
            for node in self._network.nodes.values()
            if node.state.name != self.own_state.name and self._network.connects(self, node)
        ]

    def broadcast(self, datagram):
        return [OutgoingDatagram(state.host, datagram) for state in self.alive()]

    def relay(self, datagram):
        return []


class Node:
    """Evidence of one node, and the transport and exchange that its dissemination uses."""

    def __init__(self, network, name, zone, incarnation):
        self._network = network
        self.state = dataclasses.replace(
            NODE, name=name, host=name, zone=zone, incarnation=incarnation
        )
        self.tracker = CrashTracker()
        self.fleet = FleetView(network, self.state)
        self.dissemination = CrashDissemination(
            self.tracker, self.fleet, self, self, network.rng, lambda: network.now
        )

    # Transport.

    def send(self, outgoing):
        for message in outgoing:
            self._network.deliver(self, message)

    # Exchange.

    async def fetch_crashes(self, host):
        seed = self._network.nodes[host]
        if not self._network.connects(self.fleet, seed):
            raise ExchangeError("cut off", False)
        return seed.dissemination.records_to_transfer()

    def run(self):
        """Runs the harmful request, which crashes a target; returns whether it was let through."""
        if not self.tracker.start_run(self._network.now, HARMFUL):
            return False
        self._network.crashes += 1
        process = f"process {self._network.crashes}"
        self.dissemination.report(self.tracker.on_crash(self._network.now, HARMFUL, process))
        return True


class Network:
    """Nodes of three zones with lossy links and a common clock."""

    def __init__(self, seed, loss):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.version = 0
        self.crashes = 0
        self._loss = loss
        self._cut = set()
        self.nodes = {}
        for index in range(NODE_COUNT):
            self.start(f"n{index}")

    def start(self, name):
        self.version += 1
        self.nodes[name] = Node(self, name, f"z{int(name[1:]) % 3}", self.version)

    def cut(self, *names):
        self._cut = set(names)
        self.version += 1

    def connects(self, view, node):
        return (view.own_state.name in self._cut) == (node.state.name in self._cut)

    def deliver(self, sender, message):
        receiver = self.nodes[message.host]
        if self.connects(sender.fleet, receiver) and self.rng.random() >= self._loss:
            receiver.dissemination.on_report(message.datagram)

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += PING_PERIOD_S
            for node in self.nodes.values():
                node.dissemination.tick()

    def block(self):
        """Lets the request crash targets until the node that it comes to blocks it."""
        for _ in range(CRASH_LIMITS[CrashScope.CALLER]):
            self.nodes["n0"].run()
        self.pass_time(1.0)


LOSS_AND_SEED = [(loss, seed) for loss in (0.0, 0.3) for seed in range(5)]


class CrashDisseminationTest(unittest.TestCase):
    @params(*LOSS_AND_SEED)
    @async_test
    async def test_restarts_in_turn(self, loss, seed):
        """Guards against restarted nodes that run a request which has crashed targets (BUDGET).

        The seed that a node asks may be one that has just restarted itself.
        """
        network = Network(seed, loss)
        network.block()
        for name in list(network.nodes):
            network.start(name)
            await network.nodes[name].dissemination.fetch(network.rng.choice(list(network.nodes)))
            network.pass_time(STABLE_WINDOW_S)
            self.assertFalse(network.nodes[name].run(), name)

    @async_test
    async def test_start_from_a_seed(self):
        """Guards against a node that serves before it has heard what crashes targets."""
        network = Network(1, 1.0)
        network.nodes["n0"].run()
        network.nodes["n0"].run()
        network.start("n4")
        await network.nodes["n4"].dissemination.fetch("n0")
        self.assertFalse(network.nodes["n4"].run())

    @params(*LOSS_AND_SEED)
    def test_restart_of_a_zone(self, loss, seed):
        """Guards against a zone whose restarted nodes know nothing and have no running seed."""
        network = Network(seed, loss)
        network.block()
        zone = [name for name, node in network.nodes.items() if node.state.zone == "z0"]
        for name in zone:
            network.start(name)
        network.pass_time(STABLE_WINDOW_S)
        self.assertEqual([name for name in zone if network.nodes[name].run()], [])

    @params(*LOSS_AND_SEED)
    def test_return_from_a_cut(self, loss, seed):
        """Guards against a node that missed the reports while it was cut off."""
        network = Network(seed, loss)
        network.cut("n4", "n5")
        network.block()
        network.pass_time(5.0)
        network.cut()
        network.pass_time(STABLE_WINDOW_S)
        self.assertFalse(network.nodes["n4"].run())
        self.assertFalse(network.nodes["n5"].run())

    @params(*LOSS_AND_SEED)
    def test_answer(self, loss, seed):
        """Guards against a block that is repeated after the request was answered at one node."""
        network = Network(seed, loss)
        network.block()
        answering = network.nodes["n7"]
        answering.dissemination.report(answering.tracker.on_answer(network.now, HARMFUL))
        network.pass_time(10.0)
        for node in network.nodes.values():
            self.assertFalse(node.tracker.is_blocked(network.now, HARMFUL), node.state.name)

    @params((0, 0), (100, 20))
    def test_volume(self, requests, most_records):
        """Guards against datagrams of nodes that have nothing to tell, and against too many."""
        network = Network(1, 0.0)
        sent = []
        network.deliver = lambda sender, message: sent.append(message.datagram)
        node = network.nodes["n0"]
        for index in range(requests):
            for process in "abc":
                fingerprints = RequestFingerprints(f"caller {index}", f"content {index}")
                node.tracker.on_crash(network.now, fingerprints, process)
        network.start("n3")
        network.pass_time(20.0)
        self.assertEqual(bool(sent), bool(requests))
        for report in sent:
            data = codec.encode(messages.pack(report))
            self.assertLessEqual(len(data), peering.MAX_DATAGRAM_BYTES)
        records = {record.fingerprint for report in sent for record in report.records}
        self.assertLessEqual(len(records), most_records)

    @params((404, b"unknown path", False), (200, b"garbage", True), (500, b"", True))
    @async_test
    async def test_answers_of_seeds(self, status, body, is_error):
        """Guards against a start that fails at a seed of an earlier build, or at a broken one."""

        class Client:
            async def call(self, *_, **__):
                return HttpResponse(status, {}, body)

        exchange = peering.StateExchange(Client(), 1)
        if is_error:
            with self.assertRaises(ExchangeError):
                await exchange.fetch_crashes("n0")
            return
        self.assertEqual(await exchange.fetch_crashes("n0"), ())

    @async_test
    async def test_transfer(self):
        """Guards against records that a seed sends and the started node cannot decode."""
        tracker = CrashTracker()
        for process in "ab":
            tracker.on_crash(0.0, HARMFUL, process)
        records = tuple(tracker.records(2.0, 10))
        status, _, body = peering.StateExchange(None, 1).answer_crashes(records)

        class Client:
            async def call(self, *_, **__):
                return HttpResponse(status, {}, body)

        self.assertEqual(await peering.StateExchange(Client(), 1).fetch_crashes("n0"), records)
        self.assertEqual({record.age for record in records}, {2.0})

    def test_relayed_report(self):
        """Guards against a reply to a relay in place of the node that reported a crash."""
        network = Network(1, 0.0)
        sender, receiver = network.nodes["n0"], network.nodes["n1"]
        records = sender.tracker.on_crash(0.0, HARMFUL, "a")
        receiver.tracker.on_crash(0.0, HARMFUL, "a")
        receiver.tracker.on_answer(0.0, HARMFUL)
        network.now = 10.0
        sent = []
        network.deliver = lambda node, message: sent.append(message)
        receiver.dissemination.on_report(CrashReport(sender.state, records))
        self.assertEqual({message.host for message in sent}, {"n0"})
