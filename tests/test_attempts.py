"""Tests of what follows from the end of an attempt."""

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
    def test_decision(self, attempt, idempotent, non_idempotent):
        """Guards against a second run of a payment, and against retries that are not made."""
        self.assertEqual(decide(attempt, True), idempotent)
        self.assertEqual(decide(attempt, False), non_idempotent)

    @params(BROKEN, TIMED_OUT)
    def test_unknown_outcome_promises_nothing(self, failure):
        """Guards against a status that tells the caller that a request was not run."""
        kind = KINDS[failure.code]
        self.assertEqual(kind.outcome, Outcome.UNKNOWN)
        self.assertNotIn(kind.status, (408, 421, 429, 503))

    @params(SHED, UNREACHABLE, Fail(Code.NO_CAPACITY), Fail(Code.NODE_STARTING))
    def test_not_run_can_be_sent_again(self, failure):
        """Guards against refused payments that their callers do not send again."""
        kind = KINDS[failure.code]
        self.assertEqual((kind.status, kind.outcome), (503, Outcome.NOT_RUN))
