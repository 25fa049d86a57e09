"""Tests of targets that leave or ask for a pause: what they state, and what reaches them."""

import asyncio
import dataclasses
import time
import unittest

from nose2.tools import params
from tornado import httputil

from orioleloft_adapter.headers import PlatformHeaders
from orioleloft_core.errors import ErrorCode
from orioleloft_core.ratelimits import AnswerKind, RateLimit, RateLimits
from orioleloft_core.registry import RegisteredTarget, StateVersion, TargetList, TargetRegistry
from orioleloft_core.slowstart import SlowStartLimiter
from orioleloft_core.targetavailability import (
    MAX_PAUSE_S,
    AnswerStatement,
    MalformedPause,
    NoPause,
    Pause,
    Reason,
    TargetAvailability,
    parse_pause,
)
from standins.target import Behaviour
from tests import test_forwarding
from tests.support.loop import async_test
from tests.test_forwarding import LOOKUP, PAYMENT, SERVICE

TARGET = RegisteredTarget("t0", "s", "h", 80, "z", 2, False, 1)
OTHER = RegisteredTarget("t1", "s", "h", 81, "z", 2, False, 1)


def statement(pause=None, is_leaving=False, responder_id="t0", is_unavailable=True):
    return AnswerStatement(
        responder_id, is_unavailable, is_leaving, NoPause() if pause is None else Pause(pause)
    )


class PauseParsingTest(unittest.TestCase):
    @params(
        ((), NoPause()),
        (("2",), Pause(2.0)),
        (("0.75",), Pause(0.75)),
        ((" 1.5 ",), Pause(1.5)),
        (("0",), NoPause()),
        (("0.0",), NoPause()),
        (("86400",), Pause(MAX_PAUSE_S)),
        (("86401",), Pause(MAX_PAUSE_S)),
        (("999999999999",), Pause(MAX_PAUSE_S)),
        (("1" * 30,), MalformedPause("1" * 18)),
        (("-1",), MalformedPause("-1")),
        (("+1",), MalformedPause("+1")),
        (("1e3",), MalformedPause("1e3")),
        (("nan",), MalformedPause("nan")),
        (("inf",), MalformedPause("inf")),
        (("\u0663",), MalformedPause("\u0663")),
        (("1_0",), MalformedPause("1_0")),
        (("",), MalformedPause("")),
        (("1,5",), MalformedPause("1,5")),
        (("Wed, 21 Oct 2026 07:28:00 GMT",), MalformedPause("Wed, 21 Oct 2026 0")),
        # Two headers: the longest that can be read.
        (("1", "3"), Pause(3.0)),
        (("soon", "3"), Pause(3.0)),
        (("soon", "now"), MalformedPause("soon")),
    )
    def test_pause(self, texts, expected):
        """Guards against a text that pauses a target for ever, or not although it asks for it."""
        self.assertEqual(parse_pause(texts), expected)

    @params(
        (503, {"Retry-After": "2", "X-Instance-Id": "t0"}, (True, False, Pause(2.0))),
        (200, {"Retry-After": "2", "X-Instance-Id": "t0"}, (False, False, Pause(2.0))),
        (500, {"Server-Leaving": "1", "X-Instance-Id": "t0"}, (False, True, NoPause())),
        (200, {"Server-Leaving": " 1 "}, (False, True, NoPause())),
        (200, {"Server-Leaving": "0"}, (False, False, NoPause())),
        (200, {"Server-Leaving": "yes"}, (False, False, NoPause())),
        (421, {"Server-Leaving": "1"}, (False, False, NoPause())),
    )
    def test_headers(self, status, headers, expected):
        """Guards against headers that are read in the wrong response, or shown to callers."""
        wire = PlatformHeaders()
        found = wire.parse_response(status, httputil.HTTPHeaders(headers)).availability
        self.assertEqual((found.is_unavailable, found.is_leaving, found.pause), expected)
        self.assertEqual(found.responder_id, headers.get("X-Instance-Id", ""))
        self.assertEqual(list(wire.caller_headers(httputil.HTTPHeaders(headers))), [])


