"""Tests of the decisions that only the whole node can make."""

import random
import unittest

from orioleloft_core import events
from orioleloft_core.effects import Answer, Dispatch, Stopped
from orioleloft_core.messages import Ping
from orioleloft_core.node import Node
from orioleloft_core.settings import RoutingMode
from tests.support import requester
from tests.support.fleet import make_facts

FRESHNESS_S = 5.0
# Lifetime of an address answer and margin.
LEAVING_S = 6.0


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


class StopTest(unittest.TestCase):
    def test_stop_waits_for_key_query(self):
        """Guards against a planned stop that cuts off a caller whose key is asked about."""
        node = Node(requester.settings(), "ab" * 8, 1, random.Random(1))
        node.handle(0.0, events.HeadRead(requester.catalog(), True, 0.0))
        facts = make_facts("entry-02", "cd" * 8)
        node.handle(0.0, events.MessageArrived("entry-02", Ping(1, facts)))
        node.handle(0.0, events.Tick())
        node.handle(0.0, events.StopRequested())
        key = f"entry-02.{'cd' * 8}.0.k"
        arrived = events.RequestArrived(requester.request("r1", "POST", 9.0, key))
        node.handle(LEAVING_S - 0.1, arrived)
        last = []
        for step in range(20):
            made = node.handle(LEAVING_S + 0.1 * step, events.Tick())
            last += [item for item in made if isinstance(item, Answer | Stopped)]
        self.assertEqual([Answer, Stopped], [type(item) for item in last])


if __name__ == "__main__":
    unittest.main()
