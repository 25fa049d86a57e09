"""Tests of the graceful shutdown."""

import unittest

from nose2.tools import params

from orioleloft_core.statechart import StateChart
from orioleloft_core.stopping import GracefulShutdown


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
    def test_phases(self, elapsed, open_requests, refuses_requests, is_finished):
        """Guards against wrong phases of a shutdown.

        Requests accepted too late are cut off by the kill. A node that exits too early refuses
        connections of callers that still have its address.
        """
        stopping = GracefulShutdown(6.0)
        self.assertTrue(stopping.begin(100.0))
        self.assertEqual(stopping.refuses_requests(100.0 + elapsed), refuses_requests)
        self.assertEqual(stopping.is_finished(100.0 + elapsed, open_requests), is_finished)

    def test_second_signal_is_ignored(self):
        """Guards against a second SIGTERM that restarts the grace period."""
        stopping = GracefulShutdown(6.0)
        stopping.begin(0.0)
        self.assertFalse(stopping.begin(3.0))
        self.assertTrue(stopping.refuses_requests(3.1))

    def test_chart_transitions(self):
        """Guards against transitions in the chart file that differ from the events of the code."""
        chart = StateChart("stopping")
        self.assertFalse(chart.handle("drain_ended"))
        self.assertTrue(chart.handle("stop"))
        self.assertEqual(chart.state, "lame_duck")
