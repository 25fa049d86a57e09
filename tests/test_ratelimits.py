"""Tests of the rate limits that targets state, over all nodes of a fleet and without sockets."""

import asyncio
import dataclasses
import itertools
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from orioleloft_core.errors import ErrorCode
from orioleloft_core.observations import TargetObservations
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import (
    IDLE_PERMIT_S,
    OWNER_DELAY_S,
    REPORT_PERIOD_S,
    AnswerKind,
    MalformedRateLimit,
    NoRateLimit,
    RateLimit,
    RateLimitNotice,
    RateLimits,
    owner_rate,
)
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.returnschedule import MAX_RETURN_S, ReturnSchedule
from standins.faultyfleet import FaultyFleet
from standins.memoryfleet import Arrival, MemoryFleet
from standins.virtualtime import run_in_virtual_time
from tests.support.examples import examples

# The users' bound: requests of the nodes that were told half a second before, in any 4 s.
WINDOW_S = 4.0
MULTIPLIER = 1.5
SLACK = 5.0
TOLD_BEFORE_S = 0.5

TARGET = RegisteredTarget("t", "s", "10.0.0.1", 80, "z0", 6, False, 1)
RESPONSE, REFUSAL, PROBE = AnswerKind.RESPONSE, AnswerKind.REFUSAL, AnswerKind.PROBE


def greatest_window(arrivals: list[Arrival]) -> int:
    """Returns the most arrivals from told nodes in any window."""
    times = [
        arrival.at
        for arrival in arrivals
        if arrival.told_at is not None and arrival.at - arrival.told_at >= TOLD_BEFORE_S
    ]
    return max((sum(start <= at <= start + WINDOW_S for at in times) for start in times), default=0)


def allowed(limit: float) -> float:
    return limit * WINDOW_S * MULTIPLIER + SLACK


class StatedRateLimitTest(unittest.TestCase):
    @params((1.0, 14, 2), (1.6, 14, 2), (0.2, 6, 1), (4.0, 6, 6))
    def test_requests_of_all_nodes_stay_within_a_stated_limit(self, limit, targets, limited):
        """Guards against nodes that go on sending to a target that has stated a limit."""
        run_in_virtual_time(self.assert_bound_holds(limit, targets, limited))

    async def assert_bound_holds(self, limit, target_count, limited_count):
        fleet = MemoryFleet(15, target_count, seed=5)
        with fleet.running():
            await fleet.send_requests(3.0, per_s=90.0)
            limited = fleet.targets[:limited_count]
            for target in limited:
                target.limit = str(limit)
            await fleet.send_requests(12.0, per_s=90.0)
            await asyncio.sleep(5.0)
        for target in limited:
            self.assertGreater(len(target.told_at), 0)
            self.assertLessEqual(greatest_window(target.arrivals), allowed(limit))

    @params((False, 0.0), (True, 0.0), (False, 0.3), (True, 0.3))
    def test_limit_on_responses_only(self, states_limit_on_probes, loss):
        """Guards against probes that break the limit, or end it as they do not state it."""
        run_in_virtual_time(self.assert_bound_holds_with_loss(states_limit_on_probes, loss))

    async def assert_bound_holds_with_loss(self, states_limit_on_probes, loss):
        fleet = MemoryFleet(15, 8, seed=3, states_limit_on_probes=states_limit_on_probes)
        fleet.loss = loss
        target = fleet.targets[0]
        with fleet.running():
            await fleet.send_requests(2.0, per_s=60.0)
            target.limit = "1.2"
            await fleet.send_requests(15.0, per_s=60.0)
        self.assertLessEqual(greatest_window(target.arrivals), allowed(1.2))
        last = [arrival for arrival in target.arrivals if arrival.at > 7.0]
        self.assertGreaterEqual(len(last), 3)

    @params(False, True)
    def test_end_of_a_limit(self, states_limit_on_probes):
        """Guards against a limit that stays in force because no node asks whether it has ended."""
        run_in_virtual_time(self.assert_limit_ends(states_limit_on_probes))

    async def assert_limit_ends(self, states_limit_on_probes):
        fleet = MemoryFleet(15, 6, seed=4, states_limit_on_probes=states_limit_on_probes)
        target = fleet.targets[0]
        with fleet.running():
            target.limit = "1"
            await fleet.send_requests(6.0, per_s=60.0)
            self.assertGreater(fleet.nodes["n0"].rate_limits.count, 0)
            target.limit = None
            await fleet.send_requests(6.0, per_s=60.0)
        counts = {node.rate_limits.count for node in fleet.nodes.values()}
        self.assertEqual(counts, {0})

    def test_end_of_a_limit_without_requests(self):
        """Guards against a limit that stays in force at a service that gets no requests."""
        run_in_virtual_time(self.assert_limit_ends_without_requests())

    async def assert_limit_ends_without_requests(self):
        fleet = MemoryFleet(15, 6, seed=4)
        with fleet.running():
            fleet.targets[0].limit = "0"
            await fleet.send_requests(2.0, per_s=60.0)
            fleet.targets[0].limit = None
            await fleet.sweep_for(2 * (1 / owner_rate(0.0) + IDLE_PERMIT_S))
        self.assertEqual({node.rate_limits.count for node in fleet.nodes.values()}, {0})

    def test_service_with_limits_at_all_targets(self):
        """Guards against requests that wait for a permit which does not come before their end."""
        run_in_virtual_time(self.assert_rejected_at_once())

    async def assert_rejected_at_once(self):
        fleet = MemoryFleet(9, 3, seed=6)
        with fleet.running():
            for target in fleet.targets:
                target.limit = "1"
            await fleet.send_requests(4.0, per_s=60.0)
            replies = await fleet.send_timed_requests(8.0, per_s=60.0)
        served = [reply for reply, _ in replies if reply.status == 200]
        rejected = [
            (reply, seconds)
            for reply, seconds in replies
            if reply.code is ErrorCode.TARGETS_RATE_LIMITED
        ]
        self.assertGreaterEqual(len(served), 8)
        self.assertGreater(len(rejected), 300)
        self.assertEqual({reply.status for reply, _ in rejected}, {503})
        self.assertEqual([seconds for _, seconds in rejected if seconds > 0.5], [])
        # A tenth of the rejected callers may return within a quarter of the longest time.
        early = [reply for reply, _ in rejected if reply.retry_after < MAX_RETURN_S / 4]
        self.assertLess(len(early), len(rejected) / 10)


