"""Dissemination of datagrams to the fleet, through relays in the other zones.

A node sends a broadcast to all nodes of its own zone and to a few relays in each other zone, which
forward it within theirs. The number of datagrams that leave a zone therefore grows with the number
of zones, not with the number of nodes.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

from orioleloft_core.messages import Broadcast, Delivery, NodeState, OutgoingDatagram

# Relays for a broadcast in each other zone. With two, one relay or one packet may be lost; what
# both miss is repaired after the next pings between the zones, which carry the versions held.
RELAYS_PER_ZONE = 2
# Nodes of the own zone that are notified of an update too large for a datagram. Each of them
# fetches it and notifies as many again, so that no node serves the whole fleet over its own link.
GOSSIP_FANOUT = 12
# Nodes of other zones that a node notifies of an update that it has fetched. The whole zone does
# so, which makes up for relays that are down.
REMOTE_GOSSIP_FANOUT = 1


def match_all_nodes(state: NodeState) -> bool:
    """Selects every node as a recipient."""
    return True


class Disseminator:
    """Addresses datagrams to the nodes of the own zone and to relays in other zones.

    Args:
        zone: availability zone of this node.
        rng: source of randomness for the choice of relays and gossip recipients.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def broadcast(
        self,
        datagram: Broadcast,
        nodes: Iterable[NodeState],
        is_recipient: Callable[[NodeState], bool] = match_all_nodes,
    ) -> list[OutgoingDatagram]:
        """Addresses a datagram of this node to the recipients in its zone and to relays.

        Args:
            datagram: the datagram to broadcast; its `delivery` is set for each receiver.
            nodes: the nodes that are alive.
            is_recipient: selects the nodes that need the datagram. Relays are chosen from these.
        """
        chosen = [state for state in nodes if is_recipient(state)]
        direct = dataclasses.replace(datagram, delivery=Delivery.DIRECT)
        out = [OutgoingDatagram(state.host, direct) for state in chosen if state.zone == self._zone]
        return out + self.send_to_relays(datagram, chosen)

    def send_to_relays(
        self, datagram: Broadcast, nodes: Iterable[NodeState]
    ) -> list[OutgoingDatagram]:
        """Addresses a datagram to relays in each other zone, which forward it there."""
        relays = self._sample_relays(state for state in nodes if state.zone != self._zone)
        passed = dataclasses.replace(datagram, delivery=Delivery.TO_RELAY)
        return [OutgoingDatagram(state.host, passed) for state in relays]

    def relay(
        self,
        datagram: Broadcast,
        nodes: Iterable[NodeState],
        is_recipient: Callable[[NodeState], bool] = match_all_nodes,
    ) -> list[OutgoingDatagram]:
        """Forwards a datagram to the nodes of this zone, except to its origin.

        Args:
            datagram: the datagram to forward.
            nodes: the nodes that are alive.
            is_recipient: selects the nodes that need the datagram.
        """
        relayed = dataclasses.replace(datagram, delivery=Delivery.RELAYED)
        origin = datagram.state.name
        return [
            OutgoingDatagram(state.host, relayed)
            for state in nodes
            if state.zone == self._zone and state.name != origin and is_recipient(state)
        ]

    def gossip(
        self, datagram: Broadcast, nodes: Iterable[NodeState], is_fetched: bool = False
    ) -> list[OutgoingDatagram]:
        """Addresses a datagram to a few random nodes of this zone and of the others.

        Args:
            datagram: the datagram.
            nodes: the nodes that are alive.
            is_fetched: whether this node has fetched from another one what it announces. As many
                nodes do so, it notifies hardly any node of another zone.
        """
        chosen = list(nodes)
        local = [state for state in chosen if state.zone == self._zone]
        remote = [state for state in chosen if state.zone != self._zone]
        recipients = self._rng.sample(local, min(GOSSIP_FANOUT, len(local)))
        if is_fetched:
            recipients += self._rng.sample(remote, min(REMOTE_GOSSIP_FANOUT, len(remote)))
        else:
            recipients += self._sample_relays(remote)
        direct = dataclasses.replace(datagram, delivery=Delivery.DIRECT)
        return [OutgoingDatagram(state.host, direct) for state in recipients]

    def _sample_relays(self, remote: Iterable[NodeState]) -> list[NodeState]:
        zones: dict[str, list[NodeState]] = {}
        for state in remote:
            zones.setdefault(state.zone, []).append(state)
        chosen: list[NodeState] = []
        for states in zones.values():
            chosen += self._rng.sample(states, min(RELAYS_PER_ZONE, len(states)))
        return chosen
