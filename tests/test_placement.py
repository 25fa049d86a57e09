"""Tests of the placement of services on entry nodes."""

import unittest

from nose2.tools import params

from orioleloft_core import placement
from orioleloft_core.registry import RegisteredTarget


def registered_target(name, zone="z0"):
    return RegisteredTarget(name, "s", "10.0.0.1", 80, zone, 2, False, 1)


def node_zones(count):
    return {f"n{i}": f"z{i % 3}" for i in range(count)}


class PlacementTest(unittest.TestCase):
    @params(15, 142)
    def test_owners_receive_requests_of_their_targets(self, count):
        """Guards against cold targets without requests, because callers send none to their owners.

        When a zone comes back, all its targets are cold (cold_return on 142 VMs).
        """
        zones = node_zones(count)
        receiving = placement.ranked_nodes("s", zones, "z0")[: placement.RECEIVERS_PER_ZONE]
        for index in range(40):
            owners = placement.owners(registered_target(f"t{index}"), zones, 2)
            self.assertEqual(len(owners), 2)
            self.assertLessEqual(set(owners), set(receiving))

    def test_zone_without_nodes(self):
        """Guards against cold targets without owners in a zone that has lost all its nodes."""
        owners = placement.owners(registered_target("t", "elsewhere"), node_zones(15), 2)
        self.assertEqual(len(owners), 2)

    def test_joining_node_keeps_the_order_of_others(self):
        """Guards against callers that all change nodes and open new connections."""
        before = placement.ranked_nodes("s", node_zones(30), "z0")
        after = placement.ranked_nodes("s", node_zones(33), "z0")
        self.assertEqual([name for name in after if name in before], before)
