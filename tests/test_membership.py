"""Tests of heartbeats, suspicion and incarnations."""

import random
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

    def test_suspected_seats_are_those_that_are_suspected(self):
        """Guards against remembered suspicions that outlive a heartbeat or miss a silence."""
        rng = random.Random(5)
        now, before = 0.0, None
        for _ in range(2000):
            now += rng.choice((0.01, 0.25, 1.0))
            if rng.random() < 0.5:
                seat = rng.choice(NAMES[1:])
                self.members.on_ping(now, Ping(1, make_facts(seat)), self.facts)
            found = {seat for seat in NAMES if self.members.is_suspected(now, seat)}
            self.assertEqual(self.members.suspected(now), found)
            revision = self.members.revision(now)
            if before and before[0] != found:
                self.assertGreater(revision, before[1])
            before = found, revision

    @params({"state": "leaving"}, {"incarnation": "b"}, {"seat": NAMES[2]})
    def test_revision_changes_with_a_peer(self, change):
        """Guards against a change of holders that is not proposed."""
        self.members.on_ping(0.0, Ping(1, make_facts(PEER)), self.facts)
        before = self.members.revision(0.0)
        facts = make_facts(**{"seat": PEER, "started_ms": 2} | change)
        self.members.on_ping(0.1, Ping(2, facts), self.facts)
        self.assertGreater(self.members.revision(0.1), before)

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
