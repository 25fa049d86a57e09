"""Tests of the rate limits that targets state, over all nodes of a fleet and without sockets."""

import asyncio
import unittest

from nose2.tools import params

from tests.support.memorytargets import Arrival, MemoryFleet
from tests.support.virtualtime import run_in_virtual_time

# The users' bound: requests of the nodes that were told half a second before, in any 4 s.
WINDOW_S = 4.0
MULTIPLIER = 1.5
SLACK = 5.0
TOLD_BEFORE_S = 0.5


def greatest_window(arrivals: list[Arrival]) -> int:
    """Returns the most arrivals from told nodes in any window."""
    times = [
        arrival.at
        for arrival in arrivals
        if arrival.told_at is not None and arrival.at - arrival.told_at >= TOLD_BEFORE_S
    ]
    return max((sum(start <= at <= start + WINDOW_S for at in times) for start in times), default=0)


def allowed(limit: float) -> float:
    return limit * WINDOW_S * MULTIPLIER + SLACK


class StatedRateLimitTest(unittest.TestCase):
    @params((1.0, 14, 2), (1.6, 14, 2), (0.2, 6, 1), (4.0, 6, 6))
    def test_requests_of_all_nodes_stay_within_a_stated_limit(self, limit, targets, limited):
        """Guards against nodes that go on sending to a target that has stated a limit."""
        run_in_virtual_time(self.assert_bound_holds(limit, targets, limited))

    async def assert_bound_holds(self, limit, target_count, limited_count):
        fleet = MemoryFleet(15, target_count, seed=5)
        with fleet.running():
            await fleet.send_requests(3.0, per_s=90.0)
            limited = fleet.targets[:limited_count]
            for target in limited:
                target.limit = str(limit)
            await fleet.send_requests(12.0, per_s=90.0)
            await asyncio.sleep(5.0)
        for target in limited:
            self.assertGreater(len(target.told_at), 0)
            self.assertLessEqual(greatest_window(target.arrivals), allowed(limit))
