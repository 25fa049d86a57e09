"""Gossip membership with failure detection by pings.

Each node pings one other node in each period. Most pings stay in the zone; the rest check the links
between zones. A node that misses a few pings in a row is marked as down, and the nodes that detect
this broadcast a suspicion. The nodes of its own zone verify the suspicion themselves; in each other
zone a few nodes verify it on behalf of their zone.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence

from orioleloft_core.messages import (
    Introduction,
    NodeAddress,
    NodeState,
    OutgoingDatagram,
    Ping,
    PingAnswer,
    SuspectedNode,
)

# Ping period: time between two pings of a node to other nodes, in seconds.
PING_PERIOD_S = 0.25
# Timeout of a ping, in seconds. Round trips take about 2 ms; the rest covers nodes that wait for
# their share of the processor.
PING_TIMEOUT_S = 0.22
# Missed pings in a row after which a node is marked as down.
MISSED_PINGS_UNTIL_DOWN = 3
# One ping in this many goes to another zone. With 60 nodes a zone each pair of zones is checked ten
# times a second, while five of six pings cause no traffic between zones.
PINGS_PER_REMOTE_PING = 6
# Additional pings in a period for each member with missed pings, to other nodes of its zone. The
# loss of a zone, or of this node's own link, is then detected as fast as that of one node.
EXTRA_PINGS_PER_MISS = 1
MAX_EXTRA_PINGS = 6
# Time for which a node that went down still causes additional pings, in seconds.
EXTRA_PINGS_AFTER_DOWN_S = 1.5
# Minimum time between two pings to the same node while it is down, in seconds.
MIN_DOWN_PING_INTERVAL_S = 1.0
# Maximum number of additional pings in a period to nodes that have never been seen.
MAX_UNSEEN_PINGS = 6
# A node that knows at least this share of the members that another one knows gets no introduction;
# it learns the rest from announcements.
MIN_KNOWN_MEMBER_FRACTION = 0.95
# Maximum number of nodes in one introduction; 16 states take about 1.2 KB.
MAX_INTRODUCED = 16
# Time for which a new member is introduced to all nodes, in seconds. Nodes that start together each
# know another part of the fleet, so counts alone do not show which members a node lacks.
INTRODUCTION_PERIOD_S = 3.0
# Time after which a node that is down is removed from the registered nodes, in seconds. Partitions
# between regions last for minutes, and no node's share of the fleet's budgets may grow meanwhile.
DEREGISTER_AFTER_S = 900.0
# Time after which a node that is down is removed from the membership, in seconds; by then the
# watchers have removed it from the registered nodes.
REMOVE_AFTER_S = 2 * DEREGISTER_AFTER_S


@dataclasses.dataclass(eq=False)
class Member:
    """Another node in the membership of this one. Times are seconds on this node's clock.

    Attributes:
        name: name of the node.
        host: IP address.
        zone: availability zone.
        state: its last state, or None if the node has never been seen.
        missed_pings: pings in a row without an answer.
        is_down: whether the node is marked as down.
        is_suspected: whether another node has broadcast a suspicion of it.
        down_at: time when it was marked as down.
        joined_at: time when its first state arrived.
        pinged_at: time of the last ping to it.
    """

    name: str
    host: str
    zone: str
    state: NodeState | None = None
    missed_pings: int = 0
    is_down: bool = False
    is_suspected: bool = False
    down_at: float = -1e9
    joined_at: float = -1e9
    pinged_at: float = -1e9

    @property
    def is_alive(self) -> bool:
        """Whether the node has been seen and is not marked as down."""
        return self.state is not None and not self.is_down


class Membership:
    """Membership list of one node, without the node itself, and its failure detector.

    The members that a period works on are kept in small sets, so that the work of a period does not
    grow with the fleet.

    Args:
        own: returns the state of this node.
        rng: source of randomness for the order of pings and for samples of members.
        seeds: hosts of other nodes to ping while no member is alive; they may be down or out of
            date.
        on_change: called after a member was added, removed or marked as down, or has changed its
            state other than its versions.
    """

    def __init__(
        self,
        own: Callable[[], NodeState],
        rng: random.Random,
        seeds: Iterable[str],
        on_change: Callable[[], None],
    ) -> None:
        self._own = own
        self._seeds = [host for host in seeds if host != own().host]
        self._rng = rng
        self._on_change = on_change
        self._members: dict[str, Member] = {}
        self._by_host: dict[str, str] = {}
        self._alive: dict[str, dict[str, Member]] = {}
        self._alive_count = 0
        # Members by name: never seen, marked as down, with an unanswered ping, with missed pings.
        self._unseen: dict[str, Member] = {}
        self._down: dict[str, Member] = {}
        self._pending: dict[str, Member] = {}
        self._unresponsive: dict[str, Member] = {}
        self._recently_joined: collections.deque[Member] = collections.deque()
        self._ping_queues: dict[bool, list[str]] = {True: [], False: []}
        self._ping_number = 0
        self._period_count = rng.randrange(PINGS_PER_REMOTE_PING)
        self._is_partition_healed = False
        self._now = 0.0

    @property
    def members(self) -> Iterable[Member]:
        """All members, alive, down or never seen."""
        return self._members.values()

    def alive(self) -> list[Member]:
        """Returns the members that are alive."""
        return [member for zone in self._alive.values() for member in zone.values()]

    def alive_in_zone(self, zone: str) -> int:
        """Returns how many members of a zone are alive."""
        return len(self._alive.get(zone, ()))

    def get(self, name: str) -> Member | None:
        """Returns a member by name, or None if there is none."""
        return self._members.get(name)

    def _is_local(self, member: Member) -> bool:
        return member.zone == self._own().zone

    # Addresses.

    def add(self, node: NodeAddress) -> bool:
        """Adds a node as a member that has not been seen yet.

        A member with the same host is replaced unless it is alive.

        Returns:
            Whether the node was added: its name was unknown and its host not that of a live member.
        """
        if node.name == self._own().name or node.name in self._members:
            return False
        known = self._members.get(self._by_host.get(node.host, ""))
        if known is not None:
            if known.is_alive:
                return False
            self._remove(known)
        member = Member(node.name, node.host, node.zone)
        self._members[node.name] = member
        self._by_host[node.host] = node.name
        self._unseen[node.name] = member
        self._on_change()
        return True

    def _remove(self, member: Member) -> None:
        self._remove_alive(member)
        del self._members[member.name]
        if self._by_host.get(member.host) == member.name:
            del self._by_host[member.host]
        for index in (self._unseen, self._down, self._pending, self._unresponsive):
            index.pop(member.name, None)
        self._on_change()

    def _add_alive(self, member: Member) -> None:
        self._alive.setdefault(member.zone, {})[member.name] = member
        self._alive_count += 1

    def _remove_alive(self, member: Member) -> None:
        if self._alive.get(member.zone, {}).pop(member.name, None) is not None:
            self._alive_count -= 1

    def nodes_to_register(
        self, now: float, registered: Iterable[NodeAddress]
    ) -> tuple[NodeAddress, ...]:
        """Returns the nodes that should be registered in the store, sorted by name.

        These are the registered nodes, the members that have been seen and this node, without
        those that have been down for `DEREGISTER_AFTER_S`.

        Args:
            now: seconds on the node's clock.
            registered: the nodes that are registered so far.
        """
        nodes = {node.name: node for node in registered}
        for member in self._members.values():
            if member.is_down and now - member.down_at >= DEREGISTER_AFTER_S:
                nodes.pop(member.name, None)
            elif member.state is not None:
                nodes[member.name] = NodeAddress(member.name, member.host, member.zone)
        own = self._own()
        nodes[own.name] = NodeAddress(own.name, own.host, own.zone)
        return tuple(nodes[name] for name in sorted(nodes))

    def _remove_expired(self, now: float) -> None:
        for member in [m for m in self._down.values() if now - m.down_at >= REMOVE_AFTER_S]:
            self._remove(member)

    # Pings.

    def tick(self, now: float) -> tuple[list[OutgoingDatagram], list[Member]]:
        """Runs one ping period: counts missed pings and sends the next ones.

        Args:
            now: seconds on the node's clock.

        Returns:
            The pings to send, and the members marked as down in this period.
        """
        self._now = now
        self._remove_expired(now)
        while (
            self._recently_joined
            and now - self._recently_joined[0].joined_at >= INTRODUCTION_PERIOD_S
        ):
            self._recently_joined.popleft()
        out: list[OutgoingDatagram] = []
        newly_down: list[Member] = []
        for member in [m for m in self._pending.values() if now - m.pinged_at >= PING_TIMEOUT_S]:
            if member.is_down:
                del self._pending[member.name]
            elif self._on_missed_ping(now, member):
                newly_down.append(member)
            else:
                out.append(self._ping(now, member))
        self._period_count += 1
        chosen = [self._next_to_ping(self._period_count % PINGS_PER_REMOTE_PING != 0)]
        chosen += self._peers_of_unresponsive(now)
        out += [self._ping(now, member) for member in chosen if member is not None]
        if not self._alive_count:
            # Seeds may start later than this node, so they are pinged until one answers.
            out += [OutgoingDatagram(host, self._make_ping(0)) for host in self._seeds]
        # These pings are additional, so that members that never return use up none of the others.
        return out + [self._ping(now, member) for member in self._unseen_or_down(now)], newly_down

    def _unseen_or_down(self, now: float) -> list[Member]:
        """Returns members to ping in addition: some never seen, and one that is down."""
        unseen = [m for m in self._unseen.values() if m.name not in self._pending]
        unseen.sort(key=lambda member: not self._is_local(member))
        due = [m for m in self._down.values() if now - m.pinged_at >= MIN_DOWN_PING_INTERVAL_S]
        longest_unpinged = min(due, key=lambda member: member.pinged_at, default=None)
        return unseen[:MAX_UNSEEN_PINGS] + ([] if longest_unpinged is None else [longest_unpinged])

    def _peers_of_unresponsive(self, now: float) -> list[Member]:
        """Returns members to ping because others of their zones have missed pings."""
        zones: collections.Counter[str] = collections.Counter()
        for member in list(self._unresponsive.values()):
            if member.is_down and now - member.down_at >= EXTRA_PINGS_AFTER_DOWN_S:
                del self._unresponsive[member.name]
            else:
                zones[member.zone] += EXTRA_PINGS_PER_MISS
        chosen: list[Member] = []
        for zone, count in zones.items():
            alive = self._alive.get(zone, {}).values()
            others = [member for member in alive if member.name not in self._pending]
            chosen += self._sample(others, min(MAX_EXTRA_PINGS, count))
        return chosen

    def _on_missed_ping(self, now: float, member: Member) -> bool:
        """Counts a missed ping; returns whether this marked the member as down."""
        member.missed_pings += 1
        self._unresponsive[member.name] = member
        if member.missed_pings < MISSED_PINGS_UNTIL_DOWN:
            return False
        self._mark_down(now, member)
        return True

    def _mark_down(self, now: float, member: Member) -> None:
        self._remove_alive(member)
        self._unseen.pop(member.name, None)
        self._pending.pop(member.name, None)
        self._down[member.name] = member
        member.is_down = True
        member.down_at = now
        self._on_change()

    def _make_ping(self, number: int) -> Ping:
        return Ping(number, self._own(), *self._alive_counts())

    def answer(self, number: int) -> PingAnswer:
        """Returns the answer to a ping with this number."""
        return PingAnswer(number, self._own(), *self._alive_counts())

    def _alive_counts(self) -> tuple[int, int]:
        """Returns how many members are alive in the zone of this node, and in all zones."""
        return self.alive_in_zone(self._own().zone), self._alive_count

    def _ping(self, now: float, member: Member) -> OutgoingDatagram:
        self._ping_number += 1
        member.pinged_at = now
        self._pending[member.name] = member
        return OutgoingDatagram(member.host, self._make_ping(self._ping_number))

    def _next_to_ping(self, is_local: bool) -> Member | None:
        """Returns the next live member in the shuffled ping order.

        Args:
            is_local: whether a member of this node's zone is preferred, rather than a remote one.
        """
        for is_wanted_local in (is_local, not is_local):
            queue = self._ping_queues[is_wanted_local]
            for is_refilled in (False, True):
                if is_refilled:
                    queue += [m.name for m in self.alive() if self._is_local(m) == is_wanted_local]
                    self._rng.shuffle(queue)
                while queue:
                    member = self._members.get(queue.pop())
                    if member is not None and member.is_alive and member.name not in self._pending:
                        return member
        return None

    # States of other nodes.

    def on_sender_state(self, state: NodeState) -> Member | None:
        """Processes a state that came directly from its node, which shows that the node is alive.

        Returns:
            The member, or None if the state is outdated or the node is not accepted.
        """
        if state.name == self._own().name or not self._admit(state):
            return None
        member = self._members[state.name]
        # The time of day may have jumped back before a restart, so a node that is down may return
        # with a smaller incarnation number.
        if _is_stale(state, member.state) and not member.is_down:
            return None
        if member.is_down and member.state is not None:
            self._is_partition_healed |= state.incarnation == member.state.incarnation
        self._apply_state(member, state)
        return member

    def pop_healed_partition(self) -> bool:
        """Returns whether a node marked as down has answered without a restart, and clears that.

        There was a partition then, and other nodes may have marked this one as down as well.
        """
        is_partition_healed, self._is_partition_healed = self._is_partition_healed, False
        return is_partition_healed

    def merge_state(self, state: NodeState) -> bool:
        """Merges the state of a node that came from a third one, by incarnation and sequence.

        Returns:
            Whether the state was newer than the one held.
        """
        if state.name == self._own().name or not self._admit(state):
            return False
        member = self._members[state.name]
        # Only a state newer than the last one before the failure shows that the node is back.
        if member.state is not None and _state_version(state) <= _state_version(member.state):
            return False
        self._apply_state(member, state)
        return True

    def _apply_state(self, member: Member, state: NodeState) -> None:
        previous, was_alive = member.state, member.is_alive
        if was_alive and member.zone != state.zone:
            self._remove_alive(member)
            was_alive = False
        member.host = state.host
        member.zone = state.zone
        member.state = state
        member.missed_pings = 0
        member.is_down = False
        member.is_suspected = False
        self._by_host[state.host] = state.name
        for index in (self._unseen, self._down, self._pending, self._unresponsive):
            index.pop(member.name, None)
        if previous is None:
            member.joined_at = self._now
            self._recently_joined.append(member)
        if not was_alive:
            self._add_alive(member)
        if not was_alive or _state_version(previous) != _state_version(state):
            self._on_change()

    def _admit(self, state: NodeState) -> bool:
        """Makes a node a member; of two nodes with one host the later incarnation wins."""
        if state.name in self._members:
            return True
        if self.add(NodeAddress(state.name, state.host, state.zone)):
            return True
        other = self._members.get(self._by_host.get(state.host, ""))
        if other is None or other.state.incarnation > state.incarnation:
            return False
        self._remove(other)
        return self.add(NodeAddress(state.name, state.host, state.zone))

    def introduce(
        self, sender: Member, alive_in_zone: int, alive_total: int
    ) -> list[OutgoingDatagram]:
        """Returns an introduction to members that the sender of a ping may lack, if any.

        Args:
            sender: the node that sent the counts.
            alive_in_zone: how many nodes of its zone it considers alive.
            alive_total: how many nodes of all zones it considers alive.
        """
        own = self._own()
        local = self._alive.get(sender.zone, {})
        # The counts of the sender include this node, and those of this node include the sender.
        is_local = own.zone == sender.zone
        lacks_local = alive_in_zone < MIN_KNOWN_MEMBER_FRACTION * (len(local) - 1 + is_local)
        lacks_any = alive_total < MIN_KNOWN_MEMBER_FRACTION * self._alive_count
        if not (self._recently_joined or lacks_local or lacks_any):
            return []
        candidates = list(local.values()) if lacks_local else self.alive() if lacks_any else []
        chosen = self._sample([m for m in candidates if m is not sender], MAX_INTRODUCED)
        recent = self._sample(self._recently_joined, MAX_INTRODUCED - len(chosen))
        chosen += [m for m in recent if m is not sender and m.is_alive and m not in chosen]
        if not chosen:
            return []
        return [OutgoingDatagram(sender.host, Introduction(own, tuple(m.state for m in chosen)))]

    def _sample(self, members: Sequence[Member], count: int) -> list[Member]:
        return self._rng.sample(members, min(count, len(members)))

    # Suspicions of other nodes.

    def verify_suspicion(self, now: float, suspected: SuspectedNode) -> list[OutgoingDatagram]:
        """Pings a node that another one suspects; one missed ping then marks it as down."""
        member = self._suspected_member(suspected)
        if member is None:
            return []
        # The other node has counted its misses already, so one missed ping of this node is enough.
        member.missed_pings = max(member.missed_pings, MISSED_PINGS_UNTIL_DOWN - 1)
        member.is_suspected = True
        return [] if member.name in self._pending else [self._ping(now, member)]

    def confirm_suspicion(self, now: float, suspected: SuspectedNode) -> None:
        """Marks a node as down because a node of this zone has verified the suspicion."""
        member = self._suspected_member(suspected)
        if member is not None:
            member.missed_pings = MISSED_PINGS_UNTIL_DOWN
            member.is_suspected = True
            self._unresponsive[member.name] = member
            self._mark_down(now, member)

    def _suspected_member(self, suspected: SuspectedNode) -> Member | None:
        member = self._members.get(suspected.name)
        if member is None or not member.is_alive:
            return None
        return None if member.state.incarnation > suspected.incarnation else member


def _state_version(state: NodeState) -> tuple[int, int]:
    return state.incarnation, state.sequence


def _is_stale(state: NodeState, known: NodeState | None) -> bool:
    return known is not None and _state_version(state) < _state_version(known)
