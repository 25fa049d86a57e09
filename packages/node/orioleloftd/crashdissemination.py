"""Dissemination of the evidence on requests that crash targets."""

from collections.abc import Callable, Iterable

from orioleloft_core.crashes import CrashRecord, CrashTracker
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import CrashReport, OutgoingDatagram
from orioleloftd.peering import DatagramEndpoint


class CrashDissemination:
    """Sends the evidence of this node to the others and merges theirs.

    Args:
        tracker: evidence of this node.
        fleet: membership.
        transport: sends datagrams.
        clock: returns seconds of the node's clock.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        fleet: Fleet,
        transport: DatagramEndpoint,
        clock: Callable[[], float],
    ) -> None:
        self._tracker = tracker
        self._fleet = fleet
        self._transport = transport
        self._clock = clock

    def report(self, records: Iterable[CrashRecord]) -> None:
        """Reports records to all nodes, as callers may send to any of them."""
        for record in records:
            report = CrashReport(self._fleet.own_state, (record,))
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
