"""Tests of the time until a change of the configuration is in force at every node in touch.

Fleets of real nodes without sockets run in virtual time; see `standins.statefleet`. The store
confirms a change just after a third of the nodes, the readers of the store among them, have lost
their path to it or have died. The bound is the operators' `config_deadline`.
"""

import asyncio
import logging
import random
import unittest

from nose2.tools import params

from standins.statefleet import StateFleet, make_table
from standins.virtualtime import run_in_virtual_time

# Routes in a change that exceeds a datagram, and in one that does not.
LARGE = 1400
SMALL = 21
# Share of the nodes that lose the store or die.
FAILED_SHARE = 0.35
# Time from the failure to the confirmation of the change, in seconds.
CONFIRMED_AFTER_S = 0.05
# Time for which the nodes run before the failure, at most, in seconds: the longest watch.
MAX_START_S = 4.0
# Time for which a change may spread once one node has it, in seconds; the rest of the shortest
# deadline is for noticing that the readers of the store are gone.
SPREAD_S = 1.0


def lose_path_to_store(node):
    node.is_cut_from_store = True


def die(node):
    node.is_down = True


async def delay_of_change(fleet, seed, routes, fail, share):
    """Returns the longest time until a change is in force at a node in touch, in seconds."""
    rng = random.Random(seed)
    await fleet.start()
    await asyncio.sleep(rng.uniform(0.0, MAX_START_S))
    readers = fleet.watchers()
    others = [node for node in fleet.nodes.values() if node not in readers]
    rng.shuffle(others)
    for node in (readers + others)[: round(share * len(fleet.nodes))]:
        fail(node)
    await asyncio.sleep(CONFIRMED_AFTER_S)
    confirmed_at = asyncio.get_running_loop().time()
    fleet.store.publish(make_table(2, routes))
    await asyncio.sleep(10.0)
    return max(node.in_force.get(2, 1e9) for node in fleet.in_touch()) - confirmed_at


async def spread_time(fleet, fail):
    """Returns the time between the first and the last node in touch that has a change."""
    await fleet.start()
    readers = fleet.watchers()
    others = [node for node in fleet.nodes.values() if node not in readers]
    for node in fleet.rng.sample(others, round(FAILED_SHARE * len(fleet.nodes))):
        fail(node)
    fleet.store.publish(make_table(2, LARGE))
    await asyncio.sleep(6.0)
    times = [node.in_force.get(2, 1e9) for node in fleet.in_touch()]
    return max(times) - min(times)


def lose_all_links(node):
    node.is_cut = True


def stay(node):
    pass


class ConfigurationDelayTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, count, zones, deadline, seed, routes, fail, share=FAILED_SHARE):
        async def play():
            fleet = StateFleet(count, zones, seed)
            return await delay_of_change(fleet, seed, routes, fail, share)

        self.assertLessEqual(run_in_virtual_time(play()), deadline)

    @params(
        (15, 3, 2.0, 1, LARGE),
        (98, 3, 2.5, 1, LARGE),
        (98, 3, 2.5, 2, LARGE),
        (98, 3, 2.5, 2, SMALL),
        (224, 4, 2.5, 1, LARGE),
        (224, 4, 2.5, 1, SMALL),
        (312, 5, 3.0, 2, LARGE),
    )
    def test_readers_lose_the_store(self, count, zones, deadline, seed, routes):
        """Guards against a confirmed change that nobody reads while all readers are cut off."""
        self.check(count, zones, deadline, seed, routes, lose_path_to_store)

    @params((1, 0.6), (2, 0.6), (3, 0.6), (4, 0.6), (1, 0.9), (2, 0.9), (3, 0.9), (4, 0.9))
    def test_most_nodes_lose_the_store(self, seed, share):
        """Guards against nodes that wait for each other's answers before they try to read it.

        With 90 in 100 nodes cut off, a change was in force only after the cut had ended.
        """
        self.check(98, 3, 2.5, seed, LARGE, lose_path_to_store, share)

    @params(
        (15, 3, 2.0, 1, LARGE),
        (98, 3, 2.5, 2, LARGE),
        (224, 4, 2.5, 1, LARGE),
        (224, 4, 2.5, 2, LARGE),
        (312, 5, 3.0, 1, LARGE),
    )
    def test_readers_die(self, count, zones, deadline, seed, routes):
        """Guards against a confirmed change that is late because all readers of the store died."""
        self.check(count, zones, deadline, seed, routes, die)

    @params(
        (98, 3, stay, 0.0),
        (224, 4, stay, 0.0),
        (98, 3, die, 0.0),
        (224, 4, lose_all_links, 0.0),
        (224, 4, stay, 0.03),
    )
    def test_large_change_spreads(self, count, zones, fail, loss):
        """Guards against a large change that most nodes hear of by pings only."""

        async def play():
            return await spread_time(StateFleet(count, zones, seed=3, loss=loss), fail)

        self.assertLessEqual(run_in_virtual_time(play()), SPREAD_S)

    @params(("silent", ["n1", "n0"], 0.4), ("two silent", ["n1", "n2", "n0"], 0.7))
    def test_source_that_does_not_answer(self, name, sources, limit):
        """Guards against a node that waits for the timeout of each source that is down."""

        async def play():
            fleet = StateFleet(4, 1, seed=1)
            fleet.nodes["n0"].state.on_table(make_table(2, LARGE))
            fleet.nodes["n1"].is_cut = fleet.nodes["n2"].is_cut = True
            node = fleet.nodes["n3"]
            await node.peers._fetch_from_any(sources)
            return node.in_force.get(2)

        fetched_at = run_in_virtual_time(play())
        self.assertIsNotNone(fetched_at)
        self.assertLess(fetched_at, limit, name)
