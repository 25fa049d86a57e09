"""Tests of the times at which refused callers return, and of targets that refuse."""

import random
import unittest

from nose2.tools import params

from orioleloft_core.callerretries import MAX_RETRY_TIMEOUT_FRACTION
from orioleloft_core.refusalreturns import (
    MAX_RETRY_AFTER_S,
    MIN_LATE_RETURN_FRACTION,
    MIN_RETRY_AFTER_S,
    RATE_WINDOW_S,
    RefusalReturns,
)
from orioleloft_core.selection import OUTLIER_FAILURE_SCORE
from orioleloft_core.targetrefusals import (
    MAX_REFUSING_TARGETS,
    REFUSAL_TTL_S,
    REFUSAL_WEIGHT,
    TargetRefusals,
)

WEIGHT = REFUSAL_WEIGHT


def returns_with_rates(ended_per_s, new_per_s):
    returns = RefusalReturns(random.Random(1))
    for index in range(round(ended_per_s * RATE_WINDOW_S)):
        returns.on_ended(10.0 - index / ended_per_s)
    for index in range(round(new_per_s * RATE_WINDOW_S)):
        returns.on_asked(10.0 - index / new_per_s, is_caller_retry=False)
    return returns


class RefusalReturnsTest(unittest.TestCase):
    @params((20, 10, 20, 9.0, 2.0, 4.5), (20, 18, 5, 9.0, 2.0, 4.5), (20, 60, 5, 9.0, 2.0, 4.5))
    def test_spread(self, ended, new, count, time_left, earliest, latest):
        """Guards against callers that return together, or when there is no room for them."""
        returns = returns_with_rates(ended, new)
        times = [returns.retry_after(10.0, 2.0, time_left) for _ in range(count)]
        self.assertGreaterEqual(min(times), earliest)
        self.assertLessEqual(max(times), min(MAX_RETRY_AFTER_S, latest))
        self.assertGreater(max(times) - min(times), 0.5)
        self.assertEqual(len(set(times)), count)

    @params((0, 0, 3.0), (20, 10, 3.0), (20, 50, 0.1), (20, 50, -1.0), (5, 500, 1e6))
    def test_bounds(self, ended, new, time_left):
        """Guards against a return after the caller gives up, at once, or in minutes."""
        returns = returns_with_rates(ended, new)
        for _ in range(300):
            seconds = returns.retry_after(10.0, 0.3, time_left)
            self.assertGreaterEqual(seconds, MIN_RETRY_AFTER_S)
            self.assertLessEqual(seconds, max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, time_left)))

    @params(0.25, 0.3, 0.4, 0.5)
    def test_spread_of_short_times(self, time_left):
        """Guards against callers with short timeouts that all return at the same instant."""
        returns = returns_with_rates(20, 10)
        times = [returns.retry_after(10.0, 0.3, time_left) for _ in range(100)]
        self.assertGreater(len(set(times)), 90)
        self.assertGreater(max(times) - min(times), 0.4 * min(0.1, time_left - MIN_RETRY_AFTER_S))
        self.assertLessEqual(max(times), time_left)

    def test_return_is_recognised(self):
        """Guards against returning callers that count as new ones and displace these."""
        self.assertLess(1 - MIN_LATE_RETURN_FRACTION, MAX_RETRY_TIMEOUT_FRACTION)


class TargetRefusalsTest(unittest.TestCase):
    @params(
        ("full targets", [(0.0, "t", False)] * 5, [0] * 5),
        ("two races", [(0.0, "t", True)] * 2, [0, 0]),
        ("again and again", [(0.0, "t", True), (1.0, "t", True)] * 2, [0, 0, WEIGHT, WEIGHT]),
        ("long after", [(0.0, "t", True)] * 2 + [(REFUSAL_TTL_S, "t", True)], [0, 0, 0]),
        (
            "half of the targets",
            [(0.0, f"t{n}", True) for n in range(5) for _ in range(3)],
            [0, 0, WEIGHT] * 5,
        ),
        (
            "more than half of the targets",
            [(0.0, f"t{n}", True) for n in range(6) for _ in range(3)],
            [0, 0, WEIGHT] * 5 + [0, 0, 0],
        ),
    )
    def test_weights(self, case, refusals, expected):
        """Guards against full targets that count as failed, and refusing ones that never do.

        Guards as well against a service whose targets all refuse some requests: counted as failed,
        they left most of their slots unused.
        """
        seen = TargetRefusals()
        weights = [seen.on_refusal(at, "s", name, free, 10) for at, name, free in refusals]
        self.assertEqual(weights, expected, case)
        self.assertGreaterEqual(WEIGHT, OUTLIER_FAILURE_SCORE)

    def test_success_clears(self):
        """Guards against refusals that count although the target runs requests between them."""
        seen = TargetRefusals()
        for moment in range(5):
            for _ in range(2):
                self.assertEqual(seen.on_refusal(moment, "s", "t", True, 10), 0)
            seen.on_success("s", "t")

    def test_bounded(self):
        """Guards against memory that grows with the targets that ever refused."""
        seen = TargetRefusals()
        for number in range(2 * MAX_REFUSING_TARGETS):
            seen.on_refusal(0.0, "s", f"t{number}", True, 10)
        self.assertLessEqual(len(seen._refused), MAX_REFUSING_TARGETS)
