"""Registration of all nodes in the store, from which a partitioned fleet finds itself again."""

import asyncio
import logging
import random
from collections.abc import Callable

from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import NodeList
from orioleloftd.logs import log_event
from orioleloftd.storesync import Store, StoreError, StoreSync

# Interval between checks of the registered nodes, in seconds. Nodes normally find each other by
# pings; the registered list is needed only to rejoin the parts of a partitioned fleet.
REGISTRATION_PERIOD_S = 15.0
# Delay between a node's first check and the next one, which may write, in seconds; by then it
# receives pings from the fleet and knows whether it is a watcher.
FIRST_REGISTRATION_DELAY_S = 4.0

_log = logging.getLogger(__name__)


class NodeRegistrar:
    """Reconciles the registered nodes with the membership while this node watches the store.

    Args:
        store: client of the store.
        fleet: membership of this node.
        sync: tells whether this node can read the store.
        clock: returns seconds of the node's clock.
        rng: random number generator for jitter.
    """

    def __init__(
        self,
        store: Store,
        fleet: Fleet,
        sync: StoreSync,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._store_sync = sync
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Checks the registered nodes periodically until it is cancelled."""
        is_first = True
        while True:
            pause = FIRST_REGISTRATION_DELAY_S if is_first else REGISTRATION_PERIOD_S
            # Only the watch retries a store that does not answer.
            if self._store_sync.is_reading:
                try:
                    await self._reconcile(may_write=not is_first)
                    is_first = False
                except StoreError as error:
                    log_event(_log, "nodes not read", logging.WARNING, reason=str(error))
                except Exception:
                    # A defect with one entry must not end the registration for good.
                    _log.exception("registration failed unexpectedly")
            await asyncio.sleep(pause * self._rng.uniform(0.8, 1.2))

    async def _reconcile(self, may_write: bool) -> None:
        registered = await self._store.read_registered_nodes()
        for node in registered.nodes:
            if self._fleet.add(node):
                log_event(_log, "node learned", node=node.name, host=node.host)
        nodes = self._fleet.nodes_to_register(self._clock(), registered.nodes)
        if not may_write or set(nodes) == set(registered.nodes):
            return
        is_written = await self._store.write_registered_nodes(NodeList(nodes, registered.revision))
        log_event(_log, "nodes registered", count=len(nodes), is_written=is_written)
