"""Tests of the blocking of requests that crash targets."""

import unittest

from orioleloft_core.crashes import COUNT_TTL_S, CRASH_LIMIT, CrashTracker


class CrashesTest(unittest.TestCase):
    def test_limit_over_the_fleet(self):
        """Guards against a request that crashes one target through each node."""
        nodes = [CrashTracker() for _ in range(15)]
        runs = 0
        for node in nodes * 2:
            if node.is_blocked(0.0, "f"):
                continue
            runs += 1
            count = node.record(0.0, "f")
            for other in nodes:
                if other is not node:
                    other.merge(0.0, "f", count)
        self.assertEqual(runs, CRASH_LIMIT)

    def test_count_expires(self):
        """Guards against a request that stays blocked after the fault in the target was fixed."""
        crashes = CrashTracker()
        for _ in range(CRASH_LIMIT):
            crashes.record(0.0, "f")
        self.assertTrue(crashes.is_blocked(COUNT_TTL_S - 1, "f"))
        self.assertFalse(crashes.is_blocked(COUNT_TTL_S + 1, "f"))
