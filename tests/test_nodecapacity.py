"""Tests of unequal nodes: their capacities, how they are ranked, and who learns of them."""

import collections
import dataclasses
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from orioleloft_core import hashing, messages, nodecapacity, placement
from orioleloft_core.discovery import select_entry_hosts
from orioleloft_core.fleet import Fleet
from orioleloft_core.membership import PING_PERIOD_S
from orioleloft_core.messages import CapacityReport, NodeAddress
from orioleloft_core.nodecapacity import NodeMap
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.slowstart import OWNERS_PER_TARGET, SlowStartLimiter
from orioleloftd.capacityexchange import CapacityExchange
from tests.support.examples import examples
from tests.test_fleet import make_state

MIB = 1024 * 1024
SERVICES = [f"s{index}" for index in range(400)]


def node_map(*capacities):
    """Returns a zone of nodes n0, n1 and so on with these capacities, 0 for an unknown one."""
    names = [f"n{index}" for index in range(len(capacities))]
    known = {name: value for name, value in zip(names, capacities, strict=True) if value}
    return NodeMap(dict.fromkeys(names, "z"), known)


def first_counts(nodes):
    """Returns how many of the services each node is the first receiver of."""
    return collections.Counter(placement.ranked_nodes(s, nodes, "z")[0] for s in SERVICES)


class NodeCapacityTest(unittest.TestCase):
    @params(
        # The settings state no cores: the node takes no part.
        (None, 5.0, 152, 0),
        (0.3, None, 552, 0.3 * 333),
        # More cores than one event loop uses.
        (2.15, 100.0, 552, 1.25 * 333),
        # A slow link, and hardly any memory.
        (2.15, 5.0, 552, 5e6 / 8 / 4096),
        (2.15, 100.0, 10, 10 * MIB * 0.25 / 65536),
    )
    def test_what_bounds_a_node(self, cpu_cores, link_mbps, memory_mib, expected):
        """Guards against a node that counts as strong although its link or memory is weak."""
        found = nodecapacity.node_capacity(cpu_cores, link_mbps, memory_mib * MIB)
        self.assertLessEqual(found, expected)
        self.assertLessEqual(expected, 1.26 * found)

    def test_weakest_beside_strongest(self):
        """Guards against rounding that lets the weakest VMs pass for a quarter of the strongest."""
        strong = nodecapacity.node_capacity(2.15, 100.0, 552 * MIB)
        weak = nodecapacity.node_capacity(0.3, 100.0, 552 * MIB)
        self.assertLess(weak, nodecapacity.WEAK_FRACTION * strong)

    def test_small_differences(self):
        """Guards against VMs of one kind that rank apart, and changes of a few per cent."""
        found = {nodecapacity.node_capacity(0.86 + i / 1000, None, 300 * MIB) for i in range(40)}
        self.assertLessEqual(max(found), 1.26 * min(found))


