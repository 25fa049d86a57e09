"""Tests of the decision after an attempt."""

import unittest

from nose2.tools import params

from orioleloft_core.attempts import AttemptEnd, AttemptResult, Fail, Retry, ReturnResponse, decide
from orioleloft_core.errors import ERROR_RESPONSES, ErrorCode, ExecutionOutcome

BROKEN, SHED = Fail(ErrorCode.TARGET_BROKE_OFF), Fail(ErrorCode.TARGET_SHED)
UNREACHABLE, TIMED_OUT = Fail(ErrorCode.TARGET_UNREACHABLE), Fail(ErrorCode.DEADLINE_AFTER_START)


class AttemptsTest(unittest.TestCase):
    @params(
        (AttemptResult(AttemptEnd.ANSWERED, 200), ReturnResponse(), ReturnResponse()),
        (AttemptResult(AttemptEnd.ANSWERED, 404), ReturnResponse(), ReturnResponse()),
        (AttemptResult(AttemptEnd.ANSWERED, 500), Retry(ReturnResponse()), ReturnResponse()),
        (AttemptResult(AttemptEnd.ANSWERED, 504), Retry(ReturnResponse()), ReturnResponse()),
        (AttemptResult(AttemptEnd.ANSWERED, 503), Retry(BROKEN), BROKEN),
        (AttemptResult(AttemptEnd.ANSWERED, 429), Retry(BROKEN), BROKEN),
        (AttemptResult(AttemptEnd.ANSWERED, 408), Retry(BROKEN), BROKEN),
        (AttemptResult(AttemptEnd.REFUSED, 503), Retry(SHED), Retry(SHED)),
        (AttemptResult(AttemptEnd.REFUSED, 421), Retry(SHED), Retry(SHED)),
        (AttemptResult(AttemptEnd.NOT_SENT), Retry(UNREACHABLE), Retry(UNREACHABLE)),
        (AttemptResult(AttemptEnd.BROKEN), Retry(BROKEN), BROKEN),
    )
    def test_decision(self, attempt, if_idempotent, if_not_idempotent):
        """Guards against payments that run twice, and against safe retries that are not made."""
        self.assertEqual(decide(attempt, True), if_idempotent)
        self.assertEqual(decide(attempt, False), if_not_idempotent)

    @params(BROKEN, TIMED_OUT)
    def test_status_of_unknown_outcome(self, failure):
        """Guards against a status from which the caller concludes that its request was not run."""
        kind = ERROR_RESPONSES[failure.code]
        self.assertEqual(kind.outcome, ExecutionOutcome.UNKNOWN)
        self.assertNotIn(kind.status, (408, 421, 429, 503))

    @params(SHED, UNREACHABLE, Fail(ErrorCode.NO_CAPACITY), Fail(ErrorCode.NODE_STARTING))
    def test_status_of_requests_not_run(self, failure):
        """Guards against rejected payments that their callers do not retry."""
        kind = ERROR_RESPONSES[failure.code]
        self.assertEqual((kind.status, kind.outcome), (503, ExecutionOutcome.NOT_RUN))
