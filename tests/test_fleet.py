"""Tests of membership, failure detection and watcher election on a network with losses."""

import dataclasses
import random
import unittest

from nose2.tools import params

from orioleloft_core import discovery, membership, messages, placement, watcherelection
from orioleloft_core.discovery import select_entry_hosts
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    Announcement,
    NodeAddress,
    NodeState,
    OutgoingDatagram,
    StateVersions,
    StoreAccess,
    Suspicion,
)
from orioleloft_core.registry import StateVersion

PERIOD = membership.PING_PERIOD_S


NO_VERSIONS = StateVersions()


def make_state(name, zone, incarnation=1, state_versions=NO_VERSIONS, is_ready=True):
    return NodeState(
        name, name, zone, incarnation, 0, is_ready, False, False, StoreAccess.READY, state_versions
    )


class Network:
    """A network on which `Fleet` objects exchange packed datagrams; links may be cut or lossy."""

    def __init__(self, count, zones=3, loss=0.0):
        self.rng = random.Random(count)
        self.loss = loss
        self.now = 0.0
        self.cut_links = set()
        self.down = set()
        self.fleets = {}
        self.suspicions_sent = 0
        for index in range(count):
            self.start(index, zones)

    def start(self, index, zones=3, incarnation=1):
        name = f"n{index}"
        state = make_state(name, f"z{index % zones}", incarnation)
        fleet = Fleet(state, random.Random(index))
        for other in list(self.fleets):
            fleet.add(NodeAddress(other, other, f"z{int(other[1:]) % zones}"))
        self.fleets[name] = fleet
        self.down.discard(name)

    def deliver(self, sender, outgoing):
        for item in outgoing:
            self.suspicions_sent += isinstance(item.datagram, Suspicion)
            pair = frozenset((sender, item.host))
            if item.host not in self.fleets or item.host in self.down or pair in self.cut_links:
                continue
            if self.rng.random() < self.loss:
                continue
            datagram = messages.unpack(messages.pack(item.datagram))
            self.deliver(item.host, self.fleets[item.host].receive(self.now, datagram))

    def run(self, seconds):
        for _ in range(round(seconds / PERIOD)):
            self.now += PERIOD
            for name, fleet in list(self.fleets.items()):
                if name not in self.down:
                    self.deliver(name, fleet.tick(self.now))

    def alive_at(self, name):
        return {state.name for state in self.fleets[name].alive()}


