"""Tests of a planned stop."""

import unittest

from nose2.tools import params

from orioleloft_core.statechart import StateChart
from orioleloft_core.stopping import Stopping


class StoppingTest(unittest.TestCase):
    @params(
        (0.0, 1, False, False),
        (2.9, 1, False, False),
        (3.0, 1, True, False),
        (4.0, 0, True, False),
        (4.9, 1, True, False),
        (4.9, 0, True, True),
        (5.6, 1, True, True),
    )
    def test_course(self, elapsed, open_requests, refuses, is_over):
        """Guards against requests cut off by the kill, and against an end that comes too early."""
        stopping = Stopping(6.0)
        self.assertTrue(stopping.begin(100.0))
        self.assertEqual(stopping.refuses(100.0 + elapsed), refuses)
        self.assertEqual(stopping.is_over(100.0 + elapsed, open_requests), is_over)

    def test_second_signal_changes_nothing(self):
        """Guards against a second SIGTERM that starts the grace period anew."""
        stopping = Stopping(6.0)
        stopping.begin(0.0)
        self.assertFalse(stopping.begin(3.0))
        self.assertTrue(stopping.refuses(3.1))

    def test_chart_file(self):
        """Guards against a chart with events that lead nowhere."""
        chart = StateChart("stopping")
        self.assertFalse(chart.handle("over"))
        self.assertTrue(chart.handle("stop"))
        self.assertEqual(chart.state, "leaving")
