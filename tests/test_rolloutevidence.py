"""Tests of the decision on a new version: how often it errs, and how counts are merged."""

import unittest

from nose2.tools import params

from orioleloft_core import messages
from orioleloft_core.messages import NodeState, RolloutEvidence, StateVersions, StoreAccess
from orioleloft_core.rolloutevidence import ALPHA, EvidenceCounter, EvidenceLedger, EvidenceRow
from orioleloft_core.rollouts import RolloutState
from orioleloftd import codec
from orioleloftd.peering import MAX_DATAGRAM_BYTES
from orioleloftd.rolloutcontrol import MAX_ROWS_PER_DATAGRAM
from standins.rolloutmodel import Fault, RolloutModel, Scenario
from tests.support.examples import examples

# Greatest number of runs of a good version in which one may be rolled back: with `ALPHA`, more than
# one in as many runs as are made here has a probability of 0.01.
RUNS = 32


def run_all(scenario, runs=RUNS):
    return [RolloutModel(scenario, seed).run() for seed in range(examples(runs))]


class DecisionTest(unittest.TestCase):
    @params(
        ("usual", Scenario()),
        ("overload: all fail", Scenario(failure_share=0.2)),
        ("overload: all are slow", Scenario(slowdown=3.0)),
        ("one grey target of three", Scenario(grey_targets=1, new_targets=3)),
        ("little load", Scenario(rate=40.0)),
        ("little load and few targets", Scenario(rate=40.0, new_targets=2, failure_share=0.2)),
        ("short", Scenario(duration=6.0)),
    )
    def test_good_version(self, case, scenario):
        """Guards against roll-backs of good versions: at most one in a thousand by mistake."""
        outcomes = run_all(scenario)
        found_bad = sum(each.state is not RolloutState.COMPLETED for each in outcomes)
        self.assertLessEqual(found_bad, max(1, 3 * ALPHA * len(outcomes)))
        self.assertTrue(all(each.at < scenario.duration for each in outcomes))

    @params(
        ("all fail", Scenario(Fault(failure_share=1.0)), 0.0),
        ("some fail", Scenario(Fault(failure_share=0.3)), 0.0),
        ("some fail of two targets", Scenario(Fault(failure_share=0.5), new_targets=2), 0.0),
        ("some fail later", Scenario(Fault(failure_share=0.5, begins=0.6)), 0.0),
        ("some fail under load", Scenario(Fault(failure_share=0.5, load_share=0.4)), 0.02),
        ("some fail on a route", Scenario(Fault(failure_share=0.5, route="b")), 0.02),
        ("slow", Scenario(Fault(slowdown=4.0)), 0.0),
        ("slow by little", Scenario(Fault(slowdown=2.5)), 0.02),
        ("slow later", Scenario(Fault(slowdown=4.0, begins=0.6)), 0.02),
        ("slow on a route", Scenario(Fault(slowdown=4.0, route="b")), 0.02),
        ("slow in overload", Scenario(Fault(slowdown=4.0), slowdown=2.0, failure_share=0.2), 0.0),
        ("little load", Scenario(Fault(failure_share=0.6), rate=40.0), 0.02),
    )
    def test_bad_version(self, case, scenario, missed_share):
        """Guards against a bad version that is completed, or gets requests for too long."""
        outcomes = run_all(scenario, RUNS // 2)
        missed = sum(each.state is not RolloutState.ROLLED_BACK for each in outcomes)
        self.assertLessEqual(missed, missed_share * len(outcomes))
        late = sum(each.after_limit > 0 for each in outcomes)
        self.assertLessEqual(late, missed_share * len(outcomes))


def row(answers, failures=0, target="t"):
    return EvidenceRow("r", target, answers, failures, answers - failures, 0, 0, 0, 0)


class LedgerTest(unittest.TestCase):
    def test_merging(self):
        """Guards against counts that are lost or doubled by late reports, repeats and restarts."""
        ledger = EvidenceLedger()
        for node, incarnation, answers in (
            ("a", 1, 5),
            ("a", 1, 9),
            ("a", 1, 5),
            ("b", 1, 4),
            ("a", 2, 3),
            ("a", 1, 10),
        ):
            ledger.merge(node, incarnation, [row(answers)])
        self.assertEqual(ledger.answers, 10 + 4 + 3)
        ledger.merge("c", 1, [row(3, failures=4), row(-4), row(0)])
        self.assertEqual(ledger.answers, 17)

    def test_single_target(self):
        """Guards against a roll-back because one of several targets is broken."""
        ledger = EvidenceLedger()
        rows = [row(500, target=""), row(60, 60, "t0"), row(60, 1, "t1"), row(60, 0, "t2")]
        ledger.merge("a", 1, rows)
        self.assertFalse(ledger.judge(3).is_bad)
        ledger.merge("b", 1, [row(60, 30, "t1")])
        self.assertTrue(ledger.judge(3).is_bad)

    def test_size_of_a_report(self):
        """Guards against reports that do not fit a datagram and are never sent."""
        counter = EvidenceCounter()
        for index in range(MAX_ROWS_PER_DATAGRAM):
            for _ in range(30):
                counter.record(f"r-{index % 8}abcdefg", f"i-{index:010x}", False, 1.3, 0.2)
        state = NodeState(
            "front-x-3", "10.0.0.1", "zone-a", 10**12, 9**6, True, False, False, StoreAccess.READY,
            StateVersions(7),
        )  # fmt: skip
        report = RolloutEvidence(state, "service", "a" * 12, 9, 9, True, tuple(counter.rows(True)))
        self.assertLessEqual(len(codec.encode(messages.pack(report))), MAX_DATAGRAM_BYTES)
        self.assertEqual(counter.rows(True), [])
        self.assertEqual(len(counter.rows(False)), MAX_ROWS_PER_DATAGRAM)
