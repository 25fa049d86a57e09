"""Tests of the grantors that a node keeps."""

import unittest

from nose2.tools import params

from orioleloft_core import grantledger
from orioleloft_core.catalog import Catalog, Service, Target, Zone
from orioleloft_core.effects import Send
from orioleloft_core.holdings import Holdings
from orioleloft_core.messages import Ask, Granted, Release, TargetReport
from orioleloft_core.settings import FleetSettings, NodeSettings, Seat, Settings
from orioleloft_core.suspects import Suspects

SETTINGS = Settings(
    NodeSettings("entry-00", "a"), FleetSettings((Seat("entry-00", "a", "127.0.0.1:1"),))
)


class _Lease:
    """All groups named to the node, usable or not."""

    def __init__(self, groups):
        self.own_groups = groups
        self.usable = set(groups)

    def may_use(self, now, group):
        return group in self.usable


def _catalog():
    services = (Service("a.b", 2), Service("c", 2))
    targets = tuple(Target(each.name, "t-0", "127.0.0.1", 1, "a") for each in services)
    return Catalog(1, (Zone("a"),), services, targets)


class HoldingsTest(unittest.TestCase):
    def setUp(self):
        self.lease = _Lease(["a.b#0", "c#0"])
        self.holdings = Holdings(SETTINGS, self.lease, Suspects(SETTINGS))
        self.holdings.configure(0.0, _catalog())
        self.holdings.tick(0.0)

    def _grant(self, now, group):
        (effect,) = self.holdings.ask(now, "entry-00", Ask("x", group, "", 1000, ""))
        return effect.message

    def _outstanding(self):
        return sum(grantor.outstanding for grantor in self.holdings)

    @params("a.b#0", "c#0")
    def test_a_release_reaches_its_group(self, group):
        """Guards against a slot that stays taken because its release went to another group."""
        granted = self._grant(0.0, group)
        self.assertIsInstance(granted, Granted)
        self.holdings.release(0.1, "entry-00", Release(granted.grant_id, None))
        self.assertEqual(self._outstanding(), 0)

    def test_a_broken_target_is_told_to_all_groups(self):
        """Guards against a crash that goes unnoticed since the target changed its group."""
        granted = self._grant(0.0, "c#0")
        heard = []
        for grantor in self.holdings:
            grantor.release = lambda now, seat, release: heard.append(release) or []
        report = TargetReport("a.b/t-0", "broken", 0.0, "", -1, "")
        self.holdings.release(0.1, "entry-00", Release(granted.grant_id, report))
        self.assertEqual(len(heard), 2)

    def test_a_lost_lease_ends_grants(self):
        """Guards against grants by a former holder after the tick looks at own groups only."""
        self.lease.usable.clear()
        self.holdings.tick(0.1)
        self.lease.own_groups = []
        (effect,) = self.holdings.ask(0.2, "entry-00", Ask("x", "c#0", "", 1000, ""))
        self.assertIsInstance(effect, Send)
        self.assertNotIsInstance(effect.message, Granted)
        self.assertEqual(list(self.holdings), [])


class GroupOfTest(unittest.TestCase):
    @params("", "a", "a.b.c")
    def test_another_text_names_no_group(self, text):
        """Guards against a malformed grant id that ends the handling of a message."""
        self.assertEqual(grantledger.group_of(text), "")
