"""Exchange of the nodes' capacities, in datagrams that nodes of the previous build drop.

A node broadcasts its own capacity when it has started, and asks others for those that it lacks.
Nothing is sent once all are known, nor by a node whose settings state no cores.
"""

import random
from collections.abc import Callable

from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    CapacityReport,
    Delivery,
    NodeCapacity,
    NodeState,
    OutgoingDatagram,
)
from orioleloftd.peering import DatagramEndpoint

# Names in one question; the answer takes up to 1 KB.
MAX_WANTED = 20
# Times at which a node broadcasts its capacity, in seconds after it has heard another node. The
# second one makes up for datagrams that were lost and for nodes that started together.
BROADCAST_TIMES_S = (0.0, 3.0)
# Pause between questions, in seconds, doubled each time nothing new was learned: nodes of the
# previous build never answer.
MIN_QUESTION_PAUSE_S = 0.25
MAX_QUESTION_PAUSE_S = 10.0


class CapacityExchange:
    """Tells the other nodes the capacity of this one and learns theirs.

    Args:
        capacity: capacity of this node, or 0 if it takes no part.
        fleet: membership; keeps the capacities.
        transport: sends datagrams.
        clock: returns seconds of the node's clock.
        rng: random number generator.
    """

    def __init__(
        self,
        capacity: float,
        fleet: Fleet,
        transport: DatagramEndpoint,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._capacity = capacity
        self._fleet = fleet
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._heard_at: float | None = None
        self._broadcasts = 0
        self._question_at = 0.0
        self._pause = MIN_QUESTION_PAUSE_S
        self._unknown_count = -1
        if capacity > 0:
            fleet.set_capacity(fleet.own_state.name, capacity)

    def tick(self) -> None:
        """Broadcasts and asks if it is time; called every `membership.PING_PERIOD_S`."""
        alive = self._fleet.alive()
        if not self._capacity or not alive:
            return
        now = self._clock()
        if self._heard_at is None:
            self._heard_at = now
        self._broadcast(now)
        zones = self._fleet.zones
        unknown = [name for name in zones if name not in zones.capacities]
        if unknown and now >= self._question_at:
            self._ask(now, alive, unknown)

    def _broadcast(self, now: float) -> None:
        if self._broadcasts == len(BROADCAST_TIMES_S):
            return
        if now - self._heard_at >= BROADCAST_TIMES_S[self._broadcasts]:
            self._broadcasts += 1
            self._transport.send(self._fleet.broadcast(self._report((), ())))

    def _ask(self, now: float, alive: list[NodeState], unknown: list[str]) -> None:
        """Asks a node that takes part in the exchange, and one of which that is not known."""
        if len(unknown) != self._unknown_count:
            self._pause = MIN_QUESTION_PAUSE_S
        self._unknown_count = len(unknown)
        self._question_at = now + self._pause
        self._pause = min(MAX_QUESTION_PAUSE_S, 2 * self._pause)
        wanted = tuple(self._rng.sample(unknown, min(MAX_WANTED, len(unknown))))
        question = self._report((), wanted)
        capacities = self._fleet.zones.capacities
        for group in (
            [state for state in alive if state.name in capacities],
            [state for state in alive if state.name not in capacities],
        ):
            if group:
                host = self._rng.choice(group).host
                self._transport.send([OutgoingDatagram(host, question)])

    def on_report(self, report: CapacityReport) -> None:
        """Learns from a report, relays it, and answers its question."""
        self._transport.send(self._fleet.relay(report))
        if not self._capacity:
            return
        known = self._fleet.zones.capacities
        for item in report.capacities:
            # A third node may tell what a node stated before its last restart.
            is_own = item.name == report.state.name
            if item.name != self._fleet.own_state.name and (is_own or item.name not in known):
                self._fleet.set_capacity(item.name, item.capacity)
        if report.wanted and report.delivery is Delivery.DIRECT:
            answer = self._report(report.wanted[:MAX_WANTED], ())
            self._transport.send([OutgoingDatagram(report.state.host, answer)])

    def _report(self, names: tuple[str, ...], wanted: tuple[str, ...]) -> CapacityReport:
        own = self._fleet.own_state
        known = self._fleet.zones.capacities
        told = {name: known[name] for name in names if name in known}
        told[own.name] = self._capacity
        return CapacityReport(
            own, tuple(NodeCapacity(name, value) for name, value in told.items()), wanted
        )
