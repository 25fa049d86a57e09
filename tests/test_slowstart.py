"""Tests of the slow start of targets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.slowstart import OWNERS_PER_TARGET, SlowStartLimiter, owner_rate
from tests.support.examples import examples

SITES = ((2.1, 1.5, 5.0), (8.4, 1.5, 5.0))

TARGET = RegisteredTarget("t", "s", "10.0.0.1", 80, "z0", 2, False, 1)


def node_zones(names):
    return {name: f"z{int(name[1:]) % 3}" for name in names}


class SlowStartTest(unittest.TestCase):
    @params(*SITES)
    def test_sum_over_the_fleet(self, cold_per_s, multiplier, slack):
        """Guards against 15 nodes that together overload a cold target with a few requests each."""
        names = {f"n{i}" for i in range(15)}
        nodes = [SlowStartLimiter(name, multiplier, slack) for name in sorted(names)]
        sent = []
        for step in range(400):
            now = step * 0.01
            for node in nodes:
                if node.may_send(now, TARGET, cold_per_s, node_zones(names)):
                    node.on_sent(now, "t")
                    sent.append(now)
        self.assertGreater(len(sent), 0)
        self.assert_bound(sent, cold_per_s * multiplier + slack)

    def assert_bound(self, sent, bound):
        for start in sent:
            self.assertLessEqual(sum(start <= moment <= start + 1 for moment in sent), bound)

    @settings(max_examples=examples(60))
    @given(
        st.lists(st.sampled_from([f"n{i}" for i in range(20)]), min_size=3, unique=True),
        st.sets(st.sampled_from([f"n{i}" for i in range(20)])),
    )
    def test_two_membership_views(self, registered, joined):
        """Guards against two sets of owners that together exceed the limit while nodes join."""
        cold_per_s, multiplier, slack = SITES[0]
        old_view, new_view = set(registered), set(registered) | joined
        sent = []
        nodes = {name: SlowStartLimiter(name, multiplier, slack) for name in new_view}
        views = {
            name: old_view if i % 2 and name in old_view else new_view
            for i, name in enumerate(sorted(new_view))
        }
        for step in range(150):
            now = step * 0.02
            for name, node in nodes.items():
                if node.may_send(now, TARGET, cold_per_s, node_zones(views[name])):
                    node.on_sent(now, "t")
                    sent.append(now)
        self.assert_bound(sent, cold_per_s * multiplier + slack)

    def test_owners_in_a_partition(self):
        """Guards against nodes that become owners because a partition hides the other nodes."""
        names = {f"n{i}" for i in range(15)}
        owners = [
            n for n in names if SlowStartLimiter(n, 1.5, 5.0).is_owner(TARGET, node_zones(names))
        ]
        self.assertEqual(len(owners), OWNERS_PER_TARGET)

    def test_request_that_is_not_sent(self):
        """Guards against a limit that is used up by requests which were never sent."""
        node = SlowStartLimiter("n0", 1.5, 5.0)
        for _ in range(20):
            self.assertTrue(node.may_send(0.0, TARGET, 2.1, {"n0": "z0"}))
            node.on_sent(0.0, "t")
            node.on_not_sent("t")

    @params((2.1, 1.5, 5.0, 2), (8.4, 1.5, 5.0, 4), (0.0, 1.0, 0.0, 0))
    def test_owner_rate(self, cold_per_s, multiplier, slack, rate):
        """Guards against owners that together exceed the operators' limit."""
        self.assertEqual(owner_rate(cold_per_s, multiplier, slack), rate)
