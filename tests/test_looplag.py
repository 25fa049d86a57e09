"""Tests of overload detection by event-loop lag."""

import unittest

from nose2.tools import params

from orioleloft_core.looplag import MIN_BUSY_TIME_S, LoopLagMonitor


class LoopLagTest(unittest.TestCase):
    @params((0.001, 40, False), (0.1, 1, False), (0.1, 8, True))
    def test_sustained_lag_makes_busy(self, lag, count, is_busy):
        """Guards against a node that is busy after one late timer, or never."""
        monitor = LoopLagMonitor()
        for index in range(count):
            monitor.observe(index / 4, lag)
        self.assertEqual(monitor.is_busy, is_busy)

    def test_minimum_busy_time(self):
        """Guards against a busy state that flaps, so that callers change nodes with each answer."""
        monitor = LoopLagMonitor()
        moment = 0.0
        while not monitor.observe(moment, 0.1):
            moment += 0.25
        busy_since = moment
        while monitor.observe(moment, 0.0):
            moment += 0.25
        self.assertGreaterEqual(moment - busy_since, MIN_BUSY_TIME_S)
        self.assertLess(moment - busy_since, 2 * MIN_BUSY_TIME_S)