class TargetAvailabilityTest(unittest.TestCase):
    def setUp(self):
        self.registry = TargetRegistry()
        self.replace_targets(TARGET, OTHER)
        self.rate_limits = RateLimits("n0", lambda: {"n0": "z"}, lambda: 1)
        self.cold = set()
        self.availability = TargetAvailability(
            self.registry,
            self.rate_limits,
            SlowStartLimiter("n0", 1.5, 5.0),
            lambda now, target: target.id in self.cold,
            lambda: {"n1": "z", "n2": "z", "n3": "z"},
        )

    def replace_targets(self, *targets):
        version = self.registry.target_list.version.revision + 1
        self.registry.replace_targets(TargetList(StateVersion(version, 1), targets))

    def reason(self, now=0.0, target=TARGET, **checks):
        found = self.availability.unavailability(now, target, **checks)
        return found and found.reason

    def test_reasons(self):
        """Guards against a request that reaches a target for which any reason holds."""
        self.assertIsNone(self.reason(cold_per_s=2.0))
        self.cold.add("t0")
        self.assertIs(self.reason(cold_per_s=2.0), Reason.COLD)
        self.assertIsNone(self.reason())
        self.rate_limits.observe(0.0, TARGET, RateLimit(2.0), AnswerKind.RESPONSE, 0.0)
        self.assertIs(self.reason(cold_per_s=2.0), Reason.RATE_LIMIT)
        self.assertIsNone(self.reason(has_permit=True))
        self.availability.observe(0.0, TARGET, statement(pause=5))
        self.assertIs(self.reason(has_permit=True), Reason.PAUSED)
        self.availability.observe(0.0, TARGET, statement(is_leaving=True))
        self.assertIs(self.reason(has_permit=True), Reason.LEAVING)
        self.replace_targets(OTHER)
        self.assertIs(self.reason(has_permit=True), Reason.DRAINING)

    @params(
        # What was stated at 0 and at 1, and the end of the pause.
        (statement(pause=5), None, 5.0),
        (statement(pause=5), statement(pause=1), 5.0),
        (statement(pause=5), statement(pause=9), 10.0),
        (statement(pause=5), statement(is_unavailable=False), 5.0),
        (statement(pause=5, is_unavailable=False), None, None),
        (statement(pause=5, responder_id="t1"), None, None),
        (statement(pause=5, responder_id=""), None, 5.0),
    )
    def test_pause(self, first, second, end):
        """Guards against a pause that a late answer ends, or that another target has asked for."""
        self.assertFalse(self.availability.observe(0.0, TARGET, first))
        if second is not None:
            self.availability.observe(1.0, TARGET, second)
        self.availability.sweep(1.0)
        found = self.availability.withdrawal(1.0, TARGET)
        self.assertEqual(found and found.until, end)
        self.assertIsNone(self.availability.withdrawal(1.0, OTHER))
        self.assertIsNone(self.availability.withdrawal(end or 0.0, TARGET))

    def test_leaving_process(self):
        """Guards against requests to a leaving process that the store lists again."""
        stated = statement(is_leaving=True, is_unavailable=False)
        self.assertFalse(
            self.availability.observe(0.0, TARGET, dataclasses.replace(stated, responder_id="t1"))
        )
        self.assertIsNone(self.reason())
        self.assertTrue(self.availability.observe(0.0, TARGET, stated))
        self.assertFalse(self.availability.observe(0.0, TARGET, stated))
        self.assertFalse(self.availability.on_leaving("t0", 1))
        self.replace_targets(OTHER)
        self.availability.sweep(1e6)
        self.replace_targets(TARGET, OTHER)
        self.assertIs(self.reason(1e6), Reason.LEAVING)
        restarted = dataclasses.replace(TARGET, started_ms=2)
        self.replace_targets(restarted)
        self.assertIsNone(self.reason(1e6, restarted))

    @params(
        ((None, None), None),
        ((4.0, None), None),
        ((4.0, 2.0), (2.0, 4.0)),
        ((4.0, "leaving"), (4.0, 4.0)),
        (("leaving", "leaving"), None),
    )
    def test_pause_of_all_targets(self, stated, expected):
        """Guards against callers that return before any target accepts, or wait for nothing."""
        for target, what in zip((TARGET, OTHER), stated, strict=True):
            match what:
                case "leaving":
                    self.availability.on_leaving(target.id, 1)
                case float() as pause:
                    self.availability.observe(0.0, target, statement(pause, responder_id=""))
        self.assertEqual(self.availability.pause_ends(0.0, (TARGET, OTHER)), expected)


