"""Tests of the lifecycle of a node."""

import random
import unittest

from nose2.tools import params

from orioleloft_core.effects import Send
from orioleloft_core.events import HeadRead, StopRequested, Tick
from orioleloft_core.lifecycle import NodeLifecycle
from orioleloft_core.messages import Ping
from orioleloft_core.node import Node
from tests.support.fleet import NAMES, make_catalog, make_settings

WHOLE = ("ready", "stop", "lifetime_over", "idle")


class NodeLifecycleTest(unittest.TestCase):
    @params(
        ((), "starting"),
        (("ready",), "serving"),
        (("ready", "ready"), "serving"),
        (("stop",), "stopped"),
        (("stop", "ready"), "stopped"),
        (("ready", "stop"), "leaving"),
        (("ready", "stop", "stop", "ready", "idle"), "leaving"),
        (("ready", "lifetime_over", "idle"), "serving"),
        (WHOLE[:3], "draining"),
        (("ready", "stop", "lifetime_over", "stop"), "draining"),
        (WHOLE, "stopped"),
        ((*WHOLE, "ready", "stop"), "stopped"),
    )
    def test_state_after(self, happened, expected):
        """Guards against a second stop that cuts requests off and a node that goes back."""
        lifecycle = NodeLifecycle()
        for event in happened:
            lifecycle.handle(event)
        self.assertEqual(lifecycle.state, expected)

    def test_unknown_event(self):
        """Guards against a misspelt event that is silently ignored."""
        with self.assertRaises(ValueError):
            NodeLifecycle().handle("halt")


if __name__ == "__main__":
    unittest.main()


class StopOfNodeTest(unittest.TestCase):
    def states_sent(self, now, event):
        """Hands an event to the node; returns the states that its pings state."""
        effects = self.node.handle(now, event)
        sent = [effect.message for effect in effects if isinstance(effect, Send)]
        return [message.facts.state for message in sent if isinstance(message, Ping)]

    def test_stop_is_told_at_once(self):
        """Guards against address answers that name a stopping node until its next heartbeat."""
        self.node = Node(make_settings(NAMES[0]), "a" * 16, 1, random.Random(1))
        self.node.handle(0.0, HeadRead(make_catalog(1), True, 0.0))
        self.states_sent(0.01, Tick())
        self.assertEqual(self.node.state, "serving")
        self.states_sent(0.2, StopRequested())
        others = len(NAMES) - 1
        self.assertEqual(self.states_sent(0.21, Tick()), ["leaving"] * others)
        self.states_sent(0.22, StopRequested())
        self.assertEqual(self.states_sent(0.23, Tick()), [])
