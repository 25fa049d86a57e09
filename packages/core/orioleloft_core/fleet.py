"""Nodes of the fleet: who is alive, who serves, and what each of them knows.

Each node pings one other node in each period. A node that misses a few pings is taken as down, and
the others are told so that they check by themselves.
"""

import dataclasses
import random
from collections.abc import Iterable

from orioleloft_core import hashing, packing, placement
from orioleloft_core.registry import ContentVersion
from orioleloft_core.updates import StateUpdate

# Time between two pings of a node to others, in seconds.
PING_PERIOD_S = 0.25
# Time for the answer to a ping, in seconds. Round trips take about 2 ms; the rest covers nodes that
# are held up by their share of the processor.
PING_TIMEOUT_S = 0.22
# Missed pings in a row after which a node is taken as down.
MISSES_UNTIL_DOWN = 3
# Further nodes that are pinged in one period for each node that is missed. The loss of a zone, or
# of this node's own link, is then seen as fast as that of one node.
EXTRA_PINGS_PER_MISS = 1
MAX_EXTRA_PINGS = 6
# A node that went down this long ago still counts as missed, in seconds.
RECENTLY_DOWN_S = 1.5
# Time between two pings to a node that is down, in seconds.
DOWN_PING_PERIOD_S = 1.0
# Pings in one period to nodes that were never heard, beside the usual one. A node that starts then
# hears a fleet of 100 in 4 s and does not take itself for a watcher for longer.
FIRST_PINGS = 6
# A node that hears this share of the nodes that another one hears is not told of any; the rest it
# hears from their own pings.
INFORMED_SHARE = 0.95
# Addresses of other nodes in one introduction; 24 of them take about 1 KB.
INTRODUCED = 24
# A node that was down for this long is struck off the roster, in seconds. Regions lose each other
# for minutes, and the allowances of the fleet must not grow meanwhile.
STRIKE_S = 900.0
# A node that was down for this long is forgotten, in seconds; by then the watchers have struck it
# off the roster.
FORGET_S = 2 * STRIKE_S
# Nodes that are told at once of news too large for a datagram. Each of them fetches it and tells as
# many, so that no node has to hand it to the whole fleet over its own link.
FANOUT = 12
# Fewest serving nodes in the caller's zone for which only these are named.
MIN_LOCAL = 2
# Nodes that are named to callers whose zone has too few of them.
NAMED_WITHOUT_LOCAL = 15
# Nodes that watch the store for all others. A watcher that is cut off from the store in silence
# notices after 5 s, and a configuration has to be in force in 2 s. With three watchers, three nodes
# cut off out of 15 are all of them once in 455 times; with two, once in 35.
WATCHERS = 3


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """Versions of the shared state that a node holds.

    Attributes:
        table: version of the route table, 0 for none.
        targets: version of the registered targets.
        closed_zones: version of the availability zones that are out.
    """

    table: int = 0
    targets: ContentVersion = ContentVersion()
    closed_zones: ContentVersion = ContentVersion()


@dataclasses.dataclass(frozen=True)
class NodeState:
    """What a node says of itself.

    Attributes:
        name: name of the node.
        host: IP address.
        zone: availability zone.
        incarnation: start of the process; a greater one replaces a smaller one.
        is_ready: whether it serves callers.
        is_leaving: whether it is being stopped.
        reaches_store: whether it reads the store if it is a watcher, and its last call was
            answered; a node that starts reads it only once it hears the fleet.
        knowledge: versions that it holds.
    """

    name: str
    host: str
    zone: str
    incarnation: int
    is_ready: bool
    is_leaving: bool
    reaches_store: bool
    knowledge: Knowledge


@dataclasses.dataclass(frozen=True)
class Ping:
    """Asks a node for an answer.

    Attributes:
        sequence: number of the ping.
        state: the sender.
        heard: number of nodes that the sender hears.
    """

    sequence: int
    state: NodeState
    heard: int


@dataclasses.dataclass(frozen=True)
class PingAnswer:
    """Answers a ping."""

    sequence: int
    state: NodeState


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Tells a change of the sender's state."""

    state: NodeState


@dataclasses.dataclass(frozen=True)
class NodeAddress:
    """Where a node can be reached."""

    name: str
    host: str
    zone: str


