"""Tests of the decision after an attempt."""

import unittest

from nose2.tools import params

from orioleloft_core.attempts import Attempt, AttemptEnd, Fail, Relay, TryNext, decide
from orioleloft_core.errors import KINDS, Code, Outcome

BROKEN, SHED = Fail(Code.TARGET_BROKE_OFF), Fail(Code.TARGET_SHED)
UNREACHABLE, TIMED_OUT = Fail(Code.TARGET_UNREACHABLE), Fail(Code.DEADLINE_AFTER_START)


class AttemptsTest(unittest.TestCase):
    @params(
        (Attempt(AttemptEnd.ANSWERED, 200), Relay(), Relay()),
        (Attempt(AttemptEnd.ANSWERED, 404), Relay(), Relay()),
        (Attempt(AttemptEnd.ANSWERED, 500), TryNext(Relay()), Relay()),
        (Attempt(AttemptEnd.ANSWERED, 504), TryNext(Relay()), Relay()),
        (Attempt(AttemptEnd.ANSWERED, 503), TryNext(BROKEN), BROKEN),
        (Attempt(AttemptEnd.ANSWERED, 429), TryNext(BROKEN), BROKEN),
        (Attempt(AttemptEnd.ANSWERED, 408), TryNext(BROKEN), BROKEN),
        (Attempt(AttemptEnd.REFUSED, 503), TryNext(SHED), TryNext(SHED)),
        (Attempt(AttemptEnd.REFUSED, 421), TryNext(SHED), TryNext(SHED)),
        (Attempt(AttemptEnd.NOT_SENT), TryNext(UNREACHABLE), TryNext(UNREACHABLE)),
        (Attempt(AttemptEnd.BROKEN), TryNext(BROKEN), BROKEN),
    )
    def test_decision(self, attempt, if_idempotent, if_not_idempotent):
        """Guards against payments that run twice, and against safe retries that are not made."""
        self.assertEqual(decide(attempt, True), if_idempotent)
        self.assertEqual(decide(attempt, False), if_not_idempotent)

    @params(BROKEN, TIMED_OUT)
    def test_status_of_unknown_outcome(self, failure):
        """Guards against a status from which the caller concludes that its request was not run."""
        kind = KINDS[failure.code]
        self.assertEqual(kind.outcome, Outcome.UNKNOWN)
        self.assertNotIn(kind.status, (408, 421, 429, 503))

    @params(SHED, UNREACHABLE, Fail(Code.NO_CAPACITY), Fail(Code.NODE_STARTING))
    def test_status_of_requests_not_run(self, failure):
        """Guards against rejected payments that their callers do not retry."""
        kind = KINDS[failure.code]
        self.assertEqual((kind.status, kind.outcome), (503, Outcome.NOT_RUN))
