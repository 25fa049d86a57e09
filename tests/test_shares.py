"""Tests of the share of dispatches."""

import unittest

from nose2.tools import params

from orioleloft_core.catalog import Target
from orioleloft_core.shares import DispatchShares

TARGETS = tuple(Target("ledger", name, "127.0.0.1", 1, "gt-a") for name in ("l-01", "l-02"))


class DispatchSharesTest(unittest.TestCase):
    @params((0.0, [0.75, 0.25]), (9.0, [0.75, 0.25]), (11.0, [0.0, 0.0]))
    def test_of(self, now, expected):
        """Guards against old dispatches that still count, and shares that are not of the whole."""
        shares = DispatchShares()
        for target_id in ("ledger/l-01", "ledger/l-01", "ledger/l-01", "ledger/l-02"):
            shares.count(0.0, target_id)
        self.assertEqual(shares.of(now, TARGETS), expected)


if __name__ == "__main__":
    unittest.main()
