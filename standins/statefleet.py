"""Nodes that share one configuration through the store and each other, in virtual time.

Each node runs the entry node's code for membership, watcher election, the watch of the store,
dissemination and state transfers. The store, the network and the links of the nodes are emulated:
datagrams are late and may be lost, nodes die or are cut off, and transfers share the sender's link.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine

from orioleloft_core import membership, messages
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    NodeState,
    OutgoingDatagram,
    SharedStateUpdate,
    StateVersions,
    StoreAccess,
)
from orioleloft_core.registry import ClosedZones, StateVersion, TargetList
from orioleloft_core.routes import (
    DEFAULT_LIMITS,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
)
from orioleloft_core.updates import StateUpdate
from orioleloftd import peering
from orioleloftd.connections import ExchangeError
from orioleloftd.peering import (
    FETCH_TIMEOUT_S,
    MAX_DATAGRAM_BYTES,
    FetchedState,
    StateTransfer,
)
from orioleloftd.peerprotocol import PeerProtocol
from orioleloftd.sharedstate import ChangeOrigin, SharedState
from orioleloftd.storesync import (
    CALL_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    WATCH_TIMEOUT_MARGIN_S,
    StoreError,
    StoreSync,
    TargetChanges,
)

# Time for which all nodes run before anything changes, in seconds.
WARM_UP_S = 5.0
# Range of the time that a datagram takes, in seconds.
DATAGRAM_DELAY_S = (0.0005, 0.006)
# Range of the time that a node with a third of a core waits for the processor, in seconds.
SLOW_NODE_DELAY_S = (0.0, 0.03)
# Time of a call to the store, in seconds.
STORE_CALL_S = 0.004
# Link of a weak node and of all others, in bytes per second.
WEAK_LINK = 5e6 / 8
STRONG_LINK = 100e6 / 8
# Size of datagrams and transfers without a table, in bytes.
SMALL_BYTES = 100


def _token(number: int) -> str:
    return f"{random.Random(number).getrandbits(40):x}"


def make_table(version: int, routes: int) -> RouteTable:
    """Returns a route table with this many routes to one service."""
    return RouteTable(
        version,
        tuple(
            Route(
                f"route-{_token(index)}",
                f"host-{index % 40}.example",
                f"/{_token(-index)}/",
                RouteKind.IDEMPOTENT,
                3.0,
                0.5,
                1,
                2,
                (WeightedService("s", 1.0),),
            )
            for index in range(routes)
        ),
        (RoutedService("s", "/health", 100, 2.0),),
        DEFAULT_LIMITS,
    )


class MemoryStore:
    """The platform's store with the route table only; each node calls it through a `StoreClient`.

    Attributes:
        table: the stored table.
        revision: revision of the store.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.revision = 1
        self._changed = asyncio.Event()

    def publish(self, table: RouteTable) -> None:
        """Writes a table, as an operator does."""
        self.table = table
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, revision: int, wait: float) -> None:
        """Waits until the store is past a revision, for some seconds at most."""
        try:
            async with asyncio.timeout(wait):
                while self.revision <= revision:
                    await self._changed.wait()
        except TimeoutError:
            return


class StoreClient:
    """Calls of one node to the store; implements what a `StateNode` needs of `storesync.Store`.

    Args:
        store: the store.
        is_cut: returns whether the node has no path to the store; a call then waits in vain.
    """

    # The store states no era.
    era = 0

    def __init__(self, store: MemoryStore, is_cut: Callable[[], bool]) -> None:
        self._store = store
        self._is_cut = is_cut

    async def probe(self) -> None:
        """See `storesync.Store`, as for the other calls."""
        await self._call(PROBE_TIMEOUT_S)

    async def read_table(self, allow_stale: bool = False) -> tuple[RouteTable | None, int]:
        """Reads the route table."""
        await self._call(CALL_TIMEOUT_S)
        return self._store.table, self._store.revision

    async def watch_table(self, revision: int, wait: float) -> tuple[RouteTable | None, int]:
        """Waits for a newer route table."""
        await self._call(wait + WATCH_TIMEOUT_MARGIN_S, self._store.wait_for_change(revision, wait))
        is_changed = self._store.revision > revision
        return (self._store.table if is_changed else None), self._store.revision

    async def read_targets(self, allow_stale: bool = False) -> TargetList:
        """Reads the targets, of which there are none."""
        await self._call(CALL_TIMEOUT_S)
        return TargetList(StateVersion(1, 1), ())

    async def watch_targets(self, revision: int, wait: float) -> TargetChanges:
        """Waits for changes of the targets, which never come."""
        await self._call(wait + WATCH_TIMEOUT_MARGIN_S, asyncio.sleep(wait))
        return TargetChanges(revision, (), ())

    async def read_closed_zones(self, allow_stale: bool = False) -> ClosedZones:
        """Reads the closed zones, of which there are none."""
        await self._call(CALL_TIMEOUT_S)
        return ClosedZones(StateVersion(1, 1), ())

    async def watch_closed_zones(self, revision: int, wait: float) -> int:
        """Waits for a change of the closed zones, which never comes."""
        await self._call(wait + WATCH_TIMEOUT_MARGIN_S, asyncio.sleep(wait))
        return revision

    async def _call(self, timeout: float, work: Awaitable[None] | None = None) -> None:
        """Takes the time of a call and of the work that the store does for it.

        Raises:
            StoreError: there was no answer in time.
        """
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(STORE_CALL_S)
                if work is not None:
                    await work
                if self._is_cut():
                    await asyncio.Event().wait()
        except TimeoutError:
            raise StoreError("no response") from None


