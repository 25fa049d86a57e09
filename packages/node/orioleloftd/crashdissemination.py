"""Dissemination of the evidence on requests that crash targets.

New evidence is broadcast. A node that starts asks its seeds before it serves, and the nodes of its
zone send it what they hold; blocks in force are repeated, for nodes that were cut off.
"""

import logging
import random
from collections.abc import Callable, Iterable

from orioleloft_core.crashes import CrashRecord, CrashTracker
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import CrashReport, OutgoingDatagram
from orioleloftd.connections import ExchangeError
from orioleloftd.logs import log_event
from orioleloftd.peering import DatagramEndpoint, StateExchange

# Time between two repetitions of the blocks in force, in seconds, and the number of nodes in the
# fleet that repeat them, on average. A machine is held to a block 3 s after it is in touch again.
REPEAT_PERIOD_S = 1.0
REPEATING_NODES = 2
# Records that fit a datagram, and the maximum number that is repeated or sent to a started node.
RECORDS_PER_DATAGRAM = 2
MAX_RECORDS_SENT = 20
# Maximum number of records that a seed hands over.
MAX_RECORDS_TRANSFERRED = 1_000

_log = logging.getLogger(__name__)


class CrashDissemination:
    """Sends the evidence of this node to the others and merges theirs.

    Args:
        tracker: evidence of this node.
        fleet: membership.
        transport: sends datagrams.
        exchange: fetches records over HTTP.
        rng: random number generator.
        clock: returns seconds of the node's clock.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        fleet: Fleet,
        transport: DatagramEndpoint,
        exchange: StateExchange,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._tracker = tracker
        self._fleet = fleet
        self._transport = transport
        self._exchange = exchange
        self._rng = rng
        self._clock = clock
        self._repeated_at = clock()
        self._fleet_version = -1
        self._incarnations: dict[str, int] = {}

    def report(self, records: Iterable[CrashRecord]) -> None:
        """Reports records to all nodes, as callers may send to any of them."""
        for report in self._reports(list(records)):
            self._transport.send(self._fleet.broadcast(report))

    def on_report(self, report: CrashReport) -> None:
        """Merges and relays a report; tells the sender, or all nodes, what is known beyond it."""
        self._transport.send(self._fleet.relay(report))
        for record in report.records:
            reply = self._tracker.merge(self._clock(), record)
            if reply is None:
                continue
            if reply.is_for_all:
                self.report((reply.record,))
                continue
            answer = CrashReport(self._fleet.own_state, (reply.record,))
            self._transport.send([OutgoingDatagram(report.state.host, answer)])

    async def fetch(self, host: str) -> None:
        """Fetches the records of another node."""
        try:
            records = await self._exchange.fetch_crashes(host)
        except ExchangeError as error:
            log_event(_log, "crash records not fetched", source=host, reason=str(error))
            return
        for record in records:
            self._tracker.merge(self._clock(), record)

    def records_to_transfer(self) -> tuple[CrashRecord, ...]:
        """Returns the records for a node that starts."""
        return tuple(self._tracker.records(self._clock(), MAX_RECORDS_TRANSFERRED))

    def tick(self) -> None:
        """Sends records to nodes that have started or returned, and repeats the blocks in force.

        Called every `membership.PING_PERIOD_S`.
        """
        self._send_to_new_nodes()
        now = self._clock()
        if now - self._repeated_at < REPEAT_PERIOD_S:
            return
        self._repeated_at = now
        blocked = self._tracker.records(now, MAX_RECORDS_SENT, only_blocked=True)
        if not blocked:
            return
        alive = self._fleet.alive()
        is_repeating = self._rng.random() * (1 + len(alive)) < REPEATING_NODES
        # A single receiver is enough to learn of an answer whose report this node has missed.
        near = [state for state in alive if state.zone == self._fleet.own_state.zone]
        for report in self._reports(blocked):
            if is_repeating:
                self._transport.send(self._fleet.broadcast(report))
            elif near:
                self._transport.send([OutgoingDatagram(self._rng.choice(near).host, report)])

    def _send_to_new_nodes(self) -> None:
        """Sends records to the nodes of this zone that this node hears for the first time."""
        if self._fleet.version == self._fleet_version:
            return
        self._fleet_version = self._fleet.version
        alive = self._fleet.alive()
        known, self._incarnations = self._incarnations, {s.name: s.incarnation for s in alive}
        zone = self._fleet.own_state.zone
        new = [s for s in alive if s.zone == zone and known.get(s.name) != s.incarnation]
        records = self._tracker.records(self._clock(), MAX_RECORDS_SENT) if new else []
        for report in self._reports(records):
            self._transport.send([OutgoingDatagram(state.host, report) for state in new])

    def _reports(self, records: list[CrashRecord]) -> list[CrashReport]:
        own_state = self._fleet.own_state
        return [
            CrashReport(own_state, tuple(records[start : start + RECORDS_PER_DATAGRAM]))
            for start in range(0, len(records), RECORDS_PER_DATAGRAM)
        ]
