"""Tests of the state of one target."""

import unittest

from nose2.tools import params

from orioleloft_core.grantledger import Grant
from orioleloft_core.request import LoadReport, Warmth
from orioleloft_core.targetstate import Phase, TargetState
from tests.support import group

SEAT = group.SEATS[0]


def steps(text):
    """Parses steps such as `4*answered shed` or `answered:service_ms=9`."""
    for word in text.split():
        count, _, step = word.rpartition("*")
        ending, _, option = step.partition(":")
        name, _, value = option.partition("=")
        change = {name: float(value) if name == "service_ms" else value} if name else {}
        for _ in range(int(count or 1)):
            yield ending, change


class TargetStateTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.catalog = group.catalog()
        entry = self.catalog.targets[0]
        self.routing = group.settings().routing
        self.state = TargetState(0.0, entry, self.catalog.services[0], self.routing)

    def grant(self):
        generation = self.state.generation
        is_first_use = SEAT not in self.state.known_seats
        return Grant("g", SEAT, self.state.id, is_first_use, generation, self.now, self.now + 9)

    def run_steps(self, text, grant=None):
        for ending, change in steps(text):
            self.now += 0.01
            report = group.report(self.state.id, ending, **change)
            self.state.observe(self.now, SEAT, grant or self.grant(), report, 5.0)

    @params(
        ("", Phase.UNKNOWN, 1),
        ("answered", Phase.WARMING, 1),
        ("4*answered", Phase.WARMING, 2),
        ("3*answered timed-out 3*answered", Phase.WARMING, 1),
        ("8*answered", Phase.WARM, 3),
        ("8*answered:service_ms=50", Phase.UNKNOWN, 1),
        ("8*answered:warmth=cold", Phase.UNKNOWN, 1),
        ("8*answered not-sent", Phase.WARM, 3),
        ("8*answered cancelled", Phase.WARM, 3),
        ("8*answered shed", Phase.WARMING, 1),
        ("8*answered broken", Phase.UNKNOWN, 1),
        ("8*answered answered:incarnation=p2", Phase.UNKNOWN, 1),
        ("8*answered answered:warmth=cold", Phase.UNKNOWN, 1),
        ("8*answered broken not-sent answered", Phase.WARMING, 1),
        ("8*answered answered:warmth=draining", Phase.DRAINING, 1),
        ("answered:warmth=draining answered", Phase.DRAINING, 1),
    )
    def test_phase_and_limit(self, text, phase, limit):
        """Guards against a cold target with a warm limit, and evidence that outlives a failure."""
        self.run_steps(text)
        self.assertEqual((self.state.phase, self.state.limit), (phase, limit))

    @params("broken", "answered:incarnation=p2")
    def test_answer_to_an_earlier_grant(self, loss):
        """Guards against a late answer of the old process that warms up the new one."""
        self.run_steps("8*answered")
        early = self.grant()
        self.run_steps(loss)
        self.run_steps("8*answered", early)
        self.assertEqual((self.state.phase, self.state.known_seats), (Phase.UNKNOWN, set()))

    def test_bypass_answer_warms_nothing(self):
        """Guards against evidence whose dispatch may precede the last loss."""
        for _ in range(9):
            self.state.observe(1.0, SEAT, None, group.report(self.state.id), 5.0)
        self.assertEqual((self.state.phase, self.state.known_seats), (Phase.UNKNOWN, set()))

    def test_pause_after_failures(self):
        """Guards against a target that fails at once and draws all requests."""
        pauses = []
        for _ in range(9):
            self.run_steps("broken broken shed")
            pauses.append(round(self.state.paused_until - self.now + 0.02, 2))
            self.now = self.state.paused_until
        self.assertEqual(pauses, [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0])

    @params((9.9, Phase.WARM), (10.1, Phase.UNKNOWN))
    def test_silence(self, seconds, phase):
        """Guards against trust in a target that was not heard for long."""
        self.run_steps("8*answered")
        self.state.check_silence(self.now + seconds)
        self.assertEqual(self.state.phase, phase)

    @params(
        ([None], Phase.WARM),
        ([None, None], Phase.UNKNOWN),
        ([None, ("p1", Warmth.WARM), None], Phase.WARM),
        ([("p2", Warmth.WARM)], Phase.UNKNOWN),
        ([("p1", Warmth.DRAINING)], Phase.DRAINING),
        ([("p1", Warmth.DRAINING), ("p1", Warmth.WARM)], Phase.UNKNOWN),
        ([("p1", Warmth.DRAINING), ("p2", Warmth.COLD)], Phase.UNKNOWN),
    )
    def test_probes(self, probes, phase):
        """Guards against an idle target that left or restarted and is still taken for warm."""
        self.run_steps("8*answered")
        for probe in probes:
            load = LoadReport(probe[0], 0, probe[1]) if probe else None
            self.state.probed(self.now, load)
        self.assertEqual(self.state.phase, phase)

    def test_return_is_cold(self):
        """Guards against full load on a target of a zone that returns."""
        self.run_steps("8*answered")
        service = self.catalog.services[0]
        for is_open in (False, True):
            self.state.configure(self.now, self.state.target, service, is_open)
        self.assertEqual((self.state.phase, self.state.limit), (Phase.UNKNOWN, 1))

    def test_gone_cold(self):
        """Guards against a process that went cold and keeps its full limit."""
        self.run_steps("20*answered 3*answered:service_ms=30")
        self.assertFalse(self.state.has_gone_cold)
        self.run_steps("answered:service_ms=30")
        self.assertTrue(self.state.has_gone_cold)


if __name__ == "__main__":
    unittest.main()
