"""Tests of the lifecycle of a node."""

import unittest

from nose2.tools import params

from orioleloft_core.lifecycle import NodeLifecycle

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
