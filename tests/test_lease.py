"""Tests of assignments, confirmations, fencing and proposals."""

import collections
import random
import unittest

from nose2.tools import params

from orioleloft_core.effects import ReadAssignment, Send, WriteAssignment
from orioleloft_core.events import AssignmentRead
from orioleloft_core.lease import Holder, LeaseKeeper
from orioleloft_core.membership import Membership
from orioleloft_core.messages import AssignmentData, FetchAssignment, Ping
from orioleloft_core.pacing import Pacer
from tests.support.fleet import NAMES, Bucket, Delays, make_facts, make_settings

OWN, OTHERS = NAMES[0], NAMES[1:]
MINE = (("g", OWN, "me"),)
THEIRS = (("g", OTHERS[0], "a"),)
GROUPS = tuple(f"g{index}" for index in range(10))


def make_keeper():
    rng = random.Random(1)
    pacer = Pacer(Bucket(), Delays(rng))
    return LeaseKeeper(make_settings(OWN), "me", pacer=pacer, rng=rng)


class UseTest(unittest.TestCase):
    """All times count from the start at 0 s; the hold time is 3 s and a majority has 3 seats."""

    def setUp(self):
        self.keeper = make_keeper()
        self.keeper.on_heard_majority(0.0)

    def read(self, now, epoch, holders):
        self.keeper.on_read(now, AssignmentRead(epoch, holders, True, now))

    def pongs(self, now, epoch, seats=OTHERS[:2], sent_at=None):
        for seat in seats:
            facts = make_facts(seat, epoch=epoch)
            self.keeper.on_pong(now, facts, now if sent_at is None else sent_at)

    def hold(self):
        """Gains the group at epoch 5 and passes the fence at 7 s."""
        self.read(3.0, 5, MINE)
        for now in (4.0, 5.0, 6.0, 7.0):
            self.pongs(now, 5)

    def is_usable(self, now):
        return self.keeper.may_use(now, "g")

    @params(*range(20))
    def test_use_does_not_depend_on_earlier_questions(self, seed):
        """Guards against acknowledgements that are counted late and change a fence or its end."""
        rng = random.Random(seed)
        asked = make_keeper()
        now, epoch = 0.0, 1
        for _ in range(300):
            now += rng.choice((0.0, 0.01, 0.5, 1.0))
            step = rng.randrange(12)
            epoch += step == 0 and rng.randrange(3)
            seat, sent_at = rng.choice(OTHERS), now - rng.choice((0.0, 0.2, 2.9))
            facts = make_facts(seat, epoch=max(1, epoch - (rng.random() < 0.2)))
            read = AssignmentRead(epoch, rng.choice((MINE, MINE, THEIRS)), True, now)
            for keeper in (self.keeper, asked):
                if step < 2:
                    keeper.on_read(now, read)
                else:
                    keeper.on_pong(now, facts, sent_at)
                if step == 2:
                    keeper.on_heard_majority(now)
            usable = asked.may_use(now, "g")
            if rng.random() < 0.1:
                self.assertEqual(self.keeper.may_use(now, "g"), usable)

    @params((6.9, False), (7.0, True), (9.9, True), (10.0, False))
    def test_fence_and_end_of_confirmation(self, now, expected):
        """Guards against a new holder that starts while the old one may still grant."""
        self.hold()
        self.assertEqual(self.is_usable(now), expected)

    @params((2, 8.4, True), (2, 8.5, False), (1, 8.4, False))
    def test_confirmation_counts_from_the_ping(self, seats, now, expected):
        """Guards against late pongs that keep the lease of a paused or cut-off holder alive."""
        self.read(3.0, 5, MINE)
        self.pongs(4.0, 5)
        self.pongs(8.3, 5, OTHERS[:seats], sent_at=5.5)
        self.pongs(8.3, 5, OTHERS[:seats], sent_at=4.5)
        self.assertEqual(self.is_usable(now), expected)

    def test_fence_needs_a_majority_within_one_hold_time(self):
        """Guards against a fence that counts a seat which has restarted since."""
        self.read(3.0, 5, MINE)
        self.pongs(4.0, 5, OTHERS[:1])
        self.pongs(7.1, 5, OTHERS[1:2])
        for now in (9.0, 10.0, 11.0):
            self.pongs(now, 4)
        self.assertFalse(self.is_usable(11.0))

    def test_higher_epoch_ends_the_lease(self):
        """Guards against a holder that grants although it has been replaced."""
        self.hold()
        self.keeper.on_facts(7.5, make_facts(OTHERS[3], epoch=6))
        self.assertFalse(self.is_usable(7.5))
        self.assertTrue(self.keeper.adopt(7.6, 6, MINE))
        self.assertTrue(self.is_usable(7.6))
        self.assertTrue(self.keeper.adopt(7.7, 7, THEIRS))
        self.assertFalse(self.is_usable(7.7))

    def test_skipped_epoch_needs_a_new_fence(self):
        """Guards against another holder in an epoch that this holder never saw."""
        self.hold()
        self.keeper.adopt(7.5, 7, MINE)
        for now in (8.0, 9.0, 10.0, 11.0):
            self.pongs(now, 6)
        # The confirmations of epoch 5 end at 10 s; no fence of epoch 6 can be over before.
        self.assertTrue(self.is_usable(9.9))
        self.assertFalse(self.is_usable(10.0))
        self.pongs(11.0, 7)
        self.pongs(13.0, 7)
        self.assertFalse(self.is_usable(13.9))
        self.assertTrue(self.is_usable(14.0))

    def test_other_incarnation_holds(self):
        """Guards against a restarted node that uses the lease of its predecessor."""
        self.read(3.0, 5, (("g", OWN, "before"),))
        for now in (4.0, 7.0):
            self.pongs(now, 5)
        self.assertEqual(self.keeper.holder("g"), Holder(OWN, "before"))
        self.assertFalse(self.is_usable(7.0))

    @params((2.9, 0), (3.0, 5))
    def test_platform_read_loads(self, now, expected):
        """Guards against a read that is older than what the predecessor acknowledged."""
        self.read(now, 5, THEIRS)
        self.assertEqual(self.keeper.epoch, 5)
        self.assertEqual(self.keeper.reported_epoch, expected)

    @params(
        (3, 5, 3.0, 5), (2, 5, 3.0, 0), (4, 5, 2.9, 0), (4, 6, 3.0, 0), (4, 0, 3.0, 0), (3, 4, 3, 5)
    )
    def test_peers_load(self, seats, epoch, sent_at, expected):
        """Guards against a seat without memory that helps an epoch which is over."""
        self.keeper.on_data(0.5, AssignmentData(5, THEIRS))
        self.pongs(3.5, epoch, OTHERS[:seats], sent_at)
        self.assertEqual(self.keeper.reported_epoch, expected)

    def test_lower_epoch_is_ignored(self):
        """Guards against a delayed message that brings back an old assignment."""
        self.read(3.0, 5, THEIRS)
        self.assertFalse(self.keeper.on_data(3.1, AssignmentData(4, MINE)))
        self.assertFalse(self.keeper.on_data(3.1, AssignmentData(5, MINE)))
        self.assertEqual(self.keeper.holder("g"), Holder(OTHERS[0], "a"))


