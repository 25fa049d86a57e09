"""Tests of the watcher election on the states of all nodes, without a network."""

import dataclasses
import random
import unittest

from orioleloft_core import watcherelection
from orioleloft_core.messages import NodeState, StateVersions, StoreAccess
from orioleloft_core.watcherelection import WatcherElection

LATER_S = watcherelection.LATE_TRIES_PERIOD_S + 1


def make_states(rng, accesses):
    """Returns one state for each store access, in random zones."""
    return [
        NodeState(
            f"n{index}", f"n{index}", rng.choice("abc"), 1, 0, True, False, False, access, VERSIONS
        )
        for index, access in enumerate(accesses)
    ]


VERSIONS = StateVersions()


def is_watcher(states, index):
    """Whether the node at an index is a watcher, long after the last change."""
    election = WatcherElection()
    election.update_states(0.0, states[index], states[:index] + states[index + 1 :])
    return election.is_watcher(LATER_S)


class WatcherElectionTest(unittest.TestCase):
    def test_watcher_stays_after_its_first_answer(self):
        """Guards against a node that becomes and ceases to be a watcher with each call.

        While one node had lost the store, a fourth watcher was allowed among ready nodes but not
        among those that read the store. On cheville-dakar scale-1 it read two complete lists every
        8 ms for 12 s: 2,012 calls in place of 247.
        """
        rng = random.Random(9)
        choices = [StoreAccess.READY, StoreAccess.READING, StoreAccess.LOST, StoreAccess.STARTING]
        for _ in range(2000):
            states = make_states(rng, rng.choices(choices, (6, 2, 1, 1), k=rng.randint(1, 20)))
            for index, state in enumerate(states):
                if state.store is not StoreAccess.READY or not is_watcher(states, index):
                    continue
                reading = dataclasses.replace(state, store=StoreAccess.READING)
                after = [*states[:index], reading, *states[index + 1 :]]
                self.assertTrue(is_watcher(after, index), f"{index} of {states}")

    def test_spare_watcher_ends(self):
        """Guards against a spare watcher that stays after all nodes have the store again."""
        rng = random.Random(10)
        states = make_states(rng, [StoreAccess.READING] * 4 + [StoreAccess.READY] * 11)
        watchers = [index for index in range(15) if is_watcher(states, index)]
        self.assertEqual(len(watchers), watcherelection.WATCHER_COUNT)
