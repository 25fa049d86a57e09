"""Tests of the baseline without messages."""

import collections
import random
import unittest

from nose2.tools import params

from orioleloft_core.viewrouting import ViewRouting
from tests.support import requester

NONE = frozenset()


class ViewRoutingTest(unittest.TestCase):
    def setUp(self):
        self.views = ViewRouting(random.Random(1))

    @params(
        ({}, 4),
        ({"closed": ("gt-a",)}, 2),
        ({"draining": ("t-00", "t-01", "t-02")}, 1),
        ({"closed": ("gt-a", "gt-b")}, 0),
    )
    def test_open_targets(self, changes, count):
        """Guards against work for a closed zone, and against a baseline that leaves targets out."""
        catalog = requester.catalog(**changes)
        chosen = {self.views.choose(catalog, "ledger", NONE) for _ in range(100)} - {None}
        self.assertEqual(len(chosen), count)
        self.assertTrue(all(catalog.accepts_new_work(target_id) for target_id in chosen))

    def test_less_used_of_two(self):
        """Guards against a baseline that is worse than two choices."""
        catalog = requester.catalog(targets=2)
        self.views.start("ledger/t-00")
        chosen = {self.views.choose(catalog, "ledger", NONE) for _ in range(50)}
        self.assertEqual(chosen, {"ledger/t-01"})
        self.views.end("ledger/t-00")
        chosen = collections.Counter(self.views.choose(catalog, "ledger", NONE) for _ in range(50))
        self.assertEqual(len(chosen), 2)

    def test_excluded(self):
        """Guards against a retry at the same target."""
        excluded = frozenset({"ledger/t-00"})
        chosen = self.views.choose(requester.catalog(targets=2), "ledger", excluded)
        self.assertEqual(chosen, "ledger/t-01")
