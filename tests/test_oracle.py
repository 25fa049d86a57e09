"""Tests of the oracle of the soak: it reports each violated invariant and nothing else."""

import dataclasses
import json
import unittest

from nose2.tools import params

from standins.callers import CallerAttempt, RequestKind
from standins.oracle import find_rate_limit_violation, find_violations
from standins.target import Run

LOOKUP = RequestKind("look-up", "a", "GET", "/", 0, True)
HOLD = RequestKind("hold", "a", "POST", "/", 1, False)
RESPONSE_BODY = json.dumps({"id": "r1", "path": "/x", "target": "t0"}).encode()
RUN = Run("r1", "POST", "/x", "t0", "b", 1.0)
SERVED = CallerAttempt("r1", HOLD, "/x", "b", "n0", 200, RESPONSE_BODY, "r1", 0.0, 2.0)


def make_attempt(**changes):
    return dataclasses.replace(SERVED, **changes)


def make_run(**changes):
    return dataclasses.replace(RUN, **changes)


class OracleTest(unittest.TestCase):
    @params(
        ("served", SERVED, [RUN], 0),
        ("look-up at two targets", make_attempt(kind=LOOKUP), [make_run(method="GET")] * 2, 0),
        ("refused", make_attempt(status=503, response_body=b""), [], 0),
        ("unknown whether it ran", make_attempt(status=502, response_body=b""), [RUN], 0),
        ("no response", make_attempt(status=0, response_body=b"", response_id=""), [RUN], 0),
        ("hold ran twice", SERVED, [RUN, make_run(target="t1")], 1),
        ("look-up at three targets", make_attempt(kind=LOOKUP), [make_run(method="GET")] * 3, 1),
        ("refused, but ran", make_attempt(status=503, response_body=b""), [RUN], 1),
        (
            "timed out as not executed, but ran",
            make_attempt(status=408, response_body=b""),
            [RUN],
            1,
        ),
        ("response to another request", make_attempt(response_id="r2"), [RUN], 1),
        (
            "body of another response",
            make_attempt(response_body=RESPONSE_BODY.replace(b"r1", b"r2")),
            [RUN],
            1,
        ),
        ("truncated body", make_attempt(response_body=RESPONSE_BODY[:-4]), [RUN], 1),
        ("success without a run", SERVED, [], 1),
        ("changed body", SERVED, [make_run(body="c")], 1),
        ("changed path", SERVED, [make_run(path="/y")], 1),
        ("unknown id", SERVED, [RUN, make_run(request_id="r9")], 1),
    )
    def test_violations(self, name, caller_attempt, runs, violation_count):
        """Guards against an oracle that misses violations, so that the soak passes regardless."""
        self.assertEqual(len(find_violations([caller_attempt], runs)), violation_count, name)

    @params(
        ([10.0 + 0.1 * i for i in range(11)], 0),
        ([10.0 + 0.1 * i for i in range(12)], 1),
        ([5.0 + 0.1 * i for i in range(30)], 0),
        ([10.0 + 1.0 * i for i in range(30)], 0),
    )
    def test_rate_limit_violations(self, arrived_at, violation_count):
        """Guards against an oracle that misses a target with more requests than its limit."""
        messages = find_rate_limit_violation("t", arrived_at, limit=1.0, since=9.0)
        self.assertEqual(len(messages), violation_count)
