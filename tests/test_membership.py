"""Tests of heartbeats, suspicion and incarnations."""

import unittest

from nose2.tools import params

from orioleloft_core.membership import Membership
from orioleloft_core.messages import Ping, Pong
from tests.support.fleet import NAMES, make_facts, make_settings

OWN, PEER = NAMES[:2]


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.members = Membership(make_settings(OWN), "me")
        self.facts = make_facts(OWN, "me")

    def ping(self, now):
        return self.members.tick(now, self.facts)[0].message.seq

    def pong(self, now, seq, seat=PEER, to="me", **facts):
        return self.members.on_pong(now, Pong(seq, to, make_facts(seat, **facts)))

    def test_one_ping_to_each_other_seat_per_heartbeat(self):
        """Guards against a heartbeat rate that follows the rate of ticks."""
        sent = [len(self.members.tick(now / 4, self.facts)) for now in range(9)]
        self.assertEqual(sent, [4, 0, 0, 0, 4, 0, 0, 0, 4])

    def test_announced_change_is_sent_at_once(self):
        """Guards against a node that others name to callers for a heartbeat after its stop."""
        self.members.tick(0.0, self.facts)
        self.members.announce()
        sent = [len(self.members.tick(now, self.facts)) for now in (0.1, 0.2, 1.0, 1.1)]
        self.assertEqual(sent, [4, 0, 0, 4])

    @params(
        ({}, 10.0),
        ({"to": "other"}, None),
        ({"seat": OWN}, None),
        ({"seat": "stranger"}, None),
        ({"now": 13.1}, None),
    )
    def test_pong_returns_sending_time(self, change, expected):
        """Guards against foreign and late pongs that confirm a lease."""
        seq = self.ping(10.0)
        self.assertEqual(self.pong(**{"now": 10.5, "seq": seq} | change), expected)

    @params((2, "a", True), (1, "b", True), (1, "a", True), (1, "0", False), (0, "z", False))
    def test_accepts_by_start_then_incarnation(self, started_ms, incarnation, expected):
        """Guards against a superseded process that still speaks for its seat."""
        self.members.on_ping(0.0, Ping(1, make_facts(PEER, "a", 1)), self.facts)
        facts = make_facts(PEER, incarnation, started_ms)
        self.assertEqual(self.members.accepts(facts), expected)
        answers = self.members.on_ping(0.0, Ping(2, facts), self.facts)
        self.assertEqual(len(answers), int(expected))

    def test_overtaken_facts_do_not_replace_newer_ones(self):
        """Guards against a reordered message that brings back an old state or version."""
        for version, state in ((4, "leaving"), (3, "leaving"), (4, "serving")):
            ping = Ping(1, make_facts(PEER, version=version, state=state))
            self.members.on_ping(0.0, ping, self.facts)
        facts = self.members.peers[PEER].facts
        self.assertEqual((facts.catalog_version, facts.state), (4, "leaving"))

    @params((2.9, False), (3.0, True))
    def test_suspicion_of_a_seat_never_heard(self, now, expected):
        """Guards against a starting node that takes all seats for dead."""
        self.ping(0.0)
        self.assertEqual(self.members.is_suspected(now, PEER), expected)
        self.assertFalse(self.members.is_suspected(now, OWN))

    @params((1, 0.5, False), (2, 0.5, True), (2, 3.5, False))
    def test_hears_majority(self, others, now, expected):
        """Guards against a majority that is made of old or missing answers."""
        seq = self.ping(0.0)
        for seat in NAMES[1 : 1 + others]:
            self.pong(0.4, seq, seat)
            self.pong(0.4, seq, seat)
        self.assertEqual(self.members.hears_majority(now), expected)


if __name__ == "__main__":
    unittest.main()