class FleetPropertyTest(unittest.TestCase):
    @settings(max_examples=examples(40), deadline=None)
    @given(st.integers(0, 10**6), st.sampled_from([0.0, 0.1, 0.5, 1.0, 1.8, 5.0]))
    def test_bound_over_a_faulty_fleet(self, seed, limit):
        """Guards against shares that add up to more than the limit in partitions and restarts."""
        fleet = FaultyFleet(seed, limit, TARGET)
        fleet.play()
        self.assertLessEqual(greatest_window(fleet.arrivals), allowed(limit))

    @params(0.5, 1.0, 1.8, 5.0)
    def test_target_with_a_limit_gets_requests(self, limit):
        """Guards against a limit that is held because nothing is sent."""
        fleet = FaultyFleet(11, limit, TARGET)
        fleet.play()
        late = [arrival for arrival in fleet.arrivals if arrival.at > 8.0]
        self.assertGreater(len(late), 0.4 * limit * (FaultyFleet.ENDS_AT_S - 8.0))

    @params(1.0, 1.8, 5.0)
    def test_permits_at_every_node_break_the_bound(self, limit):
        """Guards against a fleet model too mild to tell owners from a bucket at each node."""
        with mock.patch(
            "orioleloft_core.ratelimits.placement.owners", lambda target, zones, count: list(zones)
        ):
            fleet = FaultyFleet(11, limit, TARGET)
            fleet.play()
        self.assertGreater(greatest_window(fleet.arrivals), allowed(limit))


def make_limits(name: str = "n0", zones: dict[str, str] | None = None) -> RateLimits:
    zones = {name: "z0"} if zones is None else zones
    return RateLimits(name, lambda: zones, lambda: 1)


