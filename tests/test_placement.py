"""Tests of the order in which nodes receive the requests for a service."""

import unittest

from nose2.tools import params

from orioleloft_core import placement
from orioleloft_core.registry import RegisteredTarget


def make_target(name, zone="z0"):
    return RegisteredTarget(name, "s", "10.0.0.1", 80, zone, 2, False, 1)


def zones_of(count):
    return {f"n{i}": f"z{i % 3}" for i in range(count)}


class PlacementTest(unittest.TestCase):
    @params(15, 142)
    def test_owners_receive_requests_of_their_targets(self, count):
        """Guards against cold targets that get no work because their owners get no requests.

        After the return of a zone all its targets are cold (cold_return on 142 VMs).
        """
        zones = zones_of(count)
        receiving = placement.ranked("s", zones, "z0")[: placement.NODES_IN_ZONE]
        for index in range(40):
            owners = placement.owners(make_target(f"t{index}"), zones, 2)
            self.assertEqual(len(owners), 2)
            self.assertLessEqual(set(owners), set(receiving))

    def test_zone_without_nodes(self):
        """Guards against targets that nobody may use in a zone that has lost all its nodes."""
        owners = placement.owners(make_target("t", "elsewhere"), zones_of(15), 2)
        self.assertEqual(len(owners), 2)

    def test_a_node_that_joins_moves_few_requests(self):
        """Guards against callers that all move, and connections that are opened anew."""
        before = placement.ranked("s", zones_of(30), "z0")
        after = placement.ranked("s", zones_of(33), "z0")
        self.assertEqual([name for name in after if name in before], before)