class _NoCrashes:
    """Stands for `CrashDissemination`, which the configuration does not need."""

    async def fetch(self, host: str) -> None:
        """Has nothing to fetch."""

    def tick(self) -> None:
        """Has nothing to do."""


class StateNode:
    """One node of a `StateFleet`.

    Attributes:
        in_force: time at which each version came into force, by version.
    """

    def __init__(self, parent: "StateFleet", name: str, zone: str, is_weak: bool) -> None:
        self._parent = parent
        self.name = name
        self.zone = zone
        self.is_weak = is_weak
        self.is_down = False
        self.is_cut = False
        self.is_cut_from_store = False
        self.in_force: dict[int, float] = {}
        self._link_free_at = 0.0
        rng = random.Random(f"{parent.seed} {name}")
        clock = asyncio.get_running_loop().time
        state = NodeState(
            name, name, zone, 1, 0, True, False, False, StoreAccess.READY, StateVersions()
        )
        self.fleet = Fleet(state, rng)
        self.state = SharedState(self._on_change)
        self.peers = PeerProtocol(
            fleet=self.fleet,
            state=self.state,
            transport=self,
            exchange=self,
            reports=None,
            crashes=_NoCrashes(),
            rollouts=None,
            spawn=parent.spawn,
            clock=clock,
            rng=rng,
        )
        self.sync = StoreSync(
            StoreClient(
                parent.store, lambda: self.is_cut or self.is_cut_from_store or self.is_down
            ),
            self.state,
            lambda: not self.is_down and self.fleet.is_watcher(clock()),
            lambda access: self.peers.update(store=access),
            clock,
            rng,
        )
        self._rng = rng

    @property
    def table_version(self) -> int:
        """Version of the table in force."""
        return self.state.state_versions.table

    def _on_change(self, origin: ChangeOrigin) -> None:
        before = self.fleet.own_state
        self.fleet.set_state_versions(self.state.state_versions)
        if self.table_version not in self.in_force:
            self.in_force[self.table_version] = asyncio.get_running_loop().time()
        self.peers.on_state_change(origin, before.state_versions)

    async def run(self) -> None:
        """Runs the periodic work of the node until it dies."""
        await asyncio.sleep(self._rng.random() * membership.PING_PERIOD_S)
        self.sync.start()
        while not self.is_down:
            self.peers.tick()
            if self.fleet.is_watcher(asyncio.get_running_loop().time()):
                self._parent.spawn(self.sync.wake_waiting_tasks())
            await asyncio.sleep(membership.PING_PERIOD_S)
        self.sync.stop()

    # Datagrams; see `peering.DatagramEndpoint`.

    def send(self, outgoing: list[OutgoingDatagram]) -> bool:
        """Sends datagrams; returns False if any exceeds the size of a datagram."""
        is_all_sent = True
        for item in outgoing:
            if self._parent.size_of(item.datagram) > MAX_DATAGRAM_BYTES:
                is_all_sent = False
                continue
            self._parent.deliver(self, item)
        return is_all_sent

    def receive(self, datagram: messages.Datagram) -> None:
        """Processes a datagram unless the node is down."""
        if not self.is_down:
            self.peers.on_datagram(datagram)

    # Transfers; see `peering.StateExchange`.

    async def fetch(self, host: str, known: StateVersions, includes_members: bool) -> FetchedState:
        """Fetches what another node holds beyond the known versions."""
        source = self._parent.nodes[host]
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await self._parent.round_trip(self, source)
                update = source.state.update_since(known)
                size = self._parent.transfer_size(update)
                await source.occupy_link(size)
                return FetchedState(StateTransfer(update, ()), size)
        except TimeoutError:
            raise ExchangeError(f"no response from {host}", True) from None

    async def occupy_link(self, size: int) -> None:
        """Waits until this node has sent a response over its link, after those begun before."""
        now = asyncio.get_running_loop().time()
        rate = WEAK_LINK if self.is_weak else STRONG_LINK
        self._link_free_at = max(now, self._link_free_at) + size / rate
        await asyncio.sleep(self._link_free_at - now)