class ObservationTest(unittest.TestCase):
    @params(
        # Before, statement, kind, whether the request was sent after the limit was learned, after.
        (None, RateLimit(2.0), RESPONSE, True, 2.0),
        (None, RateLimit(2.0), REFUSAL, True, 2.0),
        (None, RateLimit(2.0), PROBE, False, 2.0),
        (2.0, RateLimit(1.0), RESPONSE, False, 1.0),
        (2.0, RateLimit(3.0), RESPONSE, False, 2.0),
        (2.0, RateLimit(3.0), RESPONSE, True, 3.0),
        (2.0, NoRateLimit(), RESPONSE, False, 2.0),
        (2.0, NoRateLimit(), RESPONSE, True, None),
        (2.0, NoRateLimit(), REFUSAL, True, 2.0),
        (2.0, NoRateLimit(), PROBE, True, 2.0),
        (2.0, MalformedRateLimit("nan"), RESPONSE, True, 2.0),
        (None, MalformedRateLimit("nan"), RESPONSE, True, None),
    )
    def test_statements(self, before, statement, kind, is_sent_after, after):
        """Guards against an answer that is older than the limit, or that says nothing of it."""
        limits = make_limits()
        if before is not None:
            limits.observe(10.0, TARGET, RateLimit(before), RESPONSE, 9.0)
        limits.observe(11.0, TARGET, statement, kind, 10.5 if is_sent_after else 9.5)
        self.assertEqual(limits.get(TARGET), after)

    def test_end_stated_on_probes(self):
        """Guards against a limit without end at a target that states it on probes, when idle."""
        limits = make_limits()
        limits.observe(10.0, TARGET, RateLimit(1.0), PROBE, 9.9)
        limits.observe(11.0, TARGET, NoRateLimit(), PROBE, 10.5)
        self.assertFalse(limits.is_limited(TARGET))

    @params(
        ((1.0, 5), (2.0, 6), 2.0),
        ((2.0, 6), (1.0, 5), 2.0),
        ((2.0, 6), (1.0, 6), 1.0),
        ((1.0, 6), (2.0, 6), 1.0),
        ((1.0, 5), (None, 6), None),
        ((None, 6), (1.0, 5), None),
        ((None, 6), (1.0, 6), 1.0),
    )
    def test_order_of_reports(self, first, second, limit):
        """Guards against a report that arrives late and puts an older limit back in force."""
        limits = make_limits()
        for rate, version in (first, second):
            limits.merge(1.0, RateLimitNotice("t", 1, rate, version))
        self.assertEqual(limits.get(TARGET), limit)

    def test_next_process_of_a_target(self):
        """Guards against the limit of a process that has ended, at its successor."""
        limits = make_limits()
        limits.merge(1.0, RateLimitNotice("t", 0, 1.0, 5))
        self.assertFalse(limits.is_limited(TARGET))

    def test_repeated_reports(self):
        """Guards against reports of all nodes for each answer, and against none after a loss."""
        limits = make_limits()
        times = [10.0, 10.5, 10.0 + REPORT_PERIOD_S, 10.5 + REPORT_PERIOD_S]
        notices = [limits.observe(at, TARGET, RateLimit(1.0), RESPONSE, at) for at in times]
        self.assertEqual([n is not None for n in notices], [True, False, True, False])
        limits.merge(20.0, notices[0])
        self.assertIsNone(limits.observe(20.5, TARGET, RateLimit(1.0), RESPONSE, 20.4))

    @params((1.5, -1, 1), (float("nan"), 1, 1), (float("inf"), 1, 1), (-1.0, 1, 1))
    def test_report_out_of_range(self, rate, version, started_ms):
        """Guards against numbers in the datagram of another node for which no comparison holds."""
        with self.assertRaises(ValueError):
            RateLimitNotice("t", started_ms, rate, version)


