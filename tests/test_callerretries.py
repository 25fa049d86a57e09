"""Tests of the detection of requests that their callers have tried before."""

import unittest

from nose2.tools import params

from orioleloft_core.callerretries import LONGEST_TIMEOUT_TTL_S, CallerRetryDetector


class CallerRetryTest(unittest.TestCase):
    @params((2.5, False), (2.1, False), (1.9, True), (0.4, True))
    def test_shorter_timeout_is_a_retry(self, timeout, is_caller_retry):
        """Guards against retries that take the slots of new requests.

        Callers state 0.83 to 1.0 of the timeout of their route at the first attempt.
        """
        detector = CallerRetryDetector()
        self.assertFalse(detector.is_caller_retry(0.0, "r", 2.5))
        self.assertEqual(detector.is_caller_retry(1.0, "r", timeout), is_caller_retry)
        self.assertFalse(detector.is_caller_retry(1.0, "other", timeout))

    def test_longest_timeout_expires(self):
        """Guards against one long timeout that permanently marks all later requests as retries."""
        detector = CallerRetryDetector()
        detector.is_caller_retry(0.0, "r", 60.0)
        self.assertTrue(detector.is_caller_retry(1.0, "r", 2.0))
        self.assertFalse(detector.is_caller_retry(LONGEST_TIMEOUT_TTL_S + 1, "r", 2.0))
        self.assertFalse(detector.is_caller_retry(LONGEST_TIMEOUT_TTL_S + 2, "r", 1.8))
