"""Tests of the graceful shutdown."""

import unittest

from nose2.tools import params

from orioleloft_core.statechart import StateChart
from orioleloft_core.stopping import GracefulShutdown


class StoppingTest(unittest.TestCase):
    @params(
        (0.0, 1, False, False),
        (4.7, 0, False, False),
        (4.85, 1, True, False),
        (5.0, 0, True, False),
        (5.15, 1, True, False),
        (5.15, 0, True, True),
        (5.6, 1, True, True),
    )
    def test_phases(self, elapsed, open_requests, is_draining, is_finished):
        """Guards against wrong phases of a shutdown.

        A node that exits too early refuses connections of callers that still have its address,
        and one that exits too late is killed with requests in flight.
        """
        stopping = GracefulShutdown(6.0)
        self.assertTrue(stopping.begin(100.0))
        self.assertEqual(stopping.is_draining(100.0 + elapsed), is_draining)
        self.assertEqual(stopping.is_finished(100.0 + elapsed, open_requests), is_finished)

    @params(
        (3.0, 0.0, 2.0, True),
        (3.0, 0.6, 2.0, True),
        (3.0, 0.99, 2.0, False),
        (3.0, 1.43, 2.0, False),
        (3.0, 1.43, 1.0, True),
        (6.0, 2.9, 8.0, False),
        (6.0, 0.1, 8.0, False),
        (6.0, 2.3, 3.0, True),
        (6.0, 2.5, 3.0, False),
        (6.0, 4.9, 0.0, False),
    )
    def test_requests_that_may_outlast_the_node(self, grace_period, elapsed, seconds, accepts):
        """Guards against a request that is taken late in the grace period and cut at its end."""
        stopping = GracefulShutdown(grace_period)
        self.assertTrue(stopping.accepts(0.0, 60.0))
        stopping.begin(100.0)
        self.assertEqual(stopping.accepts(100.0 + elapsed, seconds), accepts)

    def test_second_signal_is_ignored(self):
        """Guards against a second SIGTERM that restarts the grace period."""
        stopping = GracefulShutdown(6.0)
        stopping.begin(0.0)
        self.assertFalse(stopping.begin(3.0))
        self.assertTrue(stopping.is_draining(4.9))

    def test_chart_transitions(self):
        """Guards against transitions in the chart file that differ from the events of the code."""
        chart = StateChart("stopping")
        self.assertFalse(chart.handle("drain_ended"))
        self.assertTrue(chart.handle("stop"))
        self.assertEqual(chart.state, "lame_duck")
