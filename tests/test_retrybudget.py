"""Tests of the retry budget of the fleet."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from orioleloft_core.retrybudget import RetryBudget
from tests.support.examples import examples


def spend(nodes, requests_per_s, seconds, extra=58, ratio=0.2, window=10.0):
    """Uses the whole budget of every node; returns the times of requests and extra dispatches."""
    budgets = [
        RetryBudget(ratio, extra, window, lambda: max(18, round(nodes * 1.2))) for _ in range(nodes)
    ]
    requests, extras = [], []
    steps = int(seconds * 20)
    due = 0.0
    for step in range(steps):
        now = step / 20
        due += requests_per_s / 20
        while due >= 1:
            due -= 1
            budgets[len(requests) % nodes].deposit(now, "s")
            requests.append(now)
        for budget in budgets:
            while budget.take(now, "s"):
                extras.append(now)
    return requests, extras


class RetryBudgetTest(unittest.TestCase):
    @params(
        (18, 0.0, 58),
        (18, 5.0, 58),
        (18, 40.0, 58),
        (15, 200.0, 58),
        (1, 20.0, 58),
        (94, 30.0, 156),
        (142, 0.0, 218),
        (142, 30.0, 218),
    )
    def test_sum_over_the_fleet(self, nodes, requests_per_s, extra):
        """Guards against nodes that each keep to the budget while their sum exceeds it."""
        requests, extras = spend(nodes, requests_per_s, 30, extra)
        for start in extras:
            spent = sum(start <= moment <= start + 10 for moment in extras)
            window_requests = max(
                sum(begin <= moment <= begin + 10 for moment in requests)
                for begin in (start, start - 10, start - 5)
            )
            self.assertLessEqual(spent, 0.2 * window_requests + extra)

    @settings(max_examples=examples(30))
    @given(st.integers(1, 18), st.floats(0, 60))
    def test_sum_in_a_partition(self, nodes, requests_per_s):
        """Guards against shares that grow when a network partition cuts off part of the fleet."""
        requests, extras = spend(nodes, requests_per_s, 12)
        self.assertLessEqual(len(extras), 0.2 * len(requests) + 58 * 1.2)

    def test_share_shrinks_after_start(self):
        """Guards against 142 restarted nodes that each use the share of a much smaller fleet.

        After a power failure, each node knows few others until they have pinged each other.
        """
        known = 18
        budget = RetryBudget(0.2, 218, 10.0, lambda: known)
        budget.deposit(0.0, "s")
        known = 171
        spent = 0
        while budget.take(1.0, "s"):
            spent += 1
        self.assertLessEqual(spent, 2)

    def test_reserve_is_left_for_retries(self):
        """Guards against hedged requests that use up the budget for retries of failed requests."""
        budget = RetryBudget(0.2, 58, 10.0, lambda: 18)
        for _ in range(50):
            budget.deposit(0.0, "s")
        hedges = 0
        while budget.take(0.0, "s", reserve=1.0):
            hedges += 1
        self.assertGreater(hedges, 0)
        self.assertTrue(budget.take(0.0, "s"))
        self.assertFalse(budget.take(0.0, "s"))