class PermitTest(unittest.TestCase):
    @params((0.0, 0.05), (0.1, 0.05), (1.0, 0.375), (8.0, 3.0))
    def test_owner_rate(self, limit, rate):
        """Guards against shares of two sets of owners that exceed the accepted multiple."""
        self.assertAlmostEqual(owner_rate(limit), rate)

    @params((1.0, [2.67, 5.34]), (8.0, [2.0, 2.34, 2.68]))
    def test_first_and_later_permits(self, limit, expected):
        """Guards against a new owner that uses a permit beside its predecessor's."""
        limits = make_limits()
        limits.observe(0.0, TARGET, RateLimit(limit), RESPONSE, 0.0)
        sent = []
        for step in range(round(expected[-1] * 100) + 2):
            if limits.may_send(step / 100, TARGET):
                limits.on_sent(step / 100, TARGET)
                sent.append(step / 100)
        self.assertEqual(sent, expected)

    def test_node_that_ceases_to_be_an_owner(self):
        """Guards against a permit that a node keeps although others have become owners."""
        zones = {"n0": "z0"}
        limits = RateLimits("n0", lambda: zones, lambda: 1)
        limits.observe(0.0, TARGET, RateLimit(1.0), RESPONSE, 0.0)
        self.assertTrue(limits.may_send(0.0, TARGET) or limits.may_send(5.0, TARGET))
        zones = {f"n{i}": "z0" for i in range(1, 9)}
        self.assertFalse(limits.may_send(6.0, TARGET))
        zones = {"n0": "z0"}
        self.assertFalse(limits.may_send(7.0, TARGET))
        self.assertTrue(limits.may_send(7.0 + OWNER_DELAY_S + 1.0, TARGET))


class PermitSchedulerTest(unittest.TestCase):
    def start(self, *limits, name="n0"):
        """Makes a scheduler of a node that learns the limits of targets t0, t1, ... at 0 s."""
        self.rate_limits = make_limits(name)
        self.observations = TargetObservations()
        self.targets = [dataclasses.replace(TARGET, id=f"t{i}") for i in range(len(limits))]
        for target, limit in zip(self.targets, limits, strict=True):
            if limit is not None:
                self.rate_limits.observe(0.0, target, RateLimit(limit), RESPONSE, 0.0)
        return PermitScheduler(
            self.rate_limits,
            lambda target: self.observations,
            lambda: {"n0": "z0"},
            random.Random(1),
        )

    @params(
        # Limits, requests ahead, seconds until the deadline, whether a request can wait.
        ((None, 1.0), 50, 0.1, True),
        ((8.0, 8.0), 0, 1.9, False),
        ((8.0, 8.0), 0, 2.1, True),
        ((8.0, 8.0), 3, 2.4, False),
        ((8.0, 8.0), 3, 2.6, True),
        ((0.0,), 0, 5.0, False),
        ((), 0, 0.1, True),
    )
    def test_waits(self, limits, ahead, seconds, can_wait):
        """Guards against requests that wait in vain, and against needless rejections."""
        permits = self.start(*limits)
        for target in self.targets:
            if self.rate_limits.is_limited(target):
                self.rate_limits.time_to_permit(0.0, target)
        self.assertEqual(permits.can_wait(0.0, self.targets, ahead, seconds), can_wait)

    @params((0, ["t0", "t1"]), (3, []))
    def test_candidates(self, failures, ids):
        """Guards against permits for targets without a limit, and requests to failing targets."""
        permits = self.start(1.0, 8.0, None)
        self.assertEqual(permits.candidates(0.0, self.targets), [])
        for _ in range(failures):
            self.observations.on_failure(10.0)
        found = permits.candidates(10.0, self.targets)
        self.assertEqual([candidate.target.id for candidate in found], ids)

    def test_idle_permits(self):
        """Guards against probes beside the requests that use the permits."""
        permits = self.start(8.0, None)
        self.assertEqual(permits.take_idle(0.0, self.targets), [])
        self.assertEqual(permits.take_idle(OWNER_DELAY_S + 3.9, self.targets), [])
        at = OWNER_DELAY_S + IDLE_PERMIT_S + 0.1
        self.assertEqual(permits.take_idle(at, self.targets), self.targets[:1])
        self.assertEqual(permits.take_idle(at + 1.0, self.targets), [])


class ReturnScheduleTest(unittest.TestCase):
    @params((2.0, 0.0), (10.0, 0.3))
    def test_returns_are_spread(self, rate, earliest):
        """Guards against rejected callers that return faster than they can be served."""
        schedule = ReturnSchedule(random.Random(1))
        delays = [schedule.next_delay(10.0, rate, earliest) for _ in range(200)]
        scheduled = int(rate * (MAX_RETURN_S - earliest))
        for first, second in itertools.pairwise(delays[:scheduled]):
            self.assertAlmostEqual(second - first, 1 / rate)
        self.assertGreaterEqual(delays[0], earliest)
        self.assertLessEqual(max(delays), MAX_RETURN_S)
        self.assertGreater(len(set(delays[scheduled:])), 100)