class RankingTest(unittest.TestCase):
    @params((4, 4, 4, 4, 4), (4, 5, 5, 5.9, 6), (1, 9, 9, 9, 0), (0, 0, 0, 0, 0))
    def test_equal_or_unknown(self, *capacities):
        """Guards against another placement where nodes are equal or some are not known."""
        nodes = node_map(*capacities)
        for service in SERVICES[:50]:
            self.assertEqual(
                placement.ranked_nodes(service, nodes, "z"),
                placement.ranked_nodes(service, dict(nodes), "z"),
            )
        self.assertEqual(placement.receiver_count(nodes), 3)

    def test_share_of_services(self):
        """Guards against as many requests for a node of half the capacity."""
        counts = first_counts(node_map(100, 100, 50, 50))
        self.assertLess(abs(counts["n0"] + counts["n1"] - 2 * counts["n2"] - 2 * counts["n3"]), 80)
        self.assertEqual(set(counts), {"n0", "n1", "n2", "n3"})

    def test_change_of_one_capacity(self):
        """Guards against callers that all change nodes because one node has changed."""
        before, after = node_map(100, 90, 60, 50, 40), node_map(100, 90, 60, 50, 80)
        for service in SERVICES[:50]:
            orders = [placement.ranked_nodes(service, nodes, "z") for nodes in (before, after)]
            others = [[name for name in order if name != "n4"] for order in orders]
            self.assertEqual(others[0], others[1])

    @params(
        # Capacities, busy nodes, receivers: weak nodes only while fewer than 2 strong are free.
        ((100, 100, 100, 20, 20), (), {"n0", "n1", "n2"}),
        ((100, 100, 20, 20, 20), (), {"n0", "n1"}),
        ((100, 100, 100, 20, 20), ("n0",), {"n0", "n1", "n2"}),
        ((100, 100, 20, 20, 20), ("n0",), {"n0", "n1", "n2", "n3", "n4"}),
        ((100, 20, 20, 20, 20), (), {"n0", "n1", "n2", "n3", "n4"}),
        ((100, 100, 100, 25, 25), (), {"n0", "n1", "n2", "n3", "n4"}),
    )
    def test_weak_nodes(self, capacities, busy, expected):
        """Guards against callers at a third of a core while strong nodes have room, and none."""
        nodes = node_map(*capacities)
        states = [
            dataclasses.replace(
                make_state(name, "z"), capacity=nodes.capacities[name], is_busy=name in busy
            )
            for name in nodes
        ]
        used = set()
        for service in SERVICES:
            hosts = select_entry_hosts(states, states[0], "z", service, 64)
            self.assertLessEqual(len(hosts), placement.RECEIVERS_PER_ZONE + len(busy))
            used |= set(hosts)
        self.assertEqual(used, expected)

    @params((100, 100, 100, 20, 20), (100, 100, 20, 20, 20), (100, 20, 20, 20), (100, 60, 40, 30))
    def test_owners_receive_requests(self, *capacities):
        """Guards against cold targets that get no requests, as their owners get none."""
        nodes = node_map(*capacities)
        states = [
            dataclasses.replace(make_state(name, "z"), capacity=nodes.capacities[name])
            for name in nodes
        ]
        for service in SERVICES[:60]:
            target = RegisteredTarget(f"t-{service}", service, "h", 80, "z", 2, False, 1)
            owners = placement.owners(target, nodes, OWNERS_PER_TARGET)
            self.assertEqual(len(owners), OWNERS_PER_TARGET)
            hosts = select_entry_hosts(states, states[0], "z", service, 64)
            self.assertLessEqual(set(owners), set(hosts))

    @settings(max_examples=examples(40))
    @given(st.lists(st.sampled_from([20.0, 50.0, 100.0]), min_size=3, max_size=12), st.data())
    def test_views_with_and_without_capacities(self, capacities, data):
        """Guards against owners of two rankings that together exceed the limit of a cold target."""
        weighted = node_map(*capacities)
        informed = data.draw(st.sets(st.sampled_from(sorted(weighted))))
        target = RegisteredTarget("t", "s", "h", 80, "z", 2, False, 1)
        nodes = {name: SlowStartLimiter(name, 1.5, 5.0) for name in weighted}
        sent = 0
        for step in range(50):
            for name, node in nodes.items():
                view = weighted if name in informed else dict(weighted)
                if node.may_send(step * 0.02, target, 2.1, view):
                    node.on_sent(step * 0.02, "t")
                    sent += 1
        self.assertLessEqual(sent, 2.1 * 1.5 + 5.0)


class OwnersTest(unittest.TestCase):
    def test_rankings_of_cold_targets(self):
        """Guards against ranking all nodes for each cold target of each request.

        After a loss of all power every target is cold, and the weakest nodes have 0.3 of a core.
        """
        nodes = node_map(1.0, 2.0, 4.0, 8.0, 8.0)
        targets = [RegisteredTarget(f"t{i}", "s", "m", i, "z", 2, False, 1) for i in range(30)]
        limiter = SlowStartLimiter("n4", 1.5, 5.0)
        ranked = mock.Mock(side_effect=hashing.weighted_rendezvous_order)
        with mock.patch.object(hashing, "weighted_rendezvous_order", ranked):
            found = [limiter.is_owner(target, nodes) for target in targets]
        self.assertEqual(ranked.call_count, 1)
        self.assertEqual(
            found,
            [limiter.is_owner(target, NodeMap(nodes, nodes.capacities)) for target in targets],
        )
        self.assertEqual(len(set(found)), 2)

    def test_kept_receivers_are_bounded(self):
        """Guards against memory that grows with the services that targets have ever named."""
        nodes = node_map(1.0, 2.0, 4.0)
        for index in range(placement.MAX_KEPT_RECEIVERS + 10):
            placement.receivers(f"s{index}", nodes, "z")
        self.assertLessEqual(len(nodes.receivers), placement.MAX_KEPT_RECEIVERS)


