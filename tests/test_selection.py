"""Tests of target selection. The first parameter of a case names the situation."""

import random
import unittest

from nose2.tools import params

from orioleloft_core.contention import ContentionCurves, ServiceTimeObservation
from orioleloft_core.observations import LoadFigures, TargetObservations
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.selection import (
    LOCAL_PROBES,
    MAX_PROBES,
    OUTLIER_FAILURE_SCORE,
    ProbedTarget,
    TargetSelector,
)

BASE_SERVICE_TIME = 0.2
TARGET_LATENCY = 0.5


def registered_target(name, zone="za", slots=6):
    return RegisteredTarget(name, "s", "10.0.0.1", 80, zone, slots, False, 1)


class SelectionTest(unittest.TestCase):
    def setUp(self):
        self.observations = {}
        self.connected = set()
        self.contention = ContentionCurves()
        self.selector = TargetSelector(
            "za",
            self.observations_of,
            lambda target: target.id in self.connected,
            self.contention,
            random.Random(3),
        )

    def observations_of(self, target):
        return self.observations.setdefault(target.id, TargetObservations())

    def probed(self, name, running=0, waiting=0, slots=6, pace=1.0, zone="za", is_cold=False):
        figures = LoadFigures(running, waiting, slots, pace)
        return ProbedTarget(registered_target(name, zone, slots), figures, is_cold)

    @params(
        ("idle", dict(running=0), True),
        ("below the contention threshold", dict(running=3), True),
        ("contention: four of six slots in use", dict(running=4), False),
        ("full", dict(running=6), False),
        ("queue beside free slots", dict(running=2, waiting=1), False),
        ("one of two slots in use", dict(running=1, slots=2), True),
        ("two of two slots in use", dict(running=2, slots=2), False),
        ("one slot", dict(running=0, slots=1), True),
    )
    def test_free_slot(self, case, figures, is_free):
        """Guards against queues at targets: with a cold zone, a burst made all answers late."""
        self.assertEqual(
            self.selector.has_free_slot(0.0, self.probed("a", **figures)), is_free, case
        )

    @params(
        ("contention from half of the slots", 0.5, 2.5, 3),
        ("no contention", 1.0, 1.0, 6),
        ("contention as assumed", 0.8, 1.7, 4),
    )
    def test_free_slot_by_learned_contention(self, case, threshold, slowdown, limit):
        """Guards against targets filled by an assumed contention curve.

        On cheville-dakar scale-1 with contention from half of the slots, a fourth request slowed
        each target to fewer answers a second than three.
        """
        rng = random.Random(4)
        for step in range(900):
            busy = rng.randint(1, 6)
            ratio = slowdown if busy / 6 > threshold else 1.0
            seconds = 0.2 * ratio * rng.uniform(0.7, 1.4)
            observation = ServiceTimeObservation("r", busy, 6, seconds, 0.2, 0.5)
            self.contention.of("s").observe(step * 0.01, observation)
        free = [
            self.selector.has_free_slot(9.5, self.probed("a", running=running))
            for running in range(7)
        ]
        self.assertEqual(free, [running < limit for running in range(7)], case)

    def test_exploration_of_unknown_contention(self):
        """Guards against a limit that is never tried, and against a flood of requests above it."""
        probed = self.probed("a", running=4)
        found = [self.selector.has_free_slot(0.0, probed) for _ in range(4000)]
        self.assertTrue(20 <= sum(found) <= 200)
        for running in (5, 6):
            beyond = self.probed("a", running=running)
            self.assertFalse(any(self.selector.has_free_slot(0.0, beyond) for _ in range(500)))

    @params((0, 3), (2, 1), (3, 0))
    def test_outage_of_targets_in_own_zone(self, failed, local):
        """Guards against probes of dead targets in the own zone while other zones have free slots.

        In cheville-dakar scale-2 all targets of a zone are down for 4 s. Three of five candidates
        of the zone's nodes were dead and used up their probe budget, so that these nodes sent 291
        of 336 rejections.
        """
        targets = [registered_target(f"a{index}") for index in range(3)]
        targets += [registered_target(f"b{index}", "zb") for index in range(8)]
        for target in targets[:failed]:
            self.observations_of(target).on_failure(0.0, OUTLIER_FAILURE_SCORE)
        probed = self.selector.candidates(0.0, targets)
        self.assertEqual(len(probed), MAX_PROBES)
        self.assertFalse({target.id for target in probed} & {f"a{i}" for i in range(failed)})
        self.assertEqual(sum(target.zone == "za" for target in probed), local)

    def test_targets_that_report_a_slowdown(self):
        """Guards against probes of targets that just reported a slowdown factor (`pace`) of 12.

        The factor is 1.0 at a target's usual speed and higher if it is slower.

        On a recorded day of cheville-dakar two of five targets were that slow for 9 s (inc-6e96).
        """
        targets = [registered_target(f"a{index}") for index in range(10)]
        for target in targets[:4]:
            self.observations_of(target).on_load_report(10.0, LoadFigures(0, 0, 6, 12.0))
        first = {target.id for target in self.selector.candidates(10.05, targets)}
        self.assertFalse(first & {"a0", "a1", "a2", "a3"})
        probed_ids = set()
        for _ in range(40):
            probed_ids |= {target.id for target in self.selector.candidates(12.0, targets)}
        self.assertEqual(len(probed_ids), 10)

    def test_all_targets_are_outliers(self):
        """Guards against rejecting all requests while every target has failed recently."""
        targets = [registered_target(f"a{index}") for index in range(3)]
        for target in targets:
            self.observations_of(target).on_failure(0.0, OUTLIER_FAILURE_SCORE)
        self.assertEqual(len(self.selector.candidates(0.0, targets)), 3)

    @params(
        ("slow phase of a machine", dict(pace=4.0), dict(running=2), "b"),
        ("queue", dict(running=6, waiting=3), dict(running=3), "b"),
        ("contention against idle in another zone", dict(running=5), dict(zone="zb"), "b"),
        ("equal load in another zone", dict(), dict(zone="zb"), "a"),
        ("cold", dict(is_cold=True), dict(running=2), "b"),
    )
    def test_best(self, case, first, second, best):
        """Guards against selection by the number of requests alone."""
        probed_targets = [self.probed("a", **first), self.probed("b", **second)]
        self.assertEqual(
            self.selector.best(0, probed_targets, BASE_SERVICE_TIME, TARGET_LATENCY).target.id,
            best,
            case,
        )

    def test_failing_target_with_low_load(self):
        """Guards against a target that fails requests while its load figures look best."""
        self.observations_of(registered_target("a")).on_failure(0)
        probed_targets = [self.probed("a"), self.probed("b", running=3)]
        self.assertEqual(
            self.selector.best(0, probed_targets, BASE_SERVICE_TIME, TARGET_LATENCY).target.id, "b"
        )
        probed_targets = [self.probed("a"), self.probed("b", running=4)]
        later = self.selector.best(30, probed_targets, BASE_SERVICE_TIME, TARGET_LATENCY)
        self.assertEqual(later.target.id, "a")

    def test_slow_target_that_reports_no_slowdown(self):
        """Guards against slow targets whose load figures do not show it."""
        for _ in range(4):
            self.observations_of(registered_target("a")).on_response_time(0, 5.0)
        probed_targets = [self.probed("a"), self.probed("b", running=3)]
        self.assertEqual(
            self.selector.best(0, probed_targets, BASE_SERVICE_TIME, TARGET_LATENCY).target.id, "b"
        )

    def test_candidates_in_own_zone_are_preferred(self):
        """Guards against too many bytes between zones, and against probing only one zone."""
        targets = [registered_target(f"a{i}") for i in range(8)]
        targets += [registered_target(f"b{i}", "zb") for i in range(8)]
        probed = self.selector.candidates(0, targets)
        self.assertEqual(len(probed), MAX_PROBES)
        self.assertEqual(sum(t.zone == "za" for t in probed), LOCAL_PROBES)

    def test_connected_targets_are_preferred(self):
        """Guards against a new connection for each probe, and against targets never probed."""
        targets = [registered_target(f"t{i}") for i in range(8)]
        self.connected = {"t0", "t1", "t2"}
        probed_ids = [t.id for _ in range(200) for t in self.selector.candidates(0, targets, 3)]
        self.assertGreater(sum(name in self.connected for name in probed_ids), 300)
        self.assertEqual(len(set(probed_ids)), 8)

    def test_outliers_are_probed_last(self):
        """Guards against probes of dead targets while others are free."""
        targets = [registered_target(f"t{i}") for i in range(8)]
        for target in targets[:3]:
            self.observations_of(target).on_failure(0)
            self.observations_of(target).on_failure(0)
        self.observations_of(targets[3]).open_probes = 1
        probed = {target.id for target in self.selector.candidates(0, targets, 4)}
        self.assertTrue(probed <= {"t4", "t5", "t6", "t7"})

    @params(
        ("idle in the own zone", dict(), True),
        ("slow phase", dict(pace=4.0), False),
        ("contention", dict(running=4), False),
        ("other zone", dict(zone="zb"), False),
        ("cold", dict(is_cold=True), False),
    )
    def test_good_enough_to_end_probing(self, case, figures, is_good):
        """Guards against a second round of probes when the first one found a good target."""
        self.assertEqual(self.selector.can_stop_probing(0, self.probed("a", **figures)), is_good)
