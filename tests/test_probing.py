"""Tests of the choice of targets to probe."""

import unittest

from nose2.tools import params

from orioleloft_core.probing import PROBE_BURST, Prober
from tests.support import group


class ProberTest(unittest.TestCase):
    @params((None, 1), (7.9, 1), (8.1, 0), (10.0, 0))
    def test_only_quiet_targets(self, heard_at, count):
        """Guards against probes of targets whose load is known from answers."""
        prober = Prober(group.settings())
        self.assertEqual(len(prober.due(10.0, [("ledger/t0", heard_at)])), count)

    def test_budget(self):
        """Guards against more than one probe a second for a target, and against a burst."""
        prober = Prober(group.settings())
        counts = dict.fromkeys((f"t{i}" for i in range(20)), 0)
        for step in range(1000):
            prober.forget(step / 100)
            probes = prober.due(step / 100, [(name, None) for name in counts])
            self.assertLessEqual(len(probes), PROBE_BURST)
            for probe in probes:
                counts[probe.target_id] += 1
        self.assertEqual(set(counts.values()), {10})


if __name__ == "__main__":
    unittest.main()