class ExchangeNetwork:
    """Nodes that exchange pings and capacities; without one they are of an earlier build."""

    def __init__(self, capacities, loss):
        self._rng = random.Random(3)
        self._loss = loss
        self.now = 0.0
        self.fleets, self.exchanges = {}, {}
        self.reports = 0
        for name, capacity in capacities.items():
            self.start(name, capacity)

    def start(self, name, capacity, incarnation=1):
        fleet = Fleet(make_state(name, f"z{len(name)}", incarnation), random.Random(name))
        for other in self.fleets:
            fleet.add(NodeAddress(other, other, f"z{len(other)}"))
        self.fleets[name] = fleet
        self.exchanges[name] = CapacityExchange(
            capacity, fleet, _Transport(self, name), lambda: self.now, random.Random(name)
        )

    def send(self, outgoing):
        for item in outgoing:
            if item.host not in self.fleets or self._rng.random() < self._loss:
                continue
            datagram = messages.unpack(messages.pack(item.datagram))
            is_report = isinstance(datagram, CapacityReport)
            self.reports += is_report
            exchange = self.exchanges[item.host]
            if is_report and not exchange._capacity:
                continue
            self.send(self.fleets[item.host].receive(self.now, datagram))
            if is_report:
                exchange.on_report(datagram)

    def run(self, seconds):
        for _ in range(round(seconds / PING_PERIOD_S)):
            self.now += PING_PERIOD_S
            for name, fleet in list(self.fleets.items()):
                self.send(fleet.tick(self.now))
                self.exchanges[name].tick()

    def known(self):
        return [set(fleet.zones.capacities) for fleet in self.fleets.values()]


@dataclasses.dataclass
class _Transport:
    network: ExchangeNetwork
    name: str

    def send(self, outgoing):
        self.network.send(outgoing)
        return True


class CapacityExchangeTest(unittest.TestCase):
    names = [f"a{i}" for i in range(10, 30)] + [f"a{i}" for i in range(100, 120)]

    @params(0.0, 0.2)
    def test_all_learn(self, loss):
        """Guards against nodes that rank a zone apart for long, and traffic that never ends."""
        network = ExchangeNetwork(dict.fromkeys(self.names, 100.0), loss)
        network.run(15)
        self.assertEqual(network.known(), [set(self.names)] * len(self.names))
        before = network.reports
        network.run(10)
        self.assertEqual(network.reports, before)

    def test_restart_while_another_is_down(self):
        """Guards against a started node that never ranks by capacity as one node is down."""
        network = ExchangeNetwork(dict.fromkeys(self.names, 100.0), 0.0)
        network.run(15)
        del network.fleets["a10"]
        network.run(3)
        network.start("a11", 50.0, incarnation=2)
        network.fleets["a11"].add(NodeAddress("a10", "a10", "z3"))
        network.run(15)
        capacities = network.fleets["a11"].zones.capacities
        self.assertEqual((capacities["a10"], len(capacities)), (100.0, len(self.names)))
        self.assertEqual({f.zones.capacities["a11"] for f in network.fleets.values()}, {50.0})

    def test_nodes_of_the_previous_build(self):
        """Guards against two rankings for long in a mixed fleet, and many vain questions."""
        old = self.names[:2]
        capacities = {name: 0.0 if name in old else 100.0 for name in self.names}
        network = ExchangeNetwork(capacities, 0.0)
        network.run(15)
        for name, fleet in network.fleets.items():
            self.assertEqual(len(fleet.alive()), len(self.names) - 1)
            states = [s for s in fleet.serving_nodes() if s.zone == "z3"]
            self.assertEqual({state.capacity for state in states}, {0.0}, name)
            self.assertEqual(fleet.own_state.capacity, 0.0)
        before = network.reports
        network.run(20)
        self.assertLess(network.reports - before, 20 / 10 * 3.5 * len(self.names))

    def test_settings_without_figures(self):
        """Guards against new datagrams in a fleet whose settings ask for nothing new."""
        network = ExchangeNetwork(dict.fromkeys(self.names, 0.0), 0.0)
        network.run(5)
        self.assertEqual(network.reports, 0)

    @params(0.0, -1.0, float("nan"), float("inf"))
    def test_capacity_out_of_range(self, capacity):
        """Guards against a weight for which no ranking exists."""
        with self.assertRaises(ValueError):
            messages.NodeCapacity("n", capacity)