class FleetTest(unittest.TestCase):
    @params(3, 15, 19)
    def test_all_nodes_discover_each_other(self, count):
        """Guards against nodes that stay unknown to others because they registered last."""
        network = Network(count)
        network.run(8)
        for name in network.fleets:
            self.assertEqual(network.alive_at(name), set(network.fleets) - {name})

    @params((15, 1), (15, 5), (19, 10))
    def test_failures_are_detected_in_two_seconds(self, count, dead):
        """Guards against callers sent to nodes that failed: one, a zone, half of the fleet."""
        network = Network(count)
        network.run(8)
        network.down = {f"n{index}" for index in range(dead)}
        network.run(2)
        for name in set(network.fleets) - network.down:
            self.assertFalse(network.alive_at(name) & network.down, name)

    @params((15, 5), (94, 19))
    def test_number_of_suspicions_for_a_lost_zone(self, count, dead):
        """Guards against a flood of suspicions, in which every node reports each failed one.

        Seen when a zone was lost on 94 VMs (zone_loss).
        """
        network = Network(count, zones=5)
        network.run(8)
        network.down = {f"n{index}" for index in range(dead)}
        network.suspicions_sent = 0
        network.run(4)
        for name in set(network.fleets) - network.down:
            self.assertFalse(network.alive_at(name) & network.down, name)
        # Some ten nodes may detect a failure before the first suspicion reaches them.
        self.assertLessEqual(network.suspicions_sent, 10 * dead * count)

    def test_packet_loss_does_not_mark_live_nodes_as_down(self):
        """Guards against live nodes that count as down for long on links that lose packets."""
        network = Network(15, loss=0.05)
        network.run(8)
        missing = 0
        for _ in range(40):
            network.run(PERIOD)
            missing += sum(14 - len(network.alive_at(name)) for name in network.fleets)
        self.assertLess(missing / (40 * 15 * 14), 0.01)

    def test_cut_link_between_two_nodes(self):
        """Guards against a suspicion that removes a node everywhere though others reach it."""
        network = Network(3)
        network.run(4)
        network.cut_links = {frozenset(("n0", "n1"))}
        network.run(4)
        self.assertEqual(network.alive_at("n2"), {"n0", "n1"})
        self.assertEqual(network.alive_at("n0"), {"n2"})

    @params((5, 1.0), (15, 1.0), (94, 0.95))
    def test_nodes_that_start_with_one_seed(self, count, share):
        """Guards against a node that elects itself as a watcher because it knows few others.

        At its first start each node knows only its seeds, here one.
        """
        network = Network(0)
        for index in range(count):
            network.start(index, 5)
            fleet = network.fleets[f"n{index}"]
            for name in set(fleet.zones) - {"n0", f"n{index}"}:
                fleet._members._remove(fleet._members.get(name))
        network.run(5)
        for name in network.fleets:
            self.assertGreaterEqual(len(network.alive_at(name)), share * (count - 1), name)
        self.assertLessEqual(len(self.watchers(network)), 2 * watcherelection.WATCHER_COUNT)

    def test_seed_that_starts_late(self):
        """Guards against a node that stays isolated because its seed started after it."""
        network = Network(0)
        state = make_state("n1", "z1")
        network.fleets["n1"] = Fleet(state, random.Random(1), ["n0", "n1"])
        network.run(2)
        late = make_state("n0", "z0")
        network.fleets["n0"] = Fleet(late, random.Random(0))
        network.run(1)
        self.assertEqual(network.alive_at("n0") | network.alive_at("n1"), {"n0", "n1"})

    def test_two_nodes_missing_from_each_other(self):
        """Guards against a live node that stays missing from the membership of one other node."""
        network = Network(5)
        network.run(4)
        for one, other in (("n0", "n4"), ("n4", "n0")):
            members = network.fleets[one]._members
            members._remove(members.get(other))
        network.run(3)
        self.assertIn("n0", network.alive_at("n4"))
        self.assertIn("n4", network.alive_at("n0"))

    def test_failure_is_detected_despite_removed_nodes(self):
        """Guards against pings used up by nodes that were removed and never return."""
        network = Network(15)
        network.run(8)
        network.down = {f"n{index}" for index in range(6)}
        network.run(10)
        network.down.add("n7")
        network.run(2)
        for name in set(network.fleets) - network.down:
            self.assertNotIn("n7", network.alive_at(name), name)

    @params(
        (membership.DEREGISTER_AFTER_S - 60, True, True),
        (membership.DEREGISTER_AFTER_S + 60, False, True),
    )
    def test_removal_of_a_node_that_stays_down(self, seconds, is_listed, is_known):
        """Guards against allowances that are shared with VMs replaced months ago.

        The registered nodes must not shrink either while regions lose each other for minutes.
        """
        network = Network(4)
        network.run(4)
        fleet = network.fleets["n1"]
        listed = fleet.nodes_to_register(network.now, ())
        self.assertEqual([node.name for node in listed], ["n0", "n1", "n2", "n3"])
        network.down = {"n0"}
        network.run(2)
        for later in range(0, int(seconds), 10):
            network.deliver("n1", fleet.tick(network.now + later))
        later = network.now + seconds
        self.assertEqual(
            "n0" in {node.name for node in fleet.nodes_to_register(later, listed)}, is_listed
        )
        self.assertEqual("n0" in fleet.zones, is_known)
        fleet.tick(network.now + membership.REMOVE_AFTER_S)
        self.assertNotIn("n0", fleet.zones)

    @params((1, "n0", False), (3, "n9", True))
    def test_two_nodes_at_one_address(self, incarnation, name, is_taken):
        """Guards against an old registration that hides the node which now has its address."""
        network = Network(3)
        for index in range(3):
            network.start(index, incarnation=2)
        network.run(4)
        fleet = network.fleets["n1"]
        self.assertFalse(fleet.add(NodeAddress("n9", "n0", "z0")))
        state = dataclasses.replace(make_state("n9", "z0", incarnation), host="n0")
        fleet.receive(network.now, Announcement(state))
        self.assertIn(name, fleet.zones)
        self.assertEqual("n9" in fleet.zones, is_taken)

    def test_return_after_partition_and_restart(self):
        """Guards against a restarted node that stays down or is kept with its old incarnation."""
        network = Network(6)
        network.run(4)
        network.down = {"n0"}
        network.run(3)
        network.start(0, incarnation=2)
        network.run(4)
        for name in list(network.fleets)[1:]:
            self.assertIn("n0", network.alive_at(name))
        stale = Announcement(make_state("n0", "z0", 1, StateVersions(99), is_ready=False))
        network.deliver("n0", [OutgoingDatagram("n1", stale)])
        states = {state.name: state for state in network.fleets["n1"].alive()}
        self.assertEqual(states["n0"].incarnation, 2)

    def test_return_after_the_time_of_day_jumped_back(self):
        """Guards against a restarted node that is ignored until its clock has caught up.

        The incarnation number comes from the time of day, which may jump back.
        """
        network = Network(6)
        for index in range(6):
            network.start(index, incarnation=5000)
        network.run(4)
        network.start(0, incarnation=2600)
        network.run(4)
        for name in list(network.fleets)[1:]:
            self.assertIn("n0", network.alive_at(name))

    def watchers(self, network):
        return {
            name
            for name, fleet in network.fleets.items()
            if name not in network.down and fleet.is_watcher(network.now)
        }

    def set_store_access(self, network, names, access):
        """Sets the store access of nodes, which broadcast it if it has changed."""
        for name in names:
            if network.fleets[name].update(store=access):
                network.deliver(name, network.fleets[name].announce())

    @params(15, 60)
    def test_watchers_and_takeover(self, count):
        """Guards against all nodes watching the store, and against none doing so."""
        network = Network(count)
        network.run(6)
        first = self.watchers(network)
        self.assertEqual(len(first), watcherelection.WATCHER_COUNT)
        self.set_store_access(network, first, StoreAccess.READING)
        network.run(2)
        self.assertEqual(self.watchers(network), first)
        self.set_store_access(network, first, StoreAccess.LOST)
        others = self.watchers(network) - first
        self.assertEqual(
            len(others), watcherelection.WATCHER_COUNT + watcherelection.SPARE_WATCHER_COUNT
        )
        # The others have no answer yet, and do not know yet that they get none.
        network.run(2 * PERIOD)
        others = self.watchers(network) - first
        self.assertLessEqual(len(others), watcherelection.MAX_TRIES - len(first))
        network.run(5)
        self.assertEqual(self.watchers(network) - first, others)

    def test_replacements_stay_watchers_after_a_restart(self):
        """Guards against a configuration that no node reads while the watchers restart.

        They return within a second and do not read the store before they have joined the fleet. The
        nodes that took over then stay watchers, as each change of watchers costs full snapshots.
        """
        network = Network(15)
        network.run(6)
        first = self.watchers(network)
        self.set_store_access(network, first, StoreAccess.READING)
        network.down = set(first)
        network.run(3)
        others = self.watchers(network)
        self.assertEqual(len(others), watcherelection.WATCHER_COUNT)
        self.set_store_access(network, others, StoreAccess.READING)
        for name in first:
            network.start(int(name[1:]), incarnation=2)
            network.fleets[name].update(store=StoreAccess.STARTING)
        network.run(2)
        self.assertEqual(self.watchers(network), others)
        self.set_store_access(network, first, StoreAccess.READY)
        network.run(4)
        self.assertEqual(self.watchers(network), others)

    def test_isolated_node_watches(self):
        """Guards against an isolated node that waits for updates from others and reads none."""
        network = Network(15)
        network.run(6)
        network.cut_links = {frozenset(("n3", other)) for other in network.fleets if other != "n3"}
        network.run(6)
        self.assertEqual(network.alive_at("n3"), set())
        self.assertTrue(network.fleets["n3"].is_watcher(network.now))

    @params(
        (StateVersions(2), StateVersions(1), True),
        (StateVersions(1, StateVersion(5, 1)), StateVersions(2, StateVersion(5, 0)), True),
        (StateVersions(1, StateVersion(5, 0)), StateVersions(1, StateVersion(5, 1)), False),
        (StateVersions(1), StateVersions(1), False),
    )
    def test_comparison_of_versions(self, other, own, has_newer_version):
        """Guards against updates that are not fetched, and fetches of versions already held."""
        self.assertEqual(messages.has_newer_version(other, own), has_newer_version)

    @staticmethod
    def states(count):
        return [make_state(f"n{i}", f"z{i % 3}") for i in range(count)]

    @params(
        ("z0", 2, 2, {"n0", "n3"}),
        ("z0", 1, 1, {"n0", "n3"}),
        ("z1", 64, 2, {"n1", "n4"}),
        ("z2", 64, 5, {"n2", "n0", "n1", "n3", "n4"}),
        ("elsewhere", 3, 3, {"n0", "n1", "n2", "n3", "n4"}),
    )
    def test_entry_addresses(self, zone, limit, count, hosts):
        """Guards against the callers of a whole zone overloading its last node."""
        states = self.states(5)
        found = select_entry_hosts(states, states[0], zone, "s", limit)
        self.assertEqual(len(found), count)
        self.assertLessEqual(set(found), hosts)

    @params(
        (15, "z0", placement.RECEIVERS_PER_ZONE),
        (142, "z0", placement.RECEIVERS_PER_ZONE),
        (142, "x", discovery.MAX_CROSS_ZONE_HOSTS),
    )
    def test_stable_entry_hosts_for_a_service(self, count, zone, host_count):
        """Guards against a service spread over all nodes, and against hosts that change each time.

        With 142 nodes each would get one request a second. The hosts must stay the same while other
        nodes come and go, as callers drop connections to hosts missing from a new answer.
        """
        states = self.states(count)
        found = select_entry_hosts(states, states[0], zone, "s", 64)
        self.assertEqual(len(found), host_count)
        without = [state for state in states if state.host != found[0]]
        later = select_entry_hosts(without, states[1], zone, "s", 64)
        self.assertLessEqual(set(found[1:]), set(later))
        services = [f"s{i}" for i in range(60)]
        used = {h for s in services for h in select_entry_hosts(states, states[0], zone, s, 64)}
        expected = sum(state.zone == zone for state in states) or count
        self.assertGreater(len(used), 0.9 * expected)

    def test_spare_hosts_for_busy_nodes(self):
        """Guards against callers sent only to overloaded VMs, such as those with half a core."""
        states = self.states(60)
        hosts = select_entry_hosts(states, states[0], "z0", "s", 64)
        busy = [dataclasses.replace(s, is_busy=s.host in hosts[:2]) for s in states]
        more = select_entry_hosts(busy, states[0], "z0", "s", 64)
        self.assertEqual(more[: len(hosts)], hosts)
        self.assertEqual(len(more), len(hosts) + 2)

    def test_draining_node_is_not_an_entry_host(self):
        """Guards against callers sent to a node that is about to stop."""
        network = Network(4)
        network.run(4)
        network.fleets["n1"].update(is_leaving=True, is_ready=False)
        network.deliver("n1", network.fleets["n1"].announce())
        for name in ("n0", "n2", "n3"):
            self.assertNotIn("n1", {s.name for s in network.fleets[name].serving_nodes()})
