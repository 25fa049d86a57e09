"""Tests of the targets that a node may use without a grant."""

import collections
import unittest

from nose2.tools import params

from orioleloft_core.bypass import Bypass
from orioleloft_core.request import DispatchResult, Ending, LoadReport, Warmth
from tests.support import requester

NONE = frozenset()


def answered(incarnation="i1", warmth=Warmth.WARM):
    return DispatchResult(Ending.ANSWERED, 200, report=LoadReport(incarnation, 1, warmth))


class BypassTest(unittest.TestCase):
    def setUp(self):
        self.catalog = requester.catalog()
        self.bypass = Bypass(requester.settings(), "entry-01")

    def warm(self, *names, now=0.0):
        for name in names:
            for _ in range(4):
                self.bypass.record(now, f"ledger/{name}", answered())

    def choose(self, now=1.0, excluded=NONE, catalog=None):
        choice = self.bypass.choose(now, catalog or self.catalog, "ledger", excluded)
        return choice and choice.target_id

    @params(5, 17, 60)
    def test_seats_per_target(self, size):
        """Guards against more bypass seats per target than the target is sized for."""
        seats = tuple(f"entry-{number:02}" for number in range(size))
        settings = requester.settings(seats)
        permitted = collections.Counter()
        for seat in seats:
            bypass = Bypass(settings, seat)
            permitted.update(name for name in map(str, range(50)) if bypass.is_permitted(name))
        limit = min(settings.routing.bypass_nodes, len(settings.fleet.seats))
        self.assertEqual(set(permitted.values()), {limit})
        self.assertEqual(len(permitted), 50)

    @params(
        ([answered()] * 4, "ledger/t-00"),
        ([answered()] * 3, None),
        ([answered("i1")] * 3 + [answered("i2")], None),
        ([answered()] * 4 + [answered(warmth=Warmth.COLD)], None),
        ([answered()] * 4 + [answered(warmth=Warmth.DRAINING)], None),
        ([answered()] * 4 + [DispatchResult(Ending.ANSWERED, 200)], None),
        ([answered()] * 4 + [DispatchResult(Ending.BROKEN)], None),
        ([answered()] * 4 + [DispatchResult(Ending.NOT_SENT)], None),
        ([answered()] * 4 + [DispatchResult(Ending.SHED)], None),
        ([answered()] * 4 + [DispatchResult(Ending.TIMED_OUT)], None),
        ([answered()] * 4 + [DispatchResult(Ending.CANCELLED)], "ledger/t-00"),
    )
    def test_evidence(self, results, expected):
        """Guards against bypass to a cold, restarted or unknown target."""
        for result in results:
            self.bypass.record(0.0, "ledger/t-00", result)
        self.assertEqual(self.choose(), expected)

    @params((10.0, "ledger/t-00"), (10.1, None))
    def test_evidence_age(self, now, expected):
        """Guards against bypass on old answers."""
        self.warm("t-00")
        self.assertEqual(self.choose(now), expected)

    def test_one_request_per_target(self):
        """Guards against more bypass load than the bound of one request per seat and target."""
        self.warm("t-00", "t-01")
        first = self.choose()
        self.bypass.start(1.0, first)
        second = self.choose()
        self.bypass.start(1.0, second)
        self.assertEqual({first, second}, {"ledger/t-00", "ledger/t-01"})
        self.assertIsNone(self.choose())
        self.bypass.end(first)
        self.assertEqual(self.choose(), first)
        self.assertIsNone(self.choose(excluded=frozenset({first})))

    @params({"closed": ("gt-a",)}, {"draining": ("t-00",)}, {"targets": 0})
    def test_closed_target(self, changes):
        """Guards against bypass into a closed zone or to a leaving target."""
        self.warm("t-00")
        self.assertIsNone(self.choose(catalog=requester.catalog(**changes)))

    def test_other_seats_target(self):
        """Guards against bypass outside the own subset."""
        seats = tuple(f"entry-{number:02}" for number in range(17))
        names = [f"ledger/t-{number:02}" for number in range(4)]
        bypass = Bypass(requester.settings(seats), "entry-03")
        for name in names * 4:
            bypass.record(0.0, name, answered())
        chosen = set()
        while choice := bypass.choose(0.0, self.catalog, "ledger", NONE):
            bypass.start(0.0, choice.target_id)
            chosen.add(choice.target_id)
        self.assertEqual(chosen, {name for name in names if bypass.is_permitted(name)})