class StateFleet:
    """A fleet of nodes that starts with one table in force everywhere.

    Args:
        count: number of nodes.
        zones: number of availability zones.
        seed: seed of all choices.
        loss: share of the datagrams that are lost.
        weak_share: share of the nodes with a third of a core and a slow link.

    Attributes:
        nodes: the nodes by name.
        store: the platform's store.
    """

    def __init__(
        self, count: int, zones: int, seed: int, loss: float = 0.0, weak_share: float = 0.5
    ) -> None:
        self.seed = seed
        self.loss = loss
        self.rng = random.Random(seed)
        self.store = MemoryStore(make_table(1, 20))
        self._tasks: set[asyncio.Task] = set()
        self._sizes: dict[tuple[StateVersions, StateVersions], int] = {}
        self.nodes = {
            f"n{index}": StateNode(
                self, f"n{index}", f"z{index % zones}", self.rng.random() < weak_share
            )
            for index in range(count)
        }
        initial = StateUpdate(
            self.store.table,
            TargetList(StateVersion(1, 1), ()),
            ClosedZones(StateVersion(1, 1), ()),
        )
        for node in self.nodes.values():
            node.state.apply_initial(initial)
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.fleet.merge_state(other.fleet.own_state)

    async def start(self) -> None:
        """Starts all nodes and lets them run until the watchers wait for changes."""
        for node in self.nodes.values():
            self.spawn(node.run())
        await asyncio.sleep(WARM_UP_S)

    def spawn(self, coroutine: Coroutine) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def watchers(self) -> list[StateNode]:
        """Returns the nodes that read the store."""
        return [
            node
            for node in self.nodes.values()
            if node.fleet.own_state.store is StoreAccess.READING and not node.is_down
        ]

    def in_touch(self) -> list[StateNode]:
        """Returns the nodes that run and are connected to the others and to the store."""
        return [
            node
            for node in self.nodes.values()
            if not (node.is_down or node.is_cut or node.is_cut_from_store)
        ]

    def is_connected(self, first: StateNode, second: StateNode) -> bool:
        """Whether packets pass between two nodes."""
        return not (first.is_cut or second.is_cut or first.is_down or second.is_down)

    def deliver(self, sender: StateNode, item: OutgoingDatagram) -> None:
        """Delivers a datagram later, unless it is lost."""
        receiver = self.nodes[item.host]
        if not self.is_connected(sender, receiver) or self.rng.random() < self.loss:
            return
        delay = self.rng.uniform(*DATAGRAM_DELAY_S) + self._processing_delay(receiver)
        asyncio.get_running_loop().call_later(delay, receiver.receive, item.datagram)

    async def round_trip(self, client: StateNode, server: StateNode) -> None:
        """Waits for the request of a transfer; forever if there is no connection."""
        if not self.is_connected(client, server):
            await asyncio.Event().wait()
        delay = 2 * self.rng.uniform(*DATAGRAM_DELAY_S)
        await asyncio.sleep(delay + self._processing_delay(client) + self._processing_delay(server))

    def _processing_delay(self, node: StateNode) -> float:
        return self.rng.uniform(*SLOW_NODE_DELAY_S) if node.is_weak else 0.0

    def size_of(self, datagram: messages.Datagram) -> int:
        """Returns the size of a datagram, in bytes; all but updates of the table count as small."""
        if isinstance(datagram, SharedStateUpdate) and datagram.update.table is not None:
            return self._table_size(datagram.update)
        return SMALL_BYTES

    def transfer_size(self, update: StateUpdate) -> int:
        """Returns the size of a transfer, in bytes."""
        return SMALL_BYTES if update.table is None else self._table_size(update)

    def _table_size(self, update: StateUpdate) -> int:
        key = getattr(update.table, "base_version", 0), update.table.version
        if key not in self._sizes:
            self._sizes[key] = len(peering._encode_transfer(StateTransfer(update, ())))
        return self._sizes[key]