@dataclasses.dataclass(frozen=True)
class Roster:
    """The registered nodes, as the store holds them.

    Attributes:
        nodes: the nodes by name.
        revision: revision of the object in the store, or 0 if there is none.
    """

    nodes: tuple[NodeAddress, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class Introduction:
    """Tells a node that hears few others where some of them are."""

    state: NodeState
    nodes: tuple[NodeAddress, ...]


@dataclasses.dataclass(frozen=True)
class News:
    """Tells changes of the shared state."""

    state: NodeState
    update: StateUpdate


@dataclasses.dataclass(frozen=True)
class DownClaim:
    """Tells that the sender takes a node as down; each receiver checks by itself."""

    state: NodeState
    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class TargetSign:
    """Tells a sign of trouble at a target.

    Attributes:
        state: the sender.
        target_id: the target.
        failures: failed requests.
        slowness: measured over expected time, or 0 if nothing was measured.
    """

    state: NodeState
    target_id: str
    failures: float
    slowness: float


@dataclasses.dataclass(frozen=True)
class CrashSign:
    """Tells that a request has crashed a target.

    Attributes:
        state: the sender.
        fingerprint: identifies the content of the request.
        count: crashes that the sender knows of.
    """

    state: NodeState
    fingerprint: str
    count: int


Datagram = (
    Ping | PingAnswer | Announcement | Introduction | News | DownClaim | TargetSign | CrashSign
)
_CLASSES = packing.classes_of(Datagram)


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A datagram to send.

    Attributes:
        host: IP address of the receiver.
        datagram: what to send.
    """

    host: str
    datagram: Datagram


def pack(datagram: Datagram) -> list:
    """Returns a datagram as lists and scalars."""
    return packing.to_tagged(datagram)


def unpack(values: list) -> Datagram:
    """Reads `pack`'s form.

    Raises:
        ValueError: the values are no datagram.
    """
    return packing.from_tagged(_CLASSES, values)


@dataclasses.dataclass
class _Member:
    """What this node knows of another one."""

    name: str
    host: str
    zone: str
    state: NodeState | None = None
    misses: int = 0
    is_down: bool = False
    is_claimed: bool = False
    down_at: float = -1e9
    asked_at: float = -1e9
    sequence: int = 0


class Fleet:
    """The other nodes as this node sees them.

    Args:
        state: what this node says of itself at the start.
        rng: source of the order of pings.
        seeds: hosts of other nodes, which may be down or out of date.
    """

    def __init__(self, state: NodeState, rng: random.Random, seeds: Iterable[str] = ()) -> None:
        self._own = state
        self._seeds = [host for host in seeds if host != state.host]
        self._rng = rng
        self._members: dict[str, _Member] = {}
        self._round: list[str] = []
        self._sequence = 0

    @property
    def own(self) -> NodeState:
        """What this node says of itself."""
        return self._own

    @property
    def zones(self) -> dict[str, str]:
        """Availability zones of all nodes that are known, heard or not, by name."""
        others = {name: member.zone for name, member in self._members.items()}
        return others | {self._own.name: self._own.zone}

    def update(self, **changes: object) -> bool:
        """Changes what this node says of itself; returns whether anything changed."""
        new = dataclasses.replace(self._own, **changes)
        is_changed = new != self._own
        self._own = new
        return is_changed

    def add(self, node: NodeAddress) -> bool:
        """Adds a node; returns whether it was unknown and its address is not another node's."""
        if node.name == self._own.name or node.name in self._members:
            return False
        for known in [m for m in self._members.values() if m.host == node.host]:
            if known.state is not None and not known.is_down:
                return False
            del self._members[known.name]
        self._members[node.name] = _Member(node.name, node.host, node.zone)
        return True

    def roster(self, now: float, listed: Iterable[NodeAddress]) -> tuple[NodeAddress, ...]:
        """Returns the nodes that should be registered.

        Args:
            now: seconds on the node's clock.
            listed: the nodes that are registered.
        """
        nodes = {node.name: node for node in listed}
        for member in self._members.values():
            if member.is_down and now - member.down_at >= STRIKE_S:
                nodes.pop(member.name, None)
            elif member.state is not None:
                nodes[member.name] = NodeAddress(member.name, member.host, member.zone)
        own = self._own
        nodes[own.name] = NodeAddress(own.name, own.host, own.zone)
        return tuple(nodes[name] for name in sorted(nodes))

    def _forget(self, now: float) -> None:
        for member in list(self._members.values()):
            if member.is_down and now - member.down_at >= FORGET_S:
                del self._members[member.name]

    def alive(self) -> list[NodeState]:
        """Returns the states of the nodes that answer."""
        members = self._members.values()
        return [m.state for m in members if m.state is not None and not m.is_down]

    def serving(self) -> list[NodeState]:
        """Returns the nodes that serve callers, this one included."""
        return [s for s in [self._own, *self.alive()] if s.is_ready and not s.is_leaving]

    def hosts(self) -> list[str]:
        """Returns the addresses of the nodes that answer."""
        return [state.host for state in self.alive()]

    def broadcast(self, datagram: Datagram, most: int | None = None) -> list[Outgoing]:
        """Returns a datagram for each node that answers, or for some of them.

        Args:
            datagram: what to send.
            most: largest number of receivers, which are drawn at random.
        """
        hosts = self.hosts()
        if most is not None and most < len(hosts):
            hosts = self._rng.sample(hosts, most)
        return [Outgoing(host, datagram) for host in hosts]

    def announce(self, most: int | None = None) -> list[Outgoing]:
        """Tells all nodes, or some of them, the state of this one."""
        return self.broadcast(Announcement(self._own), most)

    def tick(self, now: float) -> list[Outgoing]:
        """Sends the pings that are due; called once in each `PING_PERIOD_S`."""
        self._forget(now)
        out = []
        for member in list(self._members.values()):
            is_open = member.sequence > 0 and now - member.asked_at >= PING_TIMEOUT_S
            if not is_open or member.is_down:
                continue
            out += self._missed(now, member)
        for _ in range(1 + self._extra_pings(now)):
            target = self._next_member()
            if target is not None:
                out.append(self._ping(now, target))
        if not self._heard():
            # Seeds may start later than this node, so they are tried until one answers.
            out += [Outgoing(host, Ping(0, self._own, 0)) for host in self._seeds]
        # Nodes that are gone for good must not take the pings of those that live.
        return out + [self._ping(now, member) for member in self._absent(now)]

    def _absent(self, now: float) -> list[_Member]:
        """Returns the nodes to ping beside the usual round: unheard ones, and one that is down."""
        members = self._members.values()
        unheard = [m for m in members if m.state is None and not m.is_down and m.sequence == 0]
        due = [m for m in members if m.is_down and now - m.asked_at >= DOWN_PING_PERIOD_S]
        return unheard[:FIRST_PINGS] + sorted(due, key=lambda member: member.asked_at)[:1]

    def _extra_pings(self, now: float) -> int:
        missed = sum(
            member.misses > 0 and (not member.is_down or now - member.down_at < RECENTLY_DOWN_S)
            for member in self._members.values()
        )
        return min(MAX_EXTRA_PINGS, missed * EXTRA_PINGS_PER_MISS)

    def _missed(self, now: float, member: _Member) -> list[Outgoing]:
        member.misses += 1
        if member.misses < MISSES_UNTIL_DOWN:
            return [self._ping(now, member)]
        member.is_down = True
        member.down_at = now
        member.sequence = 0
        # Who was told of it tells nobody: 100 nodes that all tell each other of 30 dead ones would
        # send 300,000 datagrams. A few nodes miss a dead one by themselves, so a lost claim is made
        # good by another one.
        if member.state is None or member.is_claimed:
            return []
        return self.broadcast(DownClaim(self._own, member.name, member.state.incarnation))

    def _ping(self, now: float, member: _Member) -> Outgoing:
        self._sequence += 1
        member.sequence = self._sequence
        member.asked_at = now
        return Outgoing(member.host, Ping(self._sequence, self._own, self._heard()))

    def _heard(self) -> int:
        return sum(m.state is not None and not m.is_down for m in self._members.values())

    def _next_member(self) -> _Member | None:
        for _ in range(len(self._members)):
            if not self._round:
                self._round = list(self._members)
                self._rng.shuffle(self._round)
            member = self._members.get(self._round.pop())
            if member is None or member.state is None:
                continue
            if not member.is_down and member.sequence == 0:
                return member
        return None

    def receive(self, now: float, datagram: Datagram) -> list[Outgoing]:
        """Takes a datagram; returns the answers to it."""
        sender = self._hear(datagram.state)
        if sender is None:
            return []
        match datagram:
            case Ping(sequence=sequence, heard=heard):
                answer = Outgoing(sender.host, PingAnswer(sequence, self._own))
                return [answer, *self._introduce(sender, heard)]
            case Introduction(nodes=nodes):
                for node in nodes:
                    self.add(node)
                return []
            case DownClaim(name=name, incarnation=incarnation):
                return self._check(now, name, incarnation)
        return []

    def _introduce(self, sender: _Member, heard: int) -> list[Outgoing]:
        """Tells a node that hears fewer nodes than this one where some of them are."""
        others = [state for state in self.alive() if state.name != sender.name]
        # The sender's count includes this node.
        if heard >= 1 + INFORMED_SHARE * len(others):
            return []
        chosen = self._rng.sample(others, min(INTRODUCED, len(others)))
        nodes = tuple(NodeAddress(state.name, state.host, state.zone) for state in chosen)
        return [Outgoing(sender.host, Introduction(self._own, nodes))] if nodes else []

    def _hear(self, state: NodeState) -> _Member | None:
        if state.name == self._own.name:
            return None
        if not self._take_address(state):
            return None
        member = self._members[state.name]
        is_older = member.state is not None and state.incarnation < member.state.incarnation
        # The time of day may have jumped back before a restart, so a node that is down may return
        # with a smaller incarnation.
        if is_older and not member.is_down:
            return None
        member.host = state.host
        member.state = state
        member.misses = 0
        member.sequence = 0
        member.is_down = False
        member.is_claimed = False
        return member

    def _take_address(self, state: NodeState) -> bool:
        """Makes the sender a member; of two nodes at one address the one started later counts."""
        if self.add(NodeAddress(state.name, state.host, state.zone)) or state.name in self._members:
            return True
        others = [m for m in self._members.values() if m.host == state.host and m.state is not None]
        if any(m.state.incarnation > state.incarnation for m in others):
            return False
        for member in others:
            del self._members[member.name]
        return self.add(NodeAddress(state.name, state.host, state.zone))

    def _check(self, now: float, name: str, incarnation: int) -> list[Outgoing]:
        if name == self._own.name:
            return self.announce()
        member = self._members.get(name)
        if member is None or member.is_down:
            return []
        if member.state is not None and member.state.incarnation > incarnation:
            return []
        # Another node has missed the answers already; one more own ping without answer is enough.
        member.misses = max(member.misses, MISSES_UNTIL_DOWN - 1)
        member.is_claimed = True
        return [] if member.sequence > 0 else [self._ping(now, member)]

    def is_watcher(self) -> bool:
        """Whether this node is among those that watch the store for all.

        The choice falls on nodes that reach the store, so that a partition from the store moves
        the watch to others. A node that cannot reach any other watches by itself.
        """
        able = [s for s in self.alive() if s.reaches_store and not s.is_leaving]
        ranked = hashing.order("watch", {self._own.name, *(s.name for s in able)})
        return self._own.name in ranked[:WATCHERS]

    def newer(self) -> list[NodeState]:
        """Returns the nodes that hold a newer version of anything than this one."""
        return [s for s in self.alive() if is_newer(s.knowledge, self._own.knowledge)]


def is_newer(other: Knowledge, own: Knowledge) -> bool:
    """Whether another node's knowledge is ahead in any part."""
    return (
        other.table > own.table
        or other.targets > own.targets
        or other.closed_zones > own.closed_zones
    )


def entry_addresses(
    serving: Iterable[NodeState], own: NodeState, zone: str, service: str, limit: int
) -> list[str]:
    """Returns the hosts that a caller in a zone should connect to.

    Nodes of the caller's zone save bytes between zones. Where fewer than `MIN_LOCAL` of them
    serve, nodes of all zones are named, so that the few are not pressed by a whole zone of callers.

    Args:
        serving: the nodes that serve.
        own: state of the node that answers, for the case that no node is known to serve.
        zone: availability zone of the caller.
        service: service that the caller wants to reach.
        limit: largest number of hosts.
    """
    states = {state.name: state for state in serving}
    if not states:
        return [] if own.is_leaving else [own.host]
    zones = {name: state.zone for name, state in states.items()}
    local = placement.ranked(service, zones, zone)
    if len(local) >= MIN_LOCAL:
        return [states[name].host for name in local[: min(limit, placement.NODES_IN_ZONE)]]
    others = [name for name in hashing.order(service, states) if name not in local]
    named = (local + others)[: min(limit, NAMED_WITHOUT_LOCAL)]
    return [states[name].host for name in named]
