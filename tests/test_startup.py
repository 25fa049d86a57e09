"""Tests of the start-up of a node: seeds and store that answer late or never, waiting requests."""

import asyncio
import random
import types
import unittest
from unittest import mock

from nose2.tools import params

from orioleloft_core.entrysettings import Endpoint, EntrySettings
from orioleloft_core.messages import StoreAccess
from orioleloft_core.registry import ClosedZones, StateVersion, TargetList
from orioleloft_core.routes import DEFAULT_LIMITS, RouteTable
from orioleloft_core.updates import StateUpdate
from orioleloftd import bootstrap, startupgate
from orioleloftd.bootstrap import Bootstrap
from orioleloftd.sharedstate import SharedState
from orioleloftd.startupgate import StartupGate
from orioleloftd.storesync import StoreError
from standins.virtualtime import run_in_virtual_time

ENDPOINT = Endpoint("127.0.0.1", 1)
STORE_VERSION, SEED_VERSION = 3, 4


class StartingNode:
    """The components of a node that starts, with seeds and a store that answer at given times.

    Args:
        seed_at: when a seed supplies the state, in seconds from the start, or None for never.
        store_takes: duration of a read of the store in seconds, or None if every read fails.
        is_first: whether the whole fleet starts for the first time.
    """

    def __init__(self, seed_at, store_takes, is_first=False):
        loop = asyncio.get_running_loop()
        self.events = []
        self.ready_at = None
        self._seed_at = seed_at
        self._store_takes = store_takes
        self.state = SharedState(self._on_change)
        self.gate = StartupGate(lambda: self.state.is_complete, loop.time, not is_first)
        settings = EntrySettings(
            "n0", "za", *[ENDPOINT] * 5, is_fleet_bootstrap=is_first, seeds=(ENDPOINT,)
        )
        store = types.SimpleNamespace(
            read_table=lambda allow_stale: self._read("table", (table(STORE_VERSION), 1)),
            read_targets=lambda allow_stale: self._read(
                "targets", TargetList(StateVersion(5, 1), ())
            ),
            read_closed_zones=lambda allow_stale: self._read(
                "zones", ClosedZones(StateVersion(5, 1), ())
            ),
        )
        rng = random.Random(1)
        rng.random = lambda: 0.0
        self.bootstrap = Bootstrap(
            settings=settings,
            state=self.state,
            gate=self.gate,
            is_ready=lambda: self.state.is_complete,
            peers=types.SimpleNamespace(
                fetch_from_seeds=self._fetch_from_seeds, update=self._update
            ),
            store=store,
            store_sync=types.SimpleNamespace(start=lambda: None),
            crash_archive=types.SimpleNamespace(load=self._load_blocks, run=mock.Mock()),
            registrar=types.SimpleNamespace(run=mock.AsyncMock()),
            read_rollouts=mock.AsyncMock(return_value=None),
            spawn=mock.Mock(),
            clock=loop.time,
            rng=rng,
        )

    def _on_change(self, origin):
        if self.state.is_complete and self.ready_at is None:
            self.ready_at = round(asyncio.get_running_loop().time(), 3)
            self.events.append(f"ready with {self.state.table.version}")
        self.gate.on_state_change()

    def _fetch_from_seeds(self, seeds, includes_members):
        update = StateUpdate(table(SEED_VERSION), TargetList(StateVersion(6, 1), ()), None)
        if self._seed_at is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._seed_at, lambda: self.state.apply(update, "seed"))

    def _update(self, store):
        self.events.append((store, round(asyncio.get_running_loop().time(), 3)))

    async def _load_blocks(self):
        await asyncio.sleep(2 * (self._store_takes or 0))
        self.events.append("blocks")

    async def _read(self, name, content):
        if self._store_takes is None:
            raise StoreError("down")
        await asyncio.sleep(self._store_takes)
        return content


def table(version):
    return RouteTable(version, (), (), DEFAULT_LIMITS)


class BootstrapTest(unittest.TestCase):
    @params(
        # A running seed: the store is not read at all.
        (0.015, 0.005, 0.015, ["ready with 4"]),
        # A slow seed, as on a VM with a third of a core: the read of the store is under way.
        (0.080, 0.005, 0.030, ["blocks", "ready with 3"]),
        # A slow store: the seed supplies the state first, and the read is given up.
        (0.030, 0.400, 0.030, ["ready with 4"]),
        # No power anywhere: only the store answers.
        (None, 0.005, 0.030, ["blocks", "ready with 3"]),
        # The store fails at once; a seed that answers late is still waited for.
        (0.090, None, 0.090, ["blocks", "ready with 4"]),
        (None, None, None, ["blocks"]),
    )
    def test_first_source_wins(self, seed_at, store_takes, ready_at, events):
        """Guards against a restarted node that waits for one source while another has the state.

        It also guards against serving before the blocked requests are known.
        """

        async def run():
            node = StartingNode(seed_at, store_takes)
            await node.bootstrap.run()
            return node

        node = run_in_virtual_time(run())
        self.assertEqual(node.ready_at, ready_at)
        # A node that knows of others waits for their pings before it may be a watcher.
        alone_at = round(bootstrap.SEED_TIMEOUT_S, 3)
        offered_at = alone_at if ready_at is None else ready_at + bootstrap.MEMBERSHIP_DISCOVERY_S
        self.assertEqual(node.events, [*events, (StoreAccess.READY, round(offered_at, 3))])

    @params((1.0, 1.0, SEED_VERSION), (None, 2.52, STORE_VERSION))
    def test_first_start(self, seed_at, ready_at, version):
        """Guards against all nodes of a new fleet that read the store at once."""

        async def run():
            node = StartingNode(seed_at, 0.01, is_first=True)
            await node.bootstrap.run()
            return node

        node = run_in_virtual_time(run())
        self.assertEqual((node.ready_at, node.state.table.version), (ready_at, version))


class StartupGateTest(unittest.TestCase):
    @params(
        # Time of the state, deadline of the request, whether and when the request goes on.
        (0.2, 5.0, True, 0.2),
        (0.0, 5.0, True, 0.0),
        (0.7, 5.0, False, 0.5),
        (0.3, 0.25, False, 0.2),
        (0.3, 0.01, False, 0.0),
        (0.3, -1.0, False, 0.0),
    )
    def test_request_that_arrives_early(self, state_at, deadline, is_complete, ended_at):
        """Guards against a 503 just before the state is known, and a wait past the deadline."""

        async def run():
            loop = asyncio.get_running_loop()
            gate = StartupGate(lambda: loop.time() >= state_at, loop.time, True)
            loop.call_at(state_at, gate.on_state_change)
            return await gate.wait_until_complete(deadline), round(loop.time(), 3)

        self.assertEqual(run_in_virtual_time(run()), (is_complete, ended_at))

    @params((True, startupgate.MAX_WAITING_REQUESTS), (False, 0))
    def test_bound_on_waiting_requests(self, admits_requests, expected):
        """Guards against memory that grows with the requests which wait, and against a leak."""

        async def run():
            loop = asyncio.get_running_loop()
            gate = StartupGate(lambda: False, loop.time, admits_requests)
            for _ in range(2):
                count = startupgate.MAX_WAITING_REQUESTS + 20
                tasks = [loop.create_task(gate.wait_until_complete(9.0)) for _ in range(count)]
                await asyncio.sleep(0.01)
                waiting = [task for task in tasks if not task.done()]
                self.assertEqual(len(waiting), expected)
                # The callers leave.
                for task in waiting:
                    task.cancel()
                await asyncio.sleep(0.01)

        run_in_virtual_time(run())
