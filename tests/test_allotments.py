"""Tests of the allotments of tenants over a fleet of nodes, without sockets."""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from orioleloft_core.routes import Tenant
from standins.allotmentfleet import AllotmentFleet
from standins.virtualtime import run_in_virtual_time
from tests.support.examples import examples

# Time after which all holders hold their parts and the buckets of large tenants are full.
WARM_UP_S = 8.0


def tenant(name: str, rate_per_s: float, burst: float) -> Tenant:
    return Tenant(name, (), None, rate_per_s, burst)


class FaultyDay:
    """Requests at several times the limit, while nodes, links and limits fail and change."""

    def __init__(self, seed, rate, burst, *, whole_rate_each=False):
        self.rng = random.Random(seed)
        self.tenant = tenant("t", rate, burst)
        self.fleet = AllotmentFleet(12, seed, [self.tenant], whole_rate_each=whole_rate_each)
        self.fleet.loss = self.rng.choice([0.0, 0.05, 0.3])
        self.fleet.delay_s = self.rng.choice([(0.0005, 0.002), (0.001, 0.05), (0.001, 2.0)])
        self.longest_pause_s = self.rng.choice([2.0, 6.0])
        self.added = 0

    async def play(self, seconds):
        fleet = self.fleet
        load = min(600.0, 4 * self.tenant.rate_per_s + 20)
        sending = asyncio.get_running_loop().create_task(self.send(seconds, load))
        end = fleet.now + seconds
        while fleet.now < end:
            await asyncio.sleep(self.rng.uniform(0.3, self.longest_pause_s))
            self.rng.choice(
                [self.cut, self.cut, self.heal, self.restart, self.restart_all, self.freeze]
                + [self.change, self.change_often, self.add_or_remove, self.burst, self.store]
            )()
        await sending

    async def send(self, seconds, load):
        while seconds > 0:
            names = self.rng.sample(sorted(self.fleet.zones), self.rng.choice([1, 3, 9]))
            # Pauses fill the buckets, which are then spent at once.
            period = self.rng.choice([1.0, 2.0, 4.0])
            if self.rng.random() < 0.3:
                await asyncio.sleep(period)
                self.burst()
            else:
                await self.fleet.send(period, load, self.tenant, names, not_run_share=0.1)
            seconds -= period

    def cut(self):
        part = {name: self.rng.randrange(2) for name in self.fleet.zones}
        if self.rng.random() < 0.5:
            part = {name: int(zone == "z0") for name, zone in self.fleet.zones.items()}
        is_one_way = self.rng.random() < 0.4
        self.fleet.is_cut = lambda sender, receiver: (
            part.get(sender, 0) > part.get(receiver, 0)
            or (not is_one_way and part.get(sender, 0) < part.get(receiver, 0))
        )

    def heal(self):
        self.fleet.is_cut = lambda sender, receiver: False

    def restart(self):
        self.fleet.start(self.rng.choice(sorted(self.fleet.zones)))

    def restart_all(self):
        for name in self.fleet.zones:
            self.fleet.start(name)

    def freeze(self):
        self.fleet.freeze(self.rng.choice(sorted(self.fleet.zones)), self.rng.uniform(0.1, 4.0))

    def change(self):
        factor = self.rng.choice([0.0, 0.5, 1.0, 1.0, 2.0])
        changed = tenant("t", factor * self.tenant.rate_per_s, factor * self.tenant.burst)
        self.fleet.change([changed] if factor else [], self.rng.choice([0.1, 2.5]))

    def change_often(self):
        for index in range(10):
            tenants = [self.tenant] if index % 2 else []
            asyncio.get_running_loop().call_later(0.4 * index, self.fleet.change, tenants, 0.3)

    def add_or_remove(self):
        if len(self.fleet.zones) > 8 and self.rng.random() < 0.5:
            self.fleet.remove(self.rng.choice(sorted(self.fleet.zones)))
            return
        # A node is added while the others can hear it; see docs/design/allotments.md.
        self.heal()
        self.added += 1
        self.fleet.add(f"a{self.added}", f"z{self.rng.randrange(3)}")

    def burst(self):
        for _ in range(min(400, int(2 * self.tenant.burst) + 30)):
            self.fleet.request(self.rng.choice(sorted(self.fleet.zones)), self.tenant)

    def store(self):
        self.fleet.is_store_up = not self.fleet.is_store_up


class BoundTest(unittest.TestCase):
    @settings(max_examples=examples(20), deadline=None, derandomize=True)
    @given(
        st.integers(0, 10**6),
        st.sampled_from([(0.2, 0.0), (1.0, 5.0), (7.0, 0.0), (40.0, 200.0), (100.0, 20.0)]),
    )
    def test_bound_over_a_faulty_fleet(self, seed, limit):
        """Guards against parts or unspent tokens that add up to more than the bound."""
        day = run_in_virtual_time(self.play(seed, *limit))
        self.assertLessEqual(day.fleet.greatest_excess("t"), 0.0)

    async def play(self, seed, rate, burst, **options):
        day = FaultyDay(seed, rate, burst, **options)
        await day.play(20.0)
        return day

    @params((1.0, 5.0), (40.0, 20.0), (100.0, 50.0))
    def test_whole_rate_at_each_node_breaks_the_bound(self, rate, burst):
        """Guards against a fleet model too mild to tell zone holders from a bucket at each node."""
        day = run_in_virtual_time(self.play(3, rate, burst, whole_rate_each=True))
        self.assertGreater(day.fleet.greatest_excess("t"), 0.0)
