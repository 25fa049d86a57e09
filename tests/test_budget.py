"""Tests of token buckets and exponential backoff."""

import random
import unittest

from nose2.tools import params

from orioleloft_core.budget import Backoff, TokenBucket


class BudgetTest(unittest.TestCase):
    @params((0.0, 10), (1.0, 12), (4.0, 18), (1000.0, 20))
    def test_rate_and_burst(self, idle, taken):
        """Guards against more calls than the rate and the burst size allow."""
        bucket = TokenBucket(lambda: 2, lambda: 10)
        count = sum(bucket.take(0.0) for _ in range(50))
        count += sum(bucket.take(idle) for _ in range(50))
        self.assertEqual(count, taken)

    def test_growing_burst(self):
        """Guards against a node without probe budget because it knew no targets when it started."""
        targets = 0
        bucket = TokenBucket(lambda: targets * 2, lambda: targets * 16)
        self.assertFalse(bucket.take(0.0))
        targets = 1
        self.assertEqual(sum(bucket.take(4.0) for _ in range(50)), 8)
        self.assertEqual(sum(bucket.take(100.0) for _ in range(50)), 16)

    def test_clock_steps_back(self):
        """Guards against tokens that are added twice for the same time."""
        bucket = TokenBucket(lambda: 1, lambda: 1)
        self.assertEqual([bucket.take(now) for now in (5, 0, 5, 6, 6)], [1, 0, 0, 1, 0])

    def test_backoff_bounds(self):
        """Guards against delays that do not grow with failures, or exceed the cap."""
        backoff = Backoff(0.2, 10.0, random.Random(1))
        for bound in (0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 10.0, 10.0):
            self.assertTrue(bound / 2 <= backoff.next_delay() <= bound)
        backoff.reset()
        self.assertLessEqual(backoff.next_delay(), 0.2)


if __name__ == "__main__":
    unittest.main()
