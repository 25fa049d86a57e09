"""Tests of the oracle of the soak: each broken promise is found, and nothing else."""

import dataclasses
import json
import unittest

from nose2.tools import params

from standins.callers import CallerAttempt, RequestKind
from standins.oracle import violations
from standins.target import Run

LOOKUP = RequestKind("look-up", "a", "GET", "/", 0, True)
HOLD = RequestKind("hold", "a", "POST", "/", 1, False)
ANSWER = json.dumps({"id": "r1", "path": "/x", "target": "t0"}).encode()
RUN = Run("r1", "POST", "/x", "t0", "b", 1.0)
SERVED = CallerAttempt("r1", HOLD, "/x", "b", "n0", 200, ANSWER, "r1", 0.0, 2.0)


def attempt(**changes):
    return dataclasses.replace(SERVED, **changes)


def run(**changes):
    return dataclasses.replace(RUN, **changes)


class OracleTest(unittest.TestCase):
    @params(
        ("served", SERVED, [RUN], 0),
        ("look-up of two targets", attempt(kind=LOOKUP), [run(method="GET")] * 2, 0),
        ("refused", attempt(status=503, answer=b""), [], 0),
        ("in doubt", attempt(status=502, answer=b""), [RUN], 0),
        ("no answer", attempt(status=0, answer=b"", answers_id=""), [RUN], 0),
        ("hold ran twice", SERVED, [RUN, run(target="t1")], 1),
        ("look-up at three targets", attempt(kind=LOOKUP), [run(method="GET")] * 3, 1),
        ("refused and ran", attempt(status=503, answer=b""), [RUN], 1),
        ("timed out as not run and ran", attempt(status=408, answer=b""), [RUN], 1),
        ("answer of another", attempt(answers_id="r2"), [RUN], 1),
        ("body of another", attempt(answer=ANSWER.replace(b"r1", b"r2")), [RUN], 1),
        ("cut body", attempt(answer=ANSWER[:-4]), [RUN], 1),
        ("success without a run", SERVED, [], 1),
        ("changed body", SERVED, [run(body="c")], 1),
        ("changed path", SERVED, [run(path="/y")], 1),
        ("unknown id", SERVED, [RUN, run(request_id="r9")], 1),
    )
    def test_broken_promises(self, name, sent, runs, count):
        """Guards against a soak that passes whatever the nodes do."""
        self.assertEqual(len(violations([sent], runs)), count, name)
