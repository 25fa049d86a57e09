"""Simulation of fleets of hundreds of nodes in one process, on a network that loses datagrams."""

import collections
import random
from collections.abc import Callable

import msgpack

from orioleloft_core import membership, messages
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    Announcement,
    NodeState,
    OutgoingDatagram,
    Ping,
    PingAnswer,
    SharedStateUpdate,
    StateVersions,
    StoreAccess,
)
from orioleloft_core.routes import DEFAULT_LIMITS, RouteTable
from orioleloft_core.updates import StateUpdate

PERIOD = membership.PING_PERIOD_S
HEADER_BYTES = 28
# Time between two calls of a node that has lost the store, in seconds; `storesync.MAX_BACKOFF_S`.
RETRY_S = 1.5


class Simulation:
    """A fleet of nodes on a simulated network, with its own clock.

    Attributes:
        down: nodes that do not run.
        cut_zones: availability zones without links to the others.
        loss: probability that a datagram is lost.
        sent_bytes: bytes sent, including headers.
        remote_bytes: bytes sent between zones, including headers.
    """

    def __init__(self, count: int, zones: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.down: set[str] = set()
        self.cut_zones: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.sent_bytes = 0
        self.remote_bytes = 0
        self.zones = {f"n{index}": f"z{index % zones}" for index in range(count)}
        self.fleets: dict[str, Fleet] = {}
        self._store_called_at: dict[str, float] = {}
        for name in self.zones:
            self.start(name, 1)

    def start(self, name: str, incarnation: int) -> None:
        """Starts or restarts a node that knows no others."""
        state = NodeState(
            name,
            name,
            self.zones[name],
            incarnation,
            0,
            True,
            False,
            False,
            StoreAccess.READY,
            StateVersions(),
        )
        self.fleets[name] = Fleet(state, random.Random(f"{name} {incarnation}"))
        self.down.discard(name)

    def introduce_all(self) -> None:
        """Makes all nodes known to each other at once."""
        states = [fleet.own_state for fleet in self.fleets.values()]
        for fleet in self.fleets.values():
            for state in states:
                fleet.merge_state(state)

    def running(self) -> list[str]:
        """Returns the names of the nodes that run."""
        return [name for name in self.fleets if name not in self.down]

    def alive_at(self, name: str) -> set[str]:
        """Returns the names of the nodes that a node considers alive."""
        return {state.name for state in self.fleets[name].alive()}

    def _is_cut(self, sender: str, receiver: str) -> bool:
        if receiver in self.down or sender in self.down:
            return True
        if frozenset((sender, receiver)) in self.cut_pairs:
            return True
        zones = {self.zones[sender], self.zones[receiver]}
        return len(zones) > 1 and bool(zones & self.cut_zones)

    def deliver(self, sender: str, outgoing: list[OutgoingDatagram]) -> None:
        """Delivers datagrams and all that their receivers send in response."""
        queue = collections.deque((sender, item) for item in outgoing)
        packed: dict[int, tuple[object, int]] = {}
        while queue:
            source, item = queue.popleft()
            found = packed.get(id(item.datagram))
            if found is None:
                size = len(msgpack.packb(messages.pack(item.datagram))) + HEADER_BYTES
                found = packed[id(item.datagram)] = (item.datagram, size)
            self.sent_bytes += found[1]
            self.remote_bytes += found[1] * (self.zones[source] != self.zones[item.host])
            if self._is_cut(source, item.host) or self.rng.random() < self.loss:
                continue
            answers = self.receive(item.host, item.datagram)
            queue.extend((item.host, answer) for answer in answers)

    def receive(self, name: str, datagram: messages.Datagram) -> list[OutgoingDatagram]:
        """Processes a datagram as `orioleloftd.peerprotocol` does; returns the responses."""
        fleet = self.fleets[name]
        out = fleet.receive(self.now, datagram)
        match datagram:
            case SharedStateUpdate(update=update):
                if update.table.version > fleet.own_state.state_versions.table:
                    fleet.set_state_versions(StateVersions(update.table.version))
                    out += fleet.relay(datagram)
            case Ping(state=state) | PingAnswer(state=state):
                if messages.has_newer_version(fleet.own_state.state_versions, state.state_versions):
                    out.append(OutgoingDatagram(state.host, self._make_update(fleet)))
        return out

    def _make_update(self, fleet: Fleet) -> SharedStateUpdate:
        table = RouteTable(fleet.own_state.state_versions.table, (), (), DEFAULT_LIMITS)
        return SharedStateUpdate(fleet.own_state, StateUpdate(table=table))

    def publish_table(self, name: str, version: int) -> None:
        """Lets a node read a new route table from the store and broadcast it."""
        fleet = self.fleets[name]
        fleet.set_state_versions(StateVersions(version))
        self.deliver(name, fleet.broadcast(self._make_update(fleet)))

    def table_versions(self) -> set[int]:
        """Returns the route table versions in force at the running nodes."""
        return {self.fleets[name].own_state.state_versions.table for name in self.running()}

    def run(self, seconds: float) -> None:
        """Advances the clock in ping periods and runs each node."""
        for _ in range(round(seconds / PERIOD)):
            self.now += PERIOD
            for name in self.running():
                self.deliver(name, self.fleets[name].tick(self.now))

    # The store.

    def run_with_store(self, is_served: Callable[[str], bool], seconds: float) -> dict[str, int]:
        """Runs the fleet while its watchers call the store.

        Args:
            is_served: whether the store answers the calls of a node.
            seconds: time to simulate.

        Returns:
            Failed calls by node name.
        """
        calls: dict[str, int] = collections.Counter()
        for _ in range(round(seconds / PERIOD)):
            self.run(PERIOD)
            for name in self.running():
                fleet = self.fleets[name]
                if not fleet.is_watcher(self.now):
                    if fleet.own_state.store is StoreAccess.READING:
                        self._set_store_access(name, StoreAccess.READY)
                    continue
                if is_served(name):
                    self._set_store_access(name, StoreAccess.READING)
                    continue
                if self.now - self._store_called_at.get(name, -RETRY_S) >= RETRY_S:
                    self._store_called_at[name] = self.now
                    calls[name] += 1
                self._set_store_access(name, StoreAccess.LOST)
        return calls

    def _set_store_access(self, name: str, access: StoreAccess) -> None:
        fleet = self.fleets[name]
        if fleet.update(store=access):
            self.deliver(name, fleet.broadcast(Announcement(fleet.own_state)))

    def nodes_reading_store(self) -> set[str]:
        """Returns the names of the running nodes that read the store."""
        return {n for n in self.running() if self.fleets[n].own_state.store is StoreAccess.READING}
