"""Tests of requests that wait for a free slot."""

import unittest

from nose2.tools import params

from orioleloft_core.waitline import MIN_LENGTH, WaitLine


class WaitLineTest(unittest.TestCase):
    def test_urgent_first_then_by_arrival(self):
        """Guards against payments that wait behind look-ups of the same service."""
        line = WaitLine()
        for moment in range(10):
            line.on_served(moment / 10)
        names = [(2, "x"), (1, "y"), (2, "z"), (1, "v")]
        for priority, name in names:
            self.assertIsNotNone(line.join(1.0, priority, 5.0, name))
        order = []
        while line.head:
            order.append(line.head.handle)
            line.leave(line.head)
        self.assertEqual(order, ["y", "v", "x", "z"])

    @params((0, 0.5, MIN_LENGTH), (20, 0.5, 10), (20, 0.1, MIN_LENGTH), (40, 0.2, 8))
    def test_refused_at_once_if_too_late(self, served, wait, length):
        """Guards against requests held until their time is over: a burst above capacity."""
        line = WaitLine()
        for index in range(served):
            line.on_served(10.0 - index / (served + 1))
        joined = sum(line.join(10.0, 2, 10.0 + wait, None) is not None for _ in range(100))
        self.assertEqual(joined, length)

    def test_urgent_request_passes_a_full_line(self):
        """Guards against an urgent kind of request that is starved by a long line of others."""
        line = WaitLine()
        while line.join(0.0, 2, 0.5, None):
            pass
        self.assertTrue(line.is_blocked(2))
        self.assertFalse(line.is_blocked(1))
        self.assertIsNotNone(line.join(0.0, 1, 0.5, "urgent"))
        self.assertEqual(line.head.handle, "urgent")

    def test_rejoin_keeps_the_place(self):
        """Guards against a request that loses its turn by a hand-over it could not use."""
        line = WaitLine()
        first = line.join(0.0, 2, 1.0, "first")
        line.join(0.0, 2, 1.0, "second")
        line.leave(first)
        line.rejoin(first)
        self.assertEqual(line.head.handle, "first")
