"""Tests of the spread and freshness of the catalog."""

import dataclasses
import random
import unittest

from nose2.tools import params

from orioleloft_core import hashing
from orioleloft_core.effects import ReadHead, Send
from orioleloft_core.errors import MessageError
from orioleloft_core.events import HeadRead
from orioleloft_core.membership import Membership
from orioleloft_core.messages import CatalogData, FetchCatalog, Ping, Pong
from orioleloft_core.pacing import Pacer
from orioleloft_core.spread import Spread
from tests.support.fleet import NAMES, Bucket, Delays, make_catalog, make_facts, make_settings

ORDER = hashing.order("head", NAMES)


def make_spread(seat=NAMES[0]):
    rng = random.Random(1)
    return Spread(make_settings(seat), pacer=Pacer(Bucket(), Delays(rng)), rng=rng)


def hear(members, now, seats, **facts):
    """Pings, and takes pongs from the seats."""
    ping = members.tick(now, make_facts(members.seat))[0].message
    for seat in seats:
        members.on_pong(now, Pong(ping.seq, members.incarnation, make_facts(seat, **facts)))


class SpreadTest(unittest.TestCase):
    def make(self, seat=NAMES[0], version=0):
        self.spread = make_spread(seat)
        self.members = Membership(make_settings(seat), "me")
        if version:
            self.spread.on_head_read(0.0, HeadRead(make_catalog(version), True, 0.0))

    def tick(self, now):
        return self.spread.tick(now, self.members)

    @params((1, True), (4, True), (4, False))
    def test_version_order(self, version, is_read):
        """Guards against a late answer that reverts an accepted note."""
        self.make(version=4)
        other = make_spread()
        other.adopt(0.0, make_catalog(version))
        if is_read:
            changed = self.spread.on_head_read(1.0, HeadRead(other.catalog, True, 0.5))
        else:
            (sent,) = other.on_fetch(1.0, NAMES[0], FetchCatalog(0))
            changed = self.spread.on_data(1.0, sent.message)
        self.assertFalse(changed)
        self.assertEqual(self.spread.catalog.version, 4)

    def test_catalog_of_a_peer(self):
        """Guards against a catalog that changes on its way between nodes."""
        self.make()
        self.spread.adopt(0.0, make_catalog(3))
        (sent,) = self.spread.on_fetch(0.0, NAMES[1], FetchCatalog(2))
        other = make_spread()
        self.assertTrue(other.on_data(0.0, sent.message))
        self.assertEqual(other.catalog, make_catalog(3))
        self.assertEqual(self.spread.on_fetch(0.0, NAMES[1], FetchCatalog(3)), [])
        cut = dataclasses.replace(sent.message, document=sent.message.document[:-9])
        for bad in (cut, CatalogData(9, sent.message.document), CatalogData(9, b"x")):
            with self.assertRaises(MessageError):
                make_spread().on_data(0.0, bad)

    @params(*enumerate(ORDER))
    def test_two_seats_watch(self, rank, seat):
        """Guards against platform calls that grow with the number of nodes."""
        self.make(seat, version=7)
        expected = [ReadHead(7)] if rank < 2 else []
        self.assertEqual(self.tick(0.5), expected)
        self.assertEqual(self.tick(1.0), [])

    def test_next_seat_watches_for_a_silent_one(self):
        """Guards against notes that nobody sees after the watchers have died."""
        self.make(ORDER[2], version=7)
        hear(self.members, 0.0, ORDER[1:2])
        for now in (1.0, 2.0, 3.0):
            hear(self.members, now, ORDER[1:2])
            self.spread.on_facts(now, make_facts(ORDER[1], version=7, age=0), now)
        self.assertEqual(self.tick(3.0), [ReadHead(7)])

    @params((4.9, []), (5.0, [ReadHead(0)]))
    def test_other_seat_reads_when_it_is_out_of_touch(self, now, expected):
        """Guards against a stale node whose peers cannot tell it about newer versions."""
        self.make(ORDER[4], version=7)
        hear(self.members, now, ORDER[:4], version=7)
        self.assertEqual(self.tick(now), expected)

    def test_back_off_and_budget(self):
        """Guards against reads without limit while the platform is down."""
        self.make()
        reads = 0
        for step in range(600):
            if self.tick(step / 10):
                reads += 1
                self.spread.on_head_read(step / 10, HeadRead(None, False, step / 10))
        self.assertGreater(reads, 5)
        self.assertLess(reads, 25)

    def test_fetch_from_a_peer_with_the_newest_version(self):
        """Guards against a fetch from a peer that has nothing newer."""
        self.make(ORDER[4], version=7)
        hear(self.members, 0.0, ORDER[:1], version=9)
        hear(self.members, 1.0, ORDER[1:3], version=8)
        self.assertEqual(self.tick(1.0), [Send(ORDER[0], FetchCatalog(7))])
        self.assertEqual(self.tick(1.1), [])

    @params((2, 7, 7, False), (3, 7, 7, True), (4, 8, 7, False), (4, 0, 7, False))
    def test_loading_from_peers(self, others, version, own_version, expected):
        """Guards against a start with a catalog that the majority has left behind."""
        self.make()
        self.spread.adopt(0.0, make_catalog(own_version))
        hear(self.members, 0.0, NAMES[1 : 1 + others], version=version)
        self.assertEqual(self.spread.is_loaded(0.5, self.members), expected)

    @params(
        (7, 2000, 9.5, 2500),
        (8, 2000, 9.5, 10000),
        (7, -1, 9.5, 10000),
        (7, 2000, None, 10000),
    )
    def test_age_through_a_peer(self, version, age, ping_sent_at, expected):
        """Guards against ages of unknown delay or of a version that the node does not have."""
        self.make(version=7)
        self.spread.on_facts(9.9, make_facts(NAMES[1], version=version, age=age), ping_sent_at)
        self.assertEqual(self.spread.platform_age_ms(10.0), expected)

    @params((2.0, 0), (1.9, 1900))
    def test_a_watch_confirms_at_its_end(self, ended, expected):
        """Guards against watchers whose own watch makes them look out of touch."""
        self.make(ORDER[0], version=7)
        self.tick(0.0)
        self.spread.on_head_read(ended, HeadRead(None, True, 0.0))
        self.assertEqual(self.spread.platform_age_ms(ended), expected)

    @params((4.9, 0, True), (5.1, 0, False), (5.1, 2, True))
    def test_freshness(self, now, others, expected):
        """Guards against new work on a node that has lost both platform and majority."""
        self.make(version=7)
        hear(self.members, now, NAMES[1 : 1 + others])
        self.members.on_ping(now, Ping(1, make_facts(NAMES[4])), make_facts(NAMES[0]))
        self.assertEqual(self.spread.is_fresh(now, self.members), expected)


if __name__ == "__main__":
    unittest.main()
