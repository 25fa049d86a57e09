"""Start-up of a node: it gets the shared state, joins the store watch and registers itself."""

import asyncio
import logging
import math
import random
from collections.abc import Awaitable, Callable

from orioleloft_core.entrysettings import EntrySettings
from orioleloft_core.messages import StoreAccess
from orioleloft_core.rollouts import Rollouts
from orioleloft_core.updates import StateUpdate
from orioleloftd.crasharchive import CrashArchive
from orioleloftd.logs import log_event
from orioleloftd.noderegistrar import NodeRegistrar
from orioleloftd.peerprotocol import PeerProtocol
from orioleloftd.sharedstate import SharedState
from orioleloftd.startupgate import StartupGate
from orioleloftd.storesync import Store, StoreError, StoreSync

# When the whole fleet starts for the first time, a node waits for this delay plus a random part of
# the jitter before it reads the store itself, in seconds. All nodes start within 0.3 s, so by then
# they exchange pings and the watchers have read the store for all.
FIRST_START_DELAY_S = 2.5
FIRST_START_JITTER_S = 1.0
# Time for which a restarted node waits for its seeds before it reads the store as well, in seconds.
# A running seed answers within 10 ms, and a read that is not needed is billed.
SEED_HEAD_START_S = 0.02
# Time for which a restarted node waits for its seeds if the store cannot be read, in seconds. After
# that it takes itself to be alone and offers to watch the store.
SEED_TIMEOUT_S = 0.1
# Time after which a node that got the state from a peer has received pings from enough nodes to
# decide whether it is a watcher, in seconds.
MEMBERSHIP_DISCOVERY_S = 2.0

_log = logging.getLogger(__name__)


class Bootstrap:
    """Runs the start-up of a node once.

    Args:
        settings: settings of this node.
        state: shared state of this node.
        gate: tells when the shared state is complete.
        is_ready: returns whether the node has the shared state and is not stopping.
        peers: asks the seeds, and announces the node's access to the store.
        store: client of the store.
        store_sync: the store watch.
        crash_archive: reads and saves the blocked requests.
        registrar: registers the node in the store.
        read_rollouts: reads the orders from the store; returns None without roll-outs.
        spawn: runs a coroutine as a background task.
        clock: returns seconds of the node's clock.
        rng: random number generator for jitter.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        state: SharedState,
        gate: StartupGate,
        is_ready: Callable[[], bool],
        peers: PeerProtocol,
        store: Store,
        store_sync: StoreSync,
        crash_archive: CrashArchive,
        registrar: NodeRegistrar,
        read_rollouts: Callable[[], Awaitable[Rollouts | None]],
        spawn: Callable[[Awaitable[None]], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._state = state
        self._gate = gate
        self._is_ready = is_ready
        self._peers = peers
        self._store = store
        self._store_sync = store_sync
        self._crash_archive = crash_archive
        self._registrar = registrar
        self._read_rollouts = read_rollouts
        self._spawn = spawn
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Gets the shared state, joins the store watch, and registers the node until cancelled."""
        self._peers.fetch_from_seeds(self._settings.seeds, not self._settings.is_fleet_bootstrap)
        if self._settings.is_fleet_bootstrap:
            await self._wait_for_first_start()
        else:
            await self._wait_for_seeds_or_store()
        self._store_sync.start()
        if self._is_ready():
            # Other nodes are running. Whether this node is a watcher is known once their pings
            # arrive.
            await asyncio.sleep(MEMBERSHIP_DISCOVERY_S)
        # From here on this node may be selected as a watcher.
        self._peers.update(store=StoreAccess.READY)
        self._spawn(self._crash_archive.run())
        await self._registrar.run()

    async def _wait_for_first_start(self) -> None:
        """Waits for the state from the watchers, and reads the store if there is none."""
        delay = FIRST_START_DELAY_S + self._rng.random() * FIRST_START_JITTER_S
        if not await self._gate.wait(self._clock() + delay):
            await self._read_initial_state()

    async def _wait_for_seeds_or_store(self) -> None:
        """Waits for the state from a seed or from the store, whichever supplies it first.

        An answer of a seed that comes after the read still replaces older parts of the state.
        """
        started_at = self._clock()
        if await self._gate.wait(started_at + SEED_HEAD_START_S):
            return
        loop = asyncio.get_running_loop()
        reading = loop.create_task(self._read_initial_state())
        completing = loop.create_task(self._gate.wait(math.inf))
        try:
            await asyncio.wait((reading, completing), return_when=asyncio.FIRST_COMPLETED)
        finally:
            completing.cancel()
            reading.cancel()
        if reading.done():
            reading.result()
        await self._gate.wait(started_at + SEED_TIMEOUT_S)

    async def _read_initial_state(self) -> None:
        """Reads the shared state from the store because no peer has supplied it.

        Every node does so after a loss of all power. A stale read costs a tenth of a call, and
        the watchers disseminate newer versions.
        """
        try:
            # The blocks come first, as with the rest this node begins to serve.
            _, rollouts, (table, _), targets, closed = await asyncio.gather(
                self._crash_archive.load(),
                self._read_rollouts(),
                self._store.read_table(allow_stale=True),
                self._store.read_targets(allow_stale=True),
                self._store.read_closed_zones(allow_stale=True),
            )
        except StoreError as error:
            log_event(_log, "state not read", logging.WARNING, reason=str(error))
            return
        except Exception:
            # The bootstrap goes on to the watch, which reads the store again.
            _log.exception("initial read failed unexpectedly")
            return
        self._state.apply_initial(StateUpdate(table, targets, closed, rollouts))
