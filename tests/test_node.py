"""Tests of the decisions that only the whole node can make."""

import random
import unittest

from orioleloft_core import events
from orioleloft_core.effects import Dispatch
from orioleloft_core.node import Node
from orioleloft_core.settings import RoutingMode
from tests.support import requester

FRESHNESS_S = 5.0


class MayStartTest(unittest.TestCase):
    def test_no_start_without_contact(self):
        """Guards against a retry of an isolated node into a zone closed since it lost contact."""
        settings = requester.settings(routing={"mode": RoutingMode.VIEWS})
        node = Node(settings, "ab" * 8, 1, random.Random(1))
        node.handle(0.0, events.HeadRead(requester.catalog(), True, 0.0))
        node.handle(0.0, events.Tick())
        dispatches = []
        for number in range(2):
            arrived = events.RequestArrived(requester.request(f"r{number}", deadline=20.0))
            made = node.handle(0.0, arrived)
            dispatches += [item.dispatch_id for item in made if isinstance(item, Dispatch)]
        for step in range(1, 49):
            node.handle(step * 0.1, events.Tick())
        self.assertTrue(node.may_start(FRESHNESS_S - 0.1, dispatches[0]))
        self.assertFalse(node.may_start(FRESHNESS_S, dispatches[1]))


if __name__ == "__main__":
    unittest.main()
