"""The fleet as seen by one node: its own state, membership, and dissemination of datagrams."""

import dataclasses
import random
from collections.abc import Callable, Iterable

from orioleloft_core import messages
from orioleloft_core.discovery import EntryHostCache
from orioleloft_core.dissemination import Disseminator, match_all_nodes
from orioleloft_core.membership import Member, Membership
from orioleloft_core.messages import (
    Announcement,
    Broadcast,
    Datagram,
    Delivery,
    Introduction,
    NodeAddress,
    NodeState,
    OutgoingDatagram,
    Ping,
    PingAnswer,
    StoreAccess,
    SuspectedNode,
    Suspicion,
)
from orioleloft_core.nodecapacity import NodeMap
from orioleloft_core.watcherelection import WatcherElection

# Maximum number of nodes in one suspicion; 30 names take about 1 KB.
MAX_NODES_PER_SUSPICION = 30
# Ping periods in which a suspicion is sent again to relays in other zones, as some of the relays
# may be down as well.
SUSPICION_REPEATS = 2
# Minimum time between two refutations after a partition has healed, in seconds.
REFUTATION_PERIOD_S = 2.0


class Fleet:
    """Own state of a node, its view of the other nodes, and the datagrams it exchanges with them.

    Methods that return `OutgoingDatagram` datagrams send nothing themselves.

    Args:
        state: initial state of this node.
        rng: source of randomness for the order of pings and the choice of receivers.
        seeds: hosts of other nodes to contact first; they may be down or out of date.
    """

    def __init__(self, state: NodeState, rng: random.Random, seeds: Iterable[str] = ()) -> None:
        self._own = state
        self._version = 0
        self._members = Membership(lambda: self._own, rng, seeds, self._on_change)
        self._disseminator = Disseminator(state.zone, rng)
        self._watcher_election = WatcherElection()
        self._entry_cache = EntryHostCache()
        self._cached_zones: tuple[int, NodeMap] = (-1, NodeMap({}, {}))
        self._capacities: dict[str, float] = {}
        # Names of the nodes that hold newer versions; a dict, as the order decides choices.
        self._ahead: dict[str, None] = {}
        self._election_version = -1
        self._refuted_at = -REFUTATION_PERIOD_S
        # Suspicions of the last periods, the newest first, which are sent again to relays.
        self._suspicions_to_repeat: list[list[Suspicion]] = [[] for _ in range(SUSPICION_REPEATS)]

    @property
    def own_state(self) -> NodeState:
        """State of this node, as it publishes it."""
        return self._own

    @property
    def version(self) -> int:
        """Local version, which increases when a node joins, goes down or changes its state."""
        return self._version

    @property
    def zones(self) -> NodeMap:
        """Availability zones by node name, of all known nodes whether alive or not."""
        if self._cached_zones[0] != self._version:
            zones = {member.name: member.zone for member in self._members.members}
            zones[self._own.name] = self._own.zone
            self._capacities = {n: c for n, c in self._capacities.items() if n in zones}
            self._cached_zones = self._version, NodeMap(zones, self._capacities)
        return self._cached_zones[1]

    def set_capacity(self, name: str, capacity: float) -> None:
        """Sets the capacity of a known node, which is kept while the node is down."""
        if name in self.zones and self._capacities.get(name) != capacity:
            self._capacities = {**self._capacities, name: capacity}
            self._on_change()

    def _on_change(self) -> None:
        self._version += 1

    def update(self, **changes: object) -> bool:
        """Changes fields of the own state, with the next sequence number.

        Returns:
            Whether any field differs; an equal state is not a change.
        """
        changed = dataclasses.replace(self._own, **changes)
        if changed == self._own:
            return False
        self._own = dataclasses.replace(changed, sequence=self._own.sequence + 1)
        self._on_change()
        return True

    def set_state_versions(self, state_versions: messages.StateVersions) -> None:
        """Sets the versions of the shared state that this node reports to others as held."""
        self._own = dataclasses.replace(self._own, state_versions=state_versions)

    # Other nodes.

    def add(self, node: NodeAddress) -> bool:
        """Adds a node by its address; see `Membership.add`."""
        return self._members.add(node)

    def merge_state(self, state: NodeState) -> bool:
        """Merges the state of a node as received from a third one; see `Membership.merge_state`."""
        self._track_newer_versions(state)
        return self._members.merge_state(state)

    def nodes_to_register(
        self, now: float, registered: Iterable[NodeAddress]
    ) -> tuple[NodeAddress, ...]:
        """Returns the nodes that should be registered; see `Membership.nodes_to_register`."""
        return self._members.nodes_to_register(now, registered)

    def host_of(self, name: str) -> str | None:
        """Returns the IP address of another node, alive or not, or None if it is not known."""
        member = self._members.get(name)
        return None if member is None else member.host

    def is_alive(self, name: str) -> bool:
        """Whether another node has been heard and is not marked as down."""
        member = self._members.get(name)
        return member is not None and member.is_alive

    def is_staying(self, name: str) -> bool:
        """Whether another node is alive and has not announced that it stops."""
        member = self._members.get(name)
        return member is not None and member.is_alive and not member.state.is_leaving

    @property
    def zone_size(self) -> int:
        """Number of nodes alive in the zone of this node, with this node."""
        return 1 + self._members.alive_in_zone(self._own.zone)

    def alive(self) -> list[NodeState]:
        """Returns the states of the other nodes that are alive."""
        return [member.state for member in self._members.alive()]

    def serving_nodes(self) -> list[NodeState]:
        """Returns the states of the nodes that serve callers, including this one.

        They have the capacities of the nodes if those of all registered nodes of their zone are
        known, so that callers are sent to the nodes that are owners of cold targets.
        """
        serving = [s for s in [self._own, *self.alive()] if s.is_ready and not s.is_leaving]
        zones = self.zones
        unknown = {zone for name, zone in zones.items() if name not in zones.capacities}
        return [
            (
                state
                if state.zone in unknown
                else dataclasses.replace(state, capacity=zones.capacities[state.name])
            )
            for state in serving
        ]

    def nodes_ahead(self) -> list[NodeState]:
        """Returns the live nodes that hold a newer version of any part of the shared state."""
        versions = self._own.state_versions
        members = [self._members.get(name) for name in self._ahead]
        ahead = [
            m.state
            for m in members
            if m is not None
            and m.is_alive
            and messages.has_newer_version(m.state.state_versions, versions)
        ]
        self._ahead = dict.fromkeys(state.name for state in ahead)
        return ahead

    def _track_newer_versions(self, state: NodeState) -> None:
        """Remembers a node for `nodes_ahead` if it holds a newer version."""
        if messages.has_newer_version(state.state_versions, self._own.state_versions):
            self._ahead[state.name] = None

    def entry_hosts(self, zone: str, service: str, limit: int) -> list[str]:
        """Returns the hosts that a caller in a zone should connect to for a service.

        Args:
            zone: availability zone of the caller.
            service: service that the caller wants to reach.
            limit: maximum number of hosts.
        """
        serving_nodes = self.serving_nodes
        return self._entry_cache.hosts(
            self._version, serving_nodes, self._own, zone, service, limit
        )

    # Dissemination.

    def broadcast(
        self, datagram: Broadcast, is_recipient: Callable[[NodeState], bool] = match_all_nodes
    ) -> list[OutgoingDatagram]:
        """Addresses a datagram of this node to its zone and to relays in the other zones.

        Args:
            datagram: the datagram to broadcast.
            is_recipient: selects the nodes that need it.
        """
        return self._disseminator.broadcast(datagram, self.alive(), is_recipient)

    def relay(
        self, datagram: Datagram, is_recipient: Callable[[NodeState], bool] = match_all_nodes
    ) -> list[OutgoingDatagram]:
        """Forwards a datagram within this zone if this node received it as a relay.

        Args:
            datagram: the datagram received.
            is_recipient: selects the nodes that need it.
        """
        if messages.delivery_of(datagram) is not Delivery.TO_RELAY:
            return []
        return self._disseminator.relay(datagram, self.alive(), is_recipient)

    def announce(self) -> list[OutgoingDatagram]:
        """Broadcasts the state of this node."""
        return self.broadcast(Announcement(self._own))

    def gossip_state(self, is_fetched: bool = False) -> list[OutgoingDatagram]:
        """Sends the state of this node to a few nodes, which then fetch the newer versions.

        Args:
            is_fetched: see `Disseminator.gossip`.
        """
        return self._disseminator.gossip(Announcement(self._own), self.alive(), is_fetched)

    # Failure detection.

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Runs one period of failure detection; call it every `membership.PING_PERIOD_S`.

        Args:
            now: seconds on the node's clock.

        Returns:
            Pings, suspicions and refutations to send.
        """
        out, newly_down = self._members.tick(now)
        out += self._broadcast_suspicions(
            [m for m in newly_down if m.state is not None and not m.is_suspected]
        )
        # Nodes that others suspected and this node has verified on behalf of its zone.
        out += self._relay_verified([m for m in newly_down if m.is_suspected])
        self._update_watchers(now)
        if now - self._refuted_at >= REFUTATION_PERIOD_S and self._members.pop_healed_partition():
            self._refuted_at = now
            out += self._refute()
        if self._own.store is StoreAccess.LOST and self._watcher_election.is_retry_due(
            now, self._own.name
        ):
            self.update(store=StoreAccess.READY)
        return out

    def _refute(self) -> list[OutgoingDatagram]:
        """Broadcasts that this node is alive, with a newer sequence number than any node holds."""
        self._own = dataclasses.replace(self._own, sequence=self._own.sequence + 1)
        return self.announce()

    def _broadcast_suspicions(self, newly_down: list[Member]) -> list[OutgoingDatagram]:
        """Broadcasts suspicions of nodes that this node has detected as down by itself.

        Nodes that learn of a failure from a suspicion do not broadcast it: 100 nodes that all
        report 30 dead ones to each other would send 300,000 datagrams. A few nodes detect each
        failure by themselves, so another suspicion makes up for a lost one.
        """
        out = []
        local = [m for m in newly_down if m.zone == self._own.zone]
        remote = [m for m in newly_down if m.zone != self._own.zone]
        suspicions = self._make_suspicions(local, False) + self._make_suspicions(remote, True)
        for suspicion in suspicions:
            out += self.broadcast(suspicion)
        for suspicion in [suspicion for batch in self._suspicions_to_repeat for suspicion in batch]:
            out += self._disseminator.send_to_relays(suspicion, self.alive())
        self._suspicions_to_repeat = [suspicions, *self._suspicions_to_repeat[:-1]]
        return out

    def _relay_verified(self, newly_down: list[Member]) -> list[OutgoingDatagram]:
        """Sends this zone suspicions about nodes of other zones that this node has verified."""
        remote = [m for m in newly_down if m.zone != self._own.zone]
        out = []
        for suspicion in self._make_suspicions(remote, True):
            out += self._disseminator.relay(suspicion, self.alive())
        return out

    def _make_suspicions(self, members: list[Member], is_verified: bool) -> list[Suspicion]:
        nodes = [SuspectedNode(m.name, m.state.incarnation) for m in members if m.state is not None]
        return [
            Suspicion(self._own, tuple(nodes[start : start + MAX_NODES_PER_SUSPICION]), is_verified)
            for start in range(0, len(nodes), MAX_NODES_PER_SUSPICION)
        ]

    def receive(self, now: float, datagram: Datagram) -> list[OutgoingDatagram]:
        """Processes a datagram from another node.

        Args:
            now: seconds on the node's clock.
            datagram: the datagram; one that carries an outdated state of its sender is dropped.

        Returns:
            Datagrams to send as a result: answers, introductions, pings and relayed ones.
        """
        if messages.delivery_of(datagram) is Delivery.RELAYED:
            self._members.merge_state(datagram.state)
        elif self._members.on_sender_state(datagram.state) is None:
            return []
        self._track_newer_versions(datagram.state)
        match datagram:
            case Ping(
                number=number, state=state, alive_in_zone=alive_in_zone, alive_total=alive_total
            ):
                sender = self._members.get(state.name)
                answer = OutgoingDatagram(sender.host, self._members.answer(number))
                return [answer, *self._members.introduce(sender, alive_in_zone, alive_total)]
            case PingAnswer(state=state, alive_in_zone=alive_in_zone, alive_total=alive_total):
                return self._members.introduce(
                    self._members.get(state.name), alive_in_zone, alive_total
                )
            case Introduction(nodes=nodes):
                for state in nodes:
                    self.merge_state(state)
            case Suspicion():
                return self._on_suspicion(now, datagram)
            case Announcement():
                return self.relay(datagram)
        return []

    def _on_suspicion(self, now: float, suspicion: Suspicion) -> list[OutgoingDatagram]:
        out = []
        for node in suspicion.nodes:
            if node.name == self._own.name:
                out += self._refute()
                continue
            member = self._members.get(node.name)
            if member is None:
                continue
            is_remote = member.zone != self._own.zone
            if is_remote and suspicion.is_verified and suspicion.state.zone == self._own.zone:
                self._members.confirm_suspicion(now, node)
            elif is_remote and suspicion.delivery is Delivery.RELAYED:
                continue
            else:
                out += self._members.verify_suspicion(now, node)
        return out

    def _update_watchers(self, now: float) -> None:
        if self._election_version != self._version:
            self._election_version = self._version
            self._watcher_election.update_states(now, self._own, self.alive())

    def is_watcher(self, now: float) -> bool:
        """Whether this node should watch the store for the fleet now."""
        self._update_watchers(now)
        return self._watcher_election.is_watcher(now)
