"""Tests of dissemination in fleets of hundreds of nodes, against the users' bounds.

Each node is a real `Fleet`; the simulated network between them loses datagrams and cuts links. The
tests compare what was broadcast with what each node holds.
"""

import random
import unittest

import msgpack
from nose2.tools import params

from orioleloft_core import dissemination, membership, messages, watcherelection
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    Announcement,
    Delivery,
    NodeState,
    OutgoingDatagram,
    SharedStateUpdate,
    StateVersions,
    StoreAccess,
)
from orioleloft_core.updates import StateUpdate
from tests.support.simulation import Simulation

PERIOD = membership.PING_PERIOD_S
# Users' bound for the control traffic of a node, in bytes per second.
CONTROL_BYTES_PER_S = 9_000
# Header of a datagram on the wire, in bytes.
DATAGRAM_HEADER_BYTES = 28


class DisseminationTest(unittest.TestCase):
    @params((312, 5), (1000, 6))
    def test_idle_traffic(self, count, zones):
        """Guards against ping traffic that grows with the fleet or mostly crosses zones."""
        simulation = Simulation(count, zones, seed=1)
        simulation.introduce_all()
        simulation.now += membership.INTRODUCTION_PERIOD_S
        simulation.run(0.5)
        simulation.sent_bytes = simulation.remote_bytes = 0
        simulation.run(1.5)
        per_node = simulation.sent_bytes / count / 1.5
        self.assertLess(per_node, CONTROL_BYTES_PER_S)
        # Bound for a fleet of 312 nodes: 20 MB between zones in 54 s.
        self.assertLess(simulation.remote_bytes / count / 1.5, 20e6 / 54 / 312)

    @params((312, 5, 0.0), (1000, 6, 0.03))
    def test_update_reaches_all_nodes(self, count, zones, loss):
        """Guards against watchers that send each update to every node, and nodes that miss it.

        A configuration has to be in force within 2 s; the next pings repair lost datagrams.
        """
        simulation = Simulation(count, zones, seed=2)
        simulation.introduce_all()
        simulation.now += membership.INTRODUCTION_PERIOD_S
        simulation.run(PERIOD)
        simulation.loss = loss
        simulation.sent_bytes = simulation.remote_bytes = 0
        watchers = ["n0", "n1", "n2"]
        for name in watchers:
            simulation.publish_table(name, 7)
        remote_bytes = simulation.remote_bytes
        simulation.run(1.0)
        self.assertEqual(simulation.table_versions(), {7})
        max_datagrams = dissemination.RELAYS_PER_ZONE * (zones - 1) * len(watchers)
        self.assertLess(remote_bytes, max_datagrams * 400)

    @params((312, 5))
    def test_loss_of_a_zone(self, count, zones):
        """Guards against callers sent to a zone without power, and floods of suspicions."""
        simulation = Simulation(count, zones, seed=3)
        simulation.introduce_all()
        simulation.now += membership.INTRODUCTION_PERIOD_S
        simulation.run(PERIOD)
        dead = {name for name, zone in simulation.zones.items() if zone == "z1"}
        simulation.down = set(dead)
        simulation.sent_bytes = 0
        simulation.run(2.5)
        unaware = sum(bool(simulation.alive_at(name) & dead) for name in simulation.running())
        self.assertLess(unaware, 0.02 * count)
        self.assertLess(simulation.sent_bytes / count / 2.5, 4 * CONTROL_BYTES_PER_S)
        simulation.run(1.0)
        for name in simulation.running():
            self.assertFalse(simulation.alive_at(name) & dead, name)

    @params((312, 5))
    def test_zone_returns_after_a_partition(self, count, zones):
        """Guards against a zone that stays down for the others for a minute after a partition."""
        simulation = Simulation(count, zones, seed=4)
        simulation.introduce_all()
        simulation.now += membership.INTRODUCTION_PERIOD_S
        simulation.run(PERIOD)
        simulation.cut_zones = {"z1"}
        simulation.run(4.0)
        inside = {name for name, zone in simulation.zones.items() if zone == "z1"}
        self.assertEqual(simulation.alive_at("n0") & inside, set())
        simulation.cut_zones = set()
        simulation.run(6.0)
        for name in simulation.running():
            missing = set(simulation.zones) - simulation.alive_at(name) - {name}
            self.assertLess(len(missing), 0.02 * count, name)

    @params(("all", 312, 0, 60), ("a third", 142, 0.35, 40), ("a fifth", 142, 0.2, 40))
    def test_calls_in_an_outage_of_the_store(self, name, count, share, max_calls):
        """Guards against all nodes of the fleet calling a store that is down.

        On 142 nodes such an outage caused 3,647 calls, which cost 0.10 of the value of that day.
        """
        simulation = Simulation(count, 5, seed=5)
        simulation.introduce_all()
        nodes = sorted(simulation.fleets)
        refused = (
            set(nodes) if share == 0 else set(random.Random(6).sample(nodes, int(count * share)))
        )
        calls = simulation.run_with_store(lambda node: node not in refused, seconds=9.0)
        self.assertLessEqual(sum(calls.values()), max_calls, name)
        if refused != set(nodes):
            reading = simulation.nodes_reading_store()
            self.assertTrue(reading - refused)
        simulation.run_with_store(lambda node: True, seconds=3.0)
        reading = simulation.nodes_reading_store()
        self.assertGreaterEqual(len(reading), 1)
        self.assertLessEqual(len(reading), 2 * watcherelection.WATCHER_COUNT)

    def test_store_returns_during_a_partition(self):
        """Guards against a part of the fleet that never notices that the store is back."""
        simulation = Simulation(60, 3, seed=7)
        simulation.introduce_all()
        simulation.run_with_store(lambda node: True, seconds=2.0)
        simulation.cut_zones = {"z1"}
        simulation.run_with_store(lambda node: False, seconds=9.0)
        simulation.run_with_store(lambda node: True, seconds=4.0)
        reading = {simulation.zones[name] == "z1" for name in simulation.nodes_reading_store()}
        self.assertEqual(reading, {True, False})


