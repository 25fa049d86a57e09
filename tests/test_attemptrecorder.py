"""Tests of what is recorded after an attempt, without targets and connections."""

import dataclasses
import unittest
from unittest import mock

from nose2.tools import params
from tornado import httputil

from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.contention import ContentionCurves
from orioleloft_core.observations import LoadFigures, TargetObservations
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.routes import Route, RoutedService, RouteKind, WeightedService
from orioleloft_core.selection import ProbedTarget
from orioleloft_core.servicetime import ServiceTimes
from orioleloftd.attemptrecorder import SLOW_REPORT_FACTOR, AttemptRecorder
from orioleloftd.requestcontext import (
    CallerRequest,
    RequestContext,
    SelectedTarget,
    SelectionBasis,
)

TARGET = RegisteredTarget("t0", "s", "10.0.0.1", 80, "za", 6, False, 1)
SERVICE = RoutedService("s", "/health", 100, 2.1, 3.0)
ROUTE = Route("r", "a", "/", RouteKind.IDEMPOTENT, 5.0, 0.5, 2, 2, (WeightedService("s", 1.0),))


class ObservationsOnly:
    """The part of `TargetAccess` that is used here."""

    def __init__(self):
        self.of_target = TargetObservations()

    def observations(self, target):
        return self.of_target


class AttemptRecorderTest(unittest.TestCase):
    def setUp(self):
        self.access = ObservationsOnly()
        self.contention = ContentionCurves()
        self.reports = []
        self.recorder = AttemptRecorder(
            self.access,
            ServiceTimes(),
            self.contention,
            lambda *report: self.reports.append(report),
            lambda: 5.0,
        )
        request = CallerRequest("j", "GET", "a", "/x", httputil.HTTPHeaders(), b"", 0.0, 4.0)
        self.context = RequestContext(request, ROUTE, SERVICE, 4.0)

    @params(
        (0.5, LoadFigures(3, 0, 6), LoadFigures(3, 0, 6), 1.0),
        (2.0, LoadFigures(3, 0, 6, 4.0), LoadFigures(3, 0, 6, 4.0), 1.0),
        (2.0, LoadFigures(3, 0, 6), LoadFigures(3, 0, 6), 4.0),
        (1.0, LoadFigures(3, 0, 6, 4.0), LoadFigures(3, 0, 6), 1.0),
    )
    def test_evidence_on_versions(self, factor, before, after, expected):
        """Guards against slow machines that count as slow versions, and slow versions as usual."""
        counted = []
        self.recorder._evidence = mock.Mock(on_attempt=lambda *each: counted.append(each))
        usual = self.recorder._service_times.expected("r", ROUTE.target_latency)
        # The target's own latency ratio would hide that its version is slow.
        self.access.of_target.on_response_time(5.0, 4.0)
        for is_cold in (False, True):
            selected = self.selected(before, is_cold=is_cold)
            self.recorder.on_success(self.context, selected, 2 * factor * usual, after)
            self.recorder._service_times = ServiceTimes()
        self.assertAlmostEqual(counted[0][3] / expected, 1.0, delta=0.01)
        self.assertIsNone(counted[1][3])
        self.recorder.on_cancelled(self.context, self.selected(before), usual / 2)
        self.recorder.on_failure(TARGET, route="r")
        self.assertEqual([each[2] for each in counted], [False, False, True])

    def selected(self, load, *, is_cold=False, busy_slots=3):
        return SelectedTarget(ProbedTarget(TARGET, load, is_cold), None, 0.2, busy_slots)

    @params(
        ("usual", dict(), dict(), LoadFigures(3, 0, 6), 1),
        ("requests of other nodes in between", dict(), dict(), LoadFigures(4, 0, 6), 0),
        ("slow at the start", dict(pace=4.0), dict(), LoadFigures(3, 0, 6), 0),
        ("slow at the end", dict(), dict(), LoadFigures(3, 0, 6, 4.0), 0),
        ("cold", dict(), dict(is_cold=True), LoadFigures(3, 0, 6), 0),
        ("queued at the target", dict(), dict(busy_slots=7), LoadFigures(6, 0, 6), 0),
        ("no load in the answer", dict(), dict(), None, 0),
    )
    def test_attempts_that_show_contention(self, case, load, selection, load_at_end, count):
        """Guards against a slow machine, or an unknown load, that is read as contention."""
        figures = dataclasses.replace(LoadFigures(2, 0, 6), **load)
        self.recorder.on_success(
            self.context, self.selected(figures, **selection), 0.2, load_at_end
        )
        self.assertEqual(self.contention.of("s").unreported_count, count, case)

    @params((AdmissionPolicy.ARRIVAL, False), (AdmissionPolicy.DEADLINE, True))
    def test_answers_of_requests_in_flight_together(self, policy, is_bounded):
        """Guards against an expected time that overshoots, as each answer repeats a correction.

        The order of arrival keeps its estimates as they are.
        """
        service_times = ServiceTimes()
        recorder = AttemptRecorder(
            self.access,
            service_times,
            self.contention,
            lambda *_: None,
            lambda: 5.0,
            lambda: policy,
        )
        selected = dataclasses.replace(
            self.selected(LoadFigures(2, 0, 6)), basis=SelectionBasis(0.2, 1.0)
        )
        for _ in range(30):
            recorder.on_success(self.context, selected, 0.3, LoadFigures(3, 0, 6))
        expected = service_times.expected("r", 0.5)
        ratio = self.access.of_target.latency_ratio(5.0)
        self.assertEqual(max(expected / 0.3, ratio / 1.5) <= 1.0, is_bounded)

    @params(0.003, 0.0)
    def test_request_without_work(self, seconds):
        """Guards against contention read from the network time of requests without work."""
        self.recorder.on_success(
            self.context, self.selected(LoadFigures(2, 0, 6)), seconds, LoadFigures(3, 0, 6)
        )
        self.assertEqual(self.contention.of("s").unreported_count, 0)

    @params((0.2, 0), (0.2 * SLOW_REPORT_FACTOR, 1))
    def test_slow_target(self, seconds, count):
        """Guards against a slow target that other nodes do not hear of."""
        self.recorder.on_success(
            self.context, self.selected(LoadFigures(2, 0, 6)), seconds, LoadFigures(3, 0, 6)
        )
        self.assertEqual(len(self.reports), count)
        self.assertEqual(self.access.of_target.latency_ratio(5.0) > 1.2, bool(count))

    def test_failure(self):
        """Guards against a failing target that other nodes do not hear of."""
        self.recorder.on_failure(TARGET, 4.0)
        self.assertEqual(self.reports, [("t0", 4.0, 0.0)])
        self.assertEqual(self.access.of_target.failures(5.0), 4.0)
