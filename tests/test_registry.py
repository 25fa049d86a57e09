"""Tests of the registered targets and the zones that are out."""

import dataclasses
import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from orioleloft_core.registry import (
    ClosedZones,
    ContentVersion,
    RegisteredTarget,
    Registry,
    TargetList,
    hold_removals,
)


def make_target(name, zone="za", started_ms=1, is_draining=False):
    return RegisteredTarget(name, "s", "10.0.0.1", 80, zone, 2, is_draining, started_ms)


def make_list(revision, *names, is_settled=1):
    targets = tuple(make_target(name) for name in names)
    return TargetList(ContentVersion(revision, is_settled), targets)


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = Registry()
        self.registry.adopt_targets(make_list(10, "a", "b"))

    def names(self):
        return {target.id for target in self.registry.usable("s")}

    def test_changes_after_quiet_time(self):
        """Guards against joined targets that stay unused.

        The revision rises while the targets do not change, so a watch reports changes that begin
        after the version in force (dhaar-van quiet-1, 4 targets joined at 21 s).
        """
        self.assertTrue(self.registry.adopt_changes(60, [make_target("c")], ["a"]))
        self.assertEqual(self.names(), {"b", "c"})

    @params((9, {"a", "b"}), (10, {"a", "b"}), (11, {"c"}))
    def test_version_order(self, revision, names):
        """Guards against an old list from a slow peer that takes back a newer one."""
        self.registry.adopt_targets(make_list(revision, "c"))
        self.assertEqual(self.names(), names)

    def test_held_removals_end(self):
        """Guards against lapsed registrations that empty the fleet, or that stay for ever."""
        held = hold_removals(self.registry.target_list, make_list(20, "b"))
        self.registry.adopt_targets(held)
        self.assertEqual(self.names(), {"a", "b"})
        self.registry.adopt_changes(21, [make_target("d")], [])
        self.assertEqual(self.names(), {"a", "b", "d"})
        self.registry.adopt_targets(make_list(21, "b", "d"))
        self.assertEqual(self.names(), {"b", "d"})

    @params(
        (dict(is_draining=True), False),
        (dict(started_ms=2), False),
        (dict(zone="zb"), True),
        (dict(), True),
    )
    def test_may_use(self, changes, is_allowed):
        """Guards against work for a target that began to leave or restarted since it was asked."""
        asked = make_target("a")
        now = dataclasses.replace(asked, **changes)
        self.registry.adopt_targets(TargetList(ContentVersion(11, 1), (now,)))
        self.assertEqual(self.registry.may_use(asked), is_allowed)

    def test_closed_zone(self):
        """Guards against new work in a zone that operators have taken out."""
        self.registry.adopt_closed_zones(ClosedZones(ContentVersion(5, 1), ("za",)))
        self.assertEqual(self.names(), set())
        self.assertFalse(self.registry.may_use(make_target("a")))
        self.registry.adopt_closed_zones(ClosedZones(ContentVersion(4, 1), ()))
        self.assertEqual(self.names(), set())
        self.registry.adopt_closed_zones(ClosedZones(ContentVersion(6, 1), ()))
        self.assertEqual(self.names(), {"a", "b"})

    @given(st.permutations(range(1, 9)))
    def test_any_order_of_news_ends_the_same(self, order):
        """Guards against a state that depends on the order in which peers' lists arrive."""
        registry = Registry()
        seen = 0
        for revision in order:
            registry.adopt_targets(make_list(revision, f"t{revision}"))
            self.assertGreaterEqual(registry.target_list.version.revision, seen)
            seen = registry.target_list.version.revision
        self.assertEqual([target.id for target in registry.usable("s")], ["t8"])
