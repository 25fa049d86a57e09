"""Tests of the detection of requests that their callers have tried before."""

import unittest

from nose2.tools import params

from orioleloft_core.returning import LONGEST_TIMEOUT_TTL_S, PatienceWatch


class CallerRetryTest(unittest.TestCase):
    @params((2.5, False), (2.1, False), (1.9, True), (0.4, True))
    def test_shorter_timeout_is_a_retry(self, timeout, is_returning):
        """Guards against retries that take the slots of new requests.

        Callers state 0.83 to 1.0 of the timeout of their route at the first attempt.
        """
        detector = PatienceWatch()
        self.assertFalse(detector.is_returning(0.0, "r", 2.5))
        self.assertEqual(detector.is_returning(1.0, "r", timeout), is_returning)
        self.assertFalse(detector.is_returning(1.0, "other", timeout))

    def test_longest_timeout_expires(self):
        """Guards against one long timeout that permanently marks all later requests as retries."""
        detector = PatienceWatch()
        detector.is_returning(0.0, "r", 60.0)
        self.assertTrue(detector.is_returning(1.0, "r", 2.0))
        self.assertFalse(detector.is_returning(LONGEST_TIMEOUT_TTL_S + 1, "r", 2.0))
        self.assertFalse(detector.is_returning(LONGEST_TIMEOUT_TTL_S + 2, "r", 1.8))
