"""Tests of deltas between versions of the shared state, and of nodes that apply them."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from orioleloft_core import packing, updates
from orioleloft_core.messages import StateVersions
from orioleloft_core.registry import RegisteredTarget, StateVersion, TargetList
from orioleloft_core.routes import (
    DEFAULT_LIMITS,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
)
from orioleloft_core.updates import StateUpdate, TableDelta, TargetDelta
from orioleloftd.sharedstate import ChangeOrigin, SharedState
from orioleloftd.storesync import TargetChanges
from tests.support.examples import examples

names = st.sampled_from("abcdefgh")


def make_target(name, is_draining):
    return RegisteredTarget(name, "s", "10.0.0.1", 80, "za", 2, is_draining, 1)


def make_route(prefix, service):
    weighted_services = (WeightedService(service, 1.0),)
    return Route(
        prefix, "a", f"/{prefix}/", RouteKind.IDEMPOTENT, 5.0, 1.0, 2, 2, weighted_services
    )


# Change of each target touched: whether it is draining, or None if it is removed.
target_events = st.dictionaries(names, st.sampled_from((True, False, None)), min_size=1, max_size=3)
table_parts = st.tuples(st.dictionaries(names, names), st.sets(names)).map(
    lambda parts: (
        tuple(make_route(prefix, service) for prefix, service in parts[0].items()),
        tuple(RoutedService(name, "/health", 9, 1.0) for name in sorted(parts[1])),
    )
)


def make_target_changes(revision, unread):
    changed = tuple(make_target(name, flag) for name, flag in unread.items() if flag is not None)
    return TargetChanges(revision, changed, tuple(n for n, flag in unread.items() if flag is None))


def make_table(version, parts):
    return RouteTable(version, parts[0], parts[1], DEFAULT_LIMITS)


def sorted_parts(table):
    return table.version, sorted(table.routes, key=str), sorted(table.services, key=str)


class DeltaTest(unittest.TestCase):
    @given(table_parts, table_parts)
    def test_table(self, old_parts, new_parts):
        """Guards against a route that is left over or missing after a delta is applied."""
        old, new = make_table(3, old_parts), make_table(9, new_parts)
        plain = packing.to_plain(updates.table_delta(old, new))
        applied = updates.apply_table_delta(old, packing.from_plain(TableDelta, plain))
        self.assertEqual(sorted_parts(applied), sorted_parts(new))


class ReplicationTest(unittest.TestCase):
    def setUp(self):
        self.origins = []

    def make_node(self):
        return SharedState(self.origins.append)

    @settings(max_examples=examples(120))
    @given(st.lists(st.tuples(target_events, table_parts), min_size=1, max_size=25), st.randoms())
    def test_lost_delayed_and_repeated_updates(self, history, rng):
        """Guards against nodes that differ at the same version or return to an older one.

        Two nodes watch the store and reach different revisions with the same changes. Their updates
        are lost, delayed and repeated on the way to three other nodes, which also fetch from each
        other at random, as they do after pings.
        """
        first, second, *others = nodes = [self.make_node() for _ in range(5)]
        for watcher in (first, second):
            watcher.on_targets(TargetList(StateVersion(9, 1), ()))
        content, in_flight, pending = {}, [], {first: {}, second: {}}
        expected_targets = {}
        for index, (changes, parts) in enumerate(history):
            revision = 10 + 3 * index
            content.update(changes)
            for later in range(revision, revision + 3):
                expected_targets[later] = {
                    make_target(n, f) for n, f in content.items() if f is not None
                }
            for watcher, unread in pending.items():
                unread.update(changes)
                if rng.random() < 0.4 and index < len(history) - 1:
                    continue
                before = watcher.state_versions
                watcher.on_target_changes(make_target_changes(revision + rng.randrange(3), unread))
                watcher.on_table(make_table(revision, parts))
                unread.clear()
                in_flight += [watcher.update_since(before)] * rng.choice((0, 1, 2))
            for node in others:
                known = node.state_versions
                if in_flight and rng.random() < 0.7:
                    node.apply(rng.choice(in_flight), "n0")
                if rng.random() < 0.3:
                    node.apply(rng.choice(nodes).update_since(node.state_versions), "n1")
                self.assertFalse(known.table > node.state_versions.table)
                self.assertFalse(known.targets > node.state_versions.targets)
            for node in nodes:
                held = node.registry.target_list
                if held.version.revision >= 10:
                    self.assertEqual(set(held.targets), expected_targets[held.version.revision])
        for node in others:
            node.apply(first.update_since(node.state_versions), "n0")
            self.assertEqual(node.state_versions.table, first.state_versions.table)
            self.assertEqual(sorted_parts(node.table), sorted_parts(first.table))

    def test_one_change_of_many_targets_is_small(self):
        """Guards against whole lists sent to each node for each change (142 VMs, 129 targets)."""
        node = self.make_node()
        before = tuple(make_target(f"t{index}", False) for index in range(129))
        node.on_targets(TargetList(StateVersion(10, 1), before))
        known = node.state_versions
        node.on_target_changes(TargetChanges(11, (), ("t0",)))
        update = node.update_since(known)
        self.assertTrue(update.has_only_deltas)
        self.assertLess(len(str(packing.to_plain(update))), 200)
        self.assertFalse(node.update_since(StateVersions()).has_only_deltas)

    def test_unsettled_list_is_sent_as_a_snapshot(self):
        """Guards against a delta applied to a list that differs although its version is the same.

        Two nodes that lose the store at different versions hold back different removals.
        """
        node = self.make_node()
        node.on_targets(TargetList(StateVersion(10, 1), (make_target("a", False),)))
        node.on_incomplete_targets(TargetList(StateVersion(12, 1), ()))
        known = node.state_versions
        node.on_targets(TargetList(StateVersion(13, 1), ()))
        node.on_target_changes(TargetChanges(14, (), ("a",)))
        self.assertIsInstance(node.update_since(known).targets, TargetList)

    def test_delta_for_an_unsettled_list(self):
        """Guards against a held-back removal that never happens, as no later delta repeats it."""
        node = self.make_node()
        node.on_targets(TargetList(StateVersion(10, 1), (make_target("a", False),)))
        node.on_incomplete_targets(TargetList(StateVersion(12, 1), ()))
        delta = TargetDelta(StateVersion(11, 1), StateVersion(13, 1), (), ("b",))
        node.apply(StateUpdate(targets=delta), "n1")
        self.assertEqual(node.state_versions.targets, StateVersion(12, 0))

    def test_delta_with_an_unknown_base_is_ignored(self):
        """Guards against a delta applied to the wrong version."""
        node = self.make_node()
        node.on_targets(TargetList(StateVersion(10, 1), (make_target("a", False),)))
        delta = TargetDelta(StateVersion(11, 1), StateVersion(12, 1), (), ("a",))
        node.apply(StateUpdate(targets=delta), "n1")
        self.assertEqual(node.state_versions.targets, StateVersion(10, 1))
        self.assertEqual(self.origins, [ChangeOrigin.STORE])

    def test_origin_of_updates(self):
        """Guards against each node broadcasting again what it received from another node."""
        first, second = self.make_node(), self.make_node()
        first.on_targets(TargetList(StateVersion(10, 1), (make_target("a", False),)))
        second.apply(first.update_since(StateVersions()), "n0")
        known = first.state_versions
        first.on_target_changes(TargetChanges(11, (), ("a",)))
        second.apply(first.update_since(known), "n0")
        expected = [
            ChangeOrigin.STORE,
            ChangeOrigin.PEER_SNAPSHOT,
            ChangeOrigin.STORE,
            ChangeOrigin.PEER_DELTA,
        ]
        self.assertEqual(self.origins, expected)
