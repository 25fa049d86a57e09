"""Tests of the decayed observations of a target and of expected service times."""

import unittest

from nose2.tools import params

from orioleloft_core.observations import (
    MAX_FAILURE_SCORE,
    PACE_HALF_LIFE_S,
    LoadFigures,
    TargetObservations,
)
from orioleloft_core.servicetime import ServiceTimes


class EvidenceTest(unittest.TestCase):
    @params((1, 0.0, 1.0), (1, 2.5, 0.5), (100, 0.0, MAX_FAILURE_SCORE), (100, 60.0, 0.0))
    def test_failures_decay(self, count, age, expected):
        """Guards against a target that gets no requests any more after it has recovered."""
        observations = TargetObservations()
        for _ in range(count):
            observations.on_failure(0.0)
        self.assertAlmostEqual(observations.failures(age), expected, delta=0.01)

    def test_reports_of_other_nodes_weigh_less(self):
        """Guards against one node with a broken network path that makes all targets outliers."""
        own, reported = TargetObservations(), TargetObservations()
        own.on_failure(0.0)
        reported.on_peer_report(0.0, 1.0, 0.0)
        self.assertLess(reported.failures(0.0), own.failures(0.0))

    @params((4.0, 1, True), (1.0, 8, False), (0.1, 8, False))
    def test_latency_ratio(self, factor, count, is_slow):
        """Guards against slow targets that report no slowdown (a `pace` of 1.0)."""
        observations = TargetObservations()
        for _ in range(count):
            observations.on_response_time(0.0, factor)
        self.assertEqual(observations.latency_ratio(0.0) > 1.5, is_slow)
        self.assertAlmostEqual(observations.latency_ratio(120.0), 1.0, delta=0.01)

    @params((2, 0, 2), (2, 1, 1), (1, 3, 0))
    def test_requests_since_the_last_load_report(self, selected, unsent, running):
        """Guards against counting a hedged request that was never sent as load of the target."""
        observations = TargetObservations()
        for _ in range(selected):
            observations.on_selected()
        for _ in range(unsent):
            observations.on_no_answer()
        self.assertEqual(observations.running(LoadFigures(0, 0, 6)), running)

    @params(("no target reports load", False), ("reports stop", True))
    def test_answers_without_load(self, case, has_reported):
        """Guards against targets that seem fuller with every request, as nothing resets the count.

        On cheville-dakar scale-1 with targets that report no load, 82% of the requests were
        rejected while the targets were nearly idle.
        """
        observations = TargetObservations()
        if has_reported:
            observations.on_load_report(0.0, LoadFigures(1, 0, 6))
        load = LoadFigures(0, 0, 6)
        for step in range(50):
            observations.on_selected()
            observations.in_flight += 1
            self.assertLessEqual(observations.running(load), 2, case)
            observations.in_flight -= 1
            if step % 2:
                load = observations.on_answer_without_load(float(step), 6)
            else:
                observations.on_no_answer()
        self.assertEqual(observations.running(load), 0, case)
        self.assertIs(observations.reports_load, False)

    def test_slow_phase_without_load_report(self):
        """Guards against an estimate that forgets a slow phase with the next answer."""
        observations = TargetObservations()
        observations.on_answer_without_load(0.0, 6, 4.0)
        load = observations.on_answer_without_load(PACE_HALF_LIFE_S, 6)
        self.assertAlmostEqual(load.pace, 2.5)

    def test_full(self):
        """Guards against counting the late probe answer of a full target as a failure."""
        observations = TargetObservations()
        self.assertFalse(observations.is_full)
        observations.on_load_report(0.0, LoadFigures(6, 3, 6))
        self.assertTrue(observations.is_full)

    def test_service_time_bounds_outliers(self):
        """Guards against one slow answer that raises the expected service time of all requests."""
        estimates = ServiceTimes()
        for _ in range(60):
            estimates.observe("r", 1.0, 0.2)
        self.assertAlmostEqual(estimates.expected("r", 1.0), 0.2, delta=0.01)
        estimates.observe("r", 1.0, 30.0)
        self.assertLess(estimates.expected("r", 1.0), 0.25)