class ProposalTest(unittest.TestCase):
    def setUp(self):
        self.keeper = make_keeper()
        self.members = Membership(make_settings(OWN), "me")
        self.time = 0.0

    def hear(self, seats=OTHERS, **facts):
        """Hears seats in both directions."""
        self.members.tick(self.time, make_facts(OWN, "me"))
        for seat in seats:
            self.members.on_ping(self.time, Ping(1, make_facts(seat, **facts)), make_facts(OWN))
            known = self.members.peers[seat]
            self.members.peers[seat] = type(known)(known.facts, self.time, self.time)

    def read(self, epoch, holders, is_reachable=True):
        read = AssignmentRead(epoch, holders, is_reachable, self.time)
        return self.keeper.on_read(self.time, read)

    def calls(self, seconds, seats=OTHERS, state="serving", groups=GROUPS, **options):
        """Ticks until a call to the platform is made; returns it or None."""
        end = self.time + seconds
        while self.time < end:
            self.time += 0.05
            self.hear(seats)
            done = self.keeper.propose(self.time, groups, self.members, state, **options)
            for effect in done:
                if isinstance(effect, ReadAssignment | WriteAssignment):
                    return effect
        return None

    def load(self, epoch=0, holders=()):
        self.time = 4.0
        self.keeper.on_heard_majority(0.0)
        self.hear()
        self.read(epoch, holders)

    def test_balanced_and_deterministic(self):
        """Guards against one seat that holds most groups, and proposers that disagree."""
        proposals = []
        for _ in range(2):
            self.setUp()
            self.load()
            proposals.append(self.calls(3))
        self.assertEqual(*proposals)
        self.assertEqual(proposals[0].base_epoch, 0)
        counts = collections.Counter(seat for _, seat, _ in proposals[0].holders)
        self.assertEqual(counts, dict.fromkeys(NAMES, 2))

    @params("silent", "leaving", "restarted")
    def test_moves_only_groups_of_the_lost_holder(self, fault):
        """Guards against a takeover that interrupts groups whose holders are well."""
        self.load()
        before = self.calls(3).holders
        self.read(1, before)
        self.assertIsNone(self.calls(3))
        lost = OTHERS[1]
        if fault == "leaving":
            self.hear([lost], state="leaving")
        if fault == "restarted":
            self.hear([lost], incarnation="b", started_ms=2, state="starting")
        write = self.calls(6, [seat for seat in OTHERS if seat != lost])
        self.assertEqual(write.base_epoch, 1)
        moved = {old[0] for old, new in zip(before, write.holders, strict=True) if old != new}
        self.assertEqual(moved, {group for group, seat, _ in before if seat == lost})
        self.assertNotIn(lost, {seat for _, seat, _ in write.holders})

    def test_prefers_open_zones(self):
        """Guards against new leases in a zone that operators have taken out."""
        self.load()
        write = self.calls(3, closed_zones={"north"})
        self.assertEqual({seat for _, seat, _ in write.holders}, set(NAMES[2:]))

    @params((OTHERS[:1], "serving"), (OTHERS, "starting"), (OTHERS, "draining"))
    def test_does_not_propose(self, seats, state):
        """Guards against a minority or a node that is not serving that takes leases away."""
        self.load()
        self.time = 8.0
        self.assertIsNone(self.calls(5, seats, state))

    def test_lost_answer_is_read_again(self):
        """Guards against a second write after one that took effect without an answer."""
        self.load()
        write = self.calls(3)
        self.assertEqual(self.read(0, (), is_reachable=False), [])
        self.assertEqual(self.calls(2), ReadAssignment())
        self.read(1, write.holders)
        self.assertEqual(self.keeper.epoch, 1)
        self.assertIsNone(self.calls(5))

    @params(True, False)
    def test_race(self, is_won):
        """Guards against a lost race that is repeated, and a won one that nobody hears of."""
        self.load()
        write = self.calls(3)
        holders = write.holders if is_won else tuple((group, OTHERS[0], "a") for group in GROUPS)
        spread = self.read(1, holders)
        told = [Send(seat, AssignmentData(1, holders)) for seat in OTHERS]
        self.assertEqual(spread, told if is_won else [])
        self.assertEqual(self.keeper.epoch, 1)

    def test_excess_is_given_away(self):
        """Guards against a seat that keeps all groups after the others have restarted."""
        self.load(3, tuple((group, OTHERS[0], "a") for group in GROUPS))
        counts = collections.Counter(seat for _, seat, _ in self.calls(3).holders)
        self.assertEqual(counts, dict.fromkeys(NAMES, 2))

    def test_rate_of_proposals(self):
        """Guards against a storm of writes while each one meets a conflict."""
        self.load()
        writes = 0
        for epoch in range(1, 1000):
            write = self.calls(0.05)
            writes += isinstance(write, WriteAssignment)
            self.read(epoch, ())
        self.assertGreater(writes, 5)
        self.assertLess(writes, 20)

    def test_fetch_from_a_peer_then_from_the_platform(self):
        """Guards against a node that knows of an epoch and never learns its assignment."""
        self.load(5, THEIRS)
        self.hear(OTHERS[:1], epoch=7)
        self.keeper.on_facts(self.time, make_facts(OTHERS[0], epoch=7))
        effects = self.keeper.propose(self.time, ("g",), self.members, "serving")
        self.assertEqual(effects, [Send(OTHERS[0], FetchAssignment(5))])
        self.assertEqual(self.keeper.on_fetch(self.time, OTHERS[0], FetchAssignment(5)), [])
        self.assertEqual(self.calls(3), ReadAssignment())


if __name__ == "__main__":
    unittest.main()