class RelayTest(unittest.TestCase):
    def test_relayed_state_does_not_revive_a_node(self):
        """Guards against a failed node that stays alive because others still relay its state."""
        state = NodeState(
            "n1", "n1", "z1", 1, 4, True, False, False, StoreAccess.READY, StateVersions()
        )
        own = NodeState(
            "n0", "n0", "z0", 1, 0, True, False, False, StoreAccess.READY, StateVersions()
        )
        fleet = Fleet(own, random.Random(1))
        fleet.receive(0.0, Announcement(state))
        for step in range(8):
            fleet.tick(step * PERIOD)
        self.assertEqual(fleet.alive(), [])
        fleet.receive(2.0, Announcement(state, Delivery.RELAYED))
        self.assertEqual(fleet.alive(), [])
        fleet.receive(2.0, Announcement(state))
        self.assertEqual(fleet.alive(), [state])

    def test_size_of_datagrams(self):
        """Guards against datagrams split into IP fragments, where one lost fragment loses all."""
        states = tuple(
            NodeState(
                f"front-gt-central-a-{index}",
                "10.200.100.100",
                "gt-central-a",
                1_800_000_000_000 + index,
                300,
                True,
                False,
                False,
                StoreAccess.READY,
                StateVersions(70_000),
            )
            for index in range(max(membership.MAX_INTRODUCED, 40))
        )
        introduction = messages.Introduction(states[0], states[: membership.MAX_INTRODUCED])
        self.assertLessEqual(len(msgpack.packb(messages.pack(introduction))), 1400)
        down = tuple(messages.SuspectedNode(s.name, s.incarnation) for s in states[:30])
        suspicion = messages.Suspicion(states[0], down, True)
        self.assertLessEqual(len(msgpack.packb(messages.pack(suspicion))), 1400)

    def test_datagram_is_relayed_once(self):
        """Guards against a datagram that circulates between zones forever."""
        states = [
            NodeState(
                f"n{i}",
                f"n{i}",
                f"z{i % 2}",
                1,
                0,
                True,
                False,
                False,
                StoreAccess.READY,
                StateVersions(),
            )
            for i in range(8)
        ]
        fleet = Fleet(states[0], random.Random(1))
        for state in states[1:]:
            fleet.receive(0.0, Announcement(state))
        message = SharedStateUpdate(states[1], StateUpdate(), Delivery.TO_RELAY)
        passed = fleet.relay(message)
        self.assertEqual({item.host for item in passed}, {"n2", "n4", "n6"})
        for item in passed:
            self.assertIs(item.datagram.delivery, Delivery.RELAYED)
            self.assertEqual(fleet.relay(item.datagram), [])
        self.assertIsInstance(passed[0], OutgoingDatagram)
