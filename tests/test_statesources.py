"""Tests of the choice of the nodes from which the shared state is fetched."""

import random
import unittest

from nose2.tools import params

from orioleloft_core import statesources
from orioleloft_core.messages import NodeState, StateVersions, StoreAccess
from orioleloft_core.registry import StateVersion

SOON = 0.0
LATER = statesources.REMOTE_FETCH_DELAY_S
AT_LAST = statesources.MAX_FETCH_WAIT_S


def state(name, zone, table, targets=1):
    versions = StateVersions(table, StateVersion(targets, 1))
    return NodeState(name, name, zone, 1, 0, True, False, False, StoreAccess.READY, versions)


OWN = state("own", "a", 4)
LOCAL = state("local", "a", 5)
REMOTE = state("remote", "b", 5)
OLD_TABLE = state("old table", "a", 4, targets=9)
BETWEEN = state("between", "a", 5)
NEWEST = state("newest", "b", 6)


def choose(ahead, waited=SOON, announced=False, zone_size=2, seed=1):
    rng = random.Random(seed)
    chosen = statesources.choose_sources(
        OWN,
        ahead,
        zone_size=zone_size,
        waited=waited,
        is_directly_announced=announced,
        rng=rng,
    )
    return {source.name for source in chosen}


class StateSourcesTest(unittest.TestCase):
    @params(
        ("its own zone first", [LOCAL, REMOTE], SOON, False, {"local"}),
        ("not yet from another zone", [REMOTE], SOON, False, set()),
        ("from another zone later", [REMOTE], LATER, False, {"remote"}),
        ("from another zone if asked to", [REMOTE], SOON, True, {"remote"}),
        ("not from one that has the old table", [OLD_TABLE, LOCAL], SOON, False, {"local"}),
        ("targets alone", [OLD_TABLE], SOON, False, {"old table"}),
        ("the newest table", [BETWEEN, NEWEST], LATER, False, {"newest"}),
        ("nobody ahead", [], AT_LAST, True, set()),
    )
    def test_choice(self, name, ahead, waited, announced, expected):
        """Guards against a node that fetches the targets, or an old table, in place of a change."""
        self.assertEqual(choose(ahead, waited, announced), expected, name)

    @params((56, 1), (56, 3), (200, 1))
    def test_load_of_a_source(self, zone_size, source_count):
        """Guards against all nodes of a zone that fetch a large change from the same node at once.

        With 224 nodes one of them served 109 transfers after it had taken over the store watch.
        """
        ahead = [state(f"h{index}", "a", 5) for index in range(source_count)]
        fetching = sum(
            bool(choose(ahead, zone_size=zone_size, seed=seed)) for seed in range(zone_size)
        )
        self.assertLessEqual(fetching, 4 * statesources.FETCHES_PER_STEP * source_count)
        self.assertGreater(fetching, 0)

    def test_wait_ends(self):
        """Guards against a node that is never chosen to fetch a change."""
        for seed in range(100):
            self.assertEqual(choose([LOCAL], AT_LAST, zone_size=1000, seed=seed), {"local"})
