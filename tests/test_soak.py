"""A short soak of the real programs; `python -m standins.soak --seeds 50` runs many more."""

import asyncio
import pathlib
import tempfile
import unittest

from nose2.tools import params

from standins.soak import HANG_TIMEOUT_S, run_soak

# Duration of the fault injection, in seconds; start, recovery and stop take some 15 s more.
FAULT_INJECTION_S = 6.0
NODES = 4
CALLERS = 8


class SoakTest(unittest.TestCase):
    @params((1,))
    def test_invariants(self, seed):
        """Guards against an invariant that is violated only when faults overlap.

        The checks compare the records of callers and targets and do not depend on timing.
        """
        with tempfile.TemporaryDirectory() as name:
            faults, violations, attempts = asyncio.run(
                run_soak(
                    pathlib.Path(name), seed, FAULT_INJECTION_S, NODES, CALLERS, HANG_TIMEOUT_S
                )
            )
        self.assertEqual(violations, [])
        self.assertGreater(len(faults), 0)
        self.assertIn(200, {attempt.status for attempt in attempts})