class WithdrawnTargetTest(unittest.TestCase):
    start = test_forwarding.ForwardingTest.start
    make_context = test_forwarding.ForwardingTest.make_context
    send = test_forwarding.ForwardingTest.send

    def change(self, index, **changes):
        target = self.targets[index]
        target.behaviour = dataclasses.replace(target.behaviour, **changes)

    def arrivals(self, index):
        return len(self.targets[index].arrived_at)

    @params({"leaves": True}, {"pause": "60"})
    @async_test
    async def test_other_target_takes_over(self, changes):
        """Guards against attempts, probes and retries at a target that leaves or pauses."""
        self.start(Behaviour(), Behaviour())
        await asyncio.gather(*[self.send() for _ in range(4)])
        self.change(0, **changes)
        while (
            self.forwarder._availability.withdrawal(time.monotonic(), self.registry.get("t0"))
            is None
        ):
            self.assertEqual((await self.send(PAYMENT, "POST")).status, 200)
        before = self.arrivals(0)
        for _ in range(12):
            reply = await self.send()
            self.assertEqual(reply.status, 200)
            self.assertFalse({"Server-Leaving", "Retry-After"} & set(reply.headers))
        self.assertIsNone(
            await self.forwarder.access.probe(self.registry.get("t0"), SERVICE, has_permit=True)
        )
        self.assertEqual(self.arrivals(0), before)
        self.assertEqual(self.leaving, [("t0", 1)] if "leaves" in changes else [])

    @async_test
    async def test_report_of_another_node(self):
        """Guards against requests to a process that has told only other nodes that it leaves."""
        self.start(Behaviour(), Behaviour())
        self.forwarder.availability_recorder.on_peer_report("t0", 1, "n1")
        for _ in range(8):
            self.assertEqual((await self.send()).status, 200)
        self.assertEqual((self.arrivals(0), self.leaving), (0, []))

    @async_test
    async def test_target_that_withdraws_after_its_selection(self):
        """Guards against a dispatch in the moment between the selection and the sending."""
        self.start(Behaviour())
        selected = await self.forwarder._waiting.acquire_target(self.make_context())
        before = self.arrivals(0)
        self.forwarder.availability_recorder.on_peer_report("t0", 1, "n1")
        ended = await self.forwarder._dispatch(self.make_context(PAYMENT), selected)
        self.assertEqual(ended.result.end.value, "not-sent")
        self.assertEqual(self.arrivals(0), before)

    @async_test
    async def test_end_of_a_leaving_process(self):
        """Guards against a request that is blocked because a process ends as it has announced."""
        self.start(Behaviour(crashing_path="/x"))
        sending = asyncio.create_task(self.send(LOOKUP))
        while not self.targets[0].runs:
            await asyncio.sleep(0)
        self.forwarder.availability_recorder.on_peer_report("t0", 1, "n1")
        await sending
        self.assertEqual(self.crash_reports, [])

    @async_test
    async def test_all_targets_pause(self):
        """Guards against requests that wait for a pause, and callers that come back early."""
        self.start(*[Behaviour(pause="40")] * 2)
        for _ in range(6):
            await self.send()
        before = self.arrivals(0) + self.arrivals(1)
        replies = [await self.send() for _ in range(6)]
        self.assertEqual(self.arrivals(0) + self.arrivals(1), before)
        for reply in replies:
            self.assertEqual((reply.status, reply.code), (503, ErrorCode.NO_CAPACITY))
            self.assertGreater(reply.retry_after, 30)
        self.assertEqual(len({reply.retry_after for reply in replies}), len(replies))
