"""Heartbeats between the configured seats: peers' facts, suspicion and incarnations."""

import dataclasses
import math

from orioleloft_core.effects import Effect, Send
from orioleloft_core.lifecycle import STATES
from orioleloft_core.messages import NodeFacts, Ping, Pong
from orioleloft_core.settings import Settings

NEVER = float("-inf")

ROUNDING_S = 1e-6


@dataclasses.dataclass(frozen=True)
class Peer:
    """What is known about the node on another seat.

    Attributes:
        facts: latest facts of the newest incarnation heard.
        heard_at: time at which its last message arrived, seconds on the own clock.
        confirmed_at: time at which the newest ping that it acknowledged was sent. It bounds the
            delay of the answer, which `heard_at` does not.
    """

    facts: NodeFacts
    heard_at: float
    confirmed_at: float = NEVER


class Membership:
    """View of the fleet's seats. No guarantee depends on the view being right.

    Args:
        settings: settings of the node.
        incarnation: own incarnation.
    """

    def __init__(self, settings: Settings, incarnation: str) -> None:
        fleet = settings.fleet
        self._seat = settings.node.name
        self._incarnation = incarnation
        self._others = tuple(name for name in fleet.names if name != self._seat)
        self._majority = fleet.majority
        self._heartbeat_s = fleet.heartbeat_ms / 1000
        self._suspicion_s = fleet.suspicion_ms / 1000
        self._keep_s = max(fleet.suspicion_ms, fleet.hold_time_ms) / 1000
        self._peers: dict[str, Peer] = {}
        self._sent: dict[int, float] = {}
        self._seq = 0
        self._started: float | None = None
        self._next_ping_at = NEVER
        self._revision = 0
        self._suspected: frozenset[str] = frozenset()
        # The suspected seats stay the same for this time, unless one of them is heard.
        self._suspected_from = math.inf
        self._suspected_until = NEVER

    @property
    def seat(self) -> str:
        """Own seat."""
        return self._seat

    @property
    def incarnation(self) -> str:
        """Own incarnation."""
        return self._incarnation

    @property
    def peers(self) -> dict[str, Peer]:
        """Other seats heard so far, by seat."""
        return self._peers

    def revision(self, now: float) -> int:
        """Returns a number that changes with the suspected seats and with each peer's identity.

        The identity is a peer's incarnation and lifecycle state.
        """
        self.suspected(now)
        return self._revision

    def suspected(self, now: float) -> frozenset[str]:
        """Returns all seats that `is_suspected` tells of, without a look at each seat."""
        if not self._suspected_from <= now < self._suspected_until:
            self._find_suspected(now)
        return self._suspected

    def is_ping_due(self, now: float) -> bool:
        """Tells whether `tick` would send pings."""
        return now >= self._next_ping_at

    def tick(self, now: float, facts: NodeFacts) -> list[Effect]:
        """Sends a ping to each other seat when one is due.

        Args:
            now: seconds on the own clock.
            facts: own facts.
        """
        self._note_start(now)
        if not self.is_ping_due(now):
            return []
        self._next_ping_at = now + self._heartbeat_s
        self._seq += 1
        self._sent[self._seq] = now
        self._forget_old_pings(now)
        ping = Ping(self._seq, facts)
        return [Send(seat, ping) for seat in self._others]

    def announce(self) -> None:
        """Makes the next `tick` send pings, so that a change of the own facts is heard at once."""
        self._next_ping_at = NEVER

    def on_ping(self, now: float, ping: Ping, own_facts: NodeFacts) -> list[Effect]:
        """Answers a ping, unless its sender is superseded."""
        self._note_start(now)
        if not self.accepts(ping.facts):
            return []
        self._record(now, ping.facts, NEVER)
        return [Send(ping.facts.seat, Pong(ping.seq, ping.facts.incarnation, own_facts))]

    def on_pong(self, now: float, pong: Pong) -> float | None:
        """Takes an acknowledgement.

        Returns:
            The time at which the ping was sent, or None for a pong to ignore: it answers another
            incarnation, its sender is superseded, or the ping is too old to confirm anything.
        """
        self._note_start(now)
        sent_at = self._sent.get(pong.seq)
        if pong.to_incarnation != self._incarnation or sent_at is None:
            return None
        if now - sent_at > self._keep_s or not self.accepts(pong.facts):
            return None
        self._record(now, pong.facts, sent_at)
        return sent_at

    def accepts(self, facts: NodeFacts) -> bool:
        """Tells whether facts come from a configured other seat and are not superseded."""
        if facts.seat not in self._others:
            return False
        peer = self._peers.get(facts.seat)
        return peer is None or _birth(facts) >= _birth(peer.facts)

    def is_suspected(self, now: float, seat: str) -> bool:
        """Tells whether a seat has been silent for the suspicion time.

        A seat that was never heard counts as heard at the own start, so that a starting node does
        not take over every task at once.
        """
        if seat == self._seat:
            return False
        peer = self._peers.get(seat)
        started = now if self._started is None else self._started
        heard_at = started if peer is None else peer.heard_at
        return now - heard_at >= self._suspicion_s

    def hears_majority(self, now: float) -> bool:
        """Tells whether a majority of the configured seats, the own one included, answers.

        Only pings sent within the suspicion time count. Messages that were delayed on the way
        therefore do not make a cut-off node look connected.
        """
        oldest = now - self._suspicion_s
        heard = sum(peer.confirmed_at > oldest for peer in self._peers.values())
        return heard + 1 >= self._majority

    def _find_suspected(self, now: float) -> None:
        found = frozenset(seat for seat in self._others if self.is_suspected(now, seat))
        started = now if self._started is None else self._started
        heard = (
            self._peers[seat].heard_at if seat in self._peers else started
            for seat in self._others
            if seat not in found
        )
        self._suspected_from = now
        # Rounding may put the sum a little after the time at which `is_suspected` changes.
        self._suspected_until = min(heard, default=math.inf) + self._suspicion_s - ROUNDING_S
        self._revision += found != self._suspected
        self._suspected = found

    def _note_start(self, now: float) -> None:
        if self._started is None:
            self._started = now

    def _forget_old_pings(self, now: float) -> None:
        kept = {seq: at for seq, at in self._sent.items() if now - at <= self._keep_s}
        self._sent = kept

    def _record(self, now: float, facts: NodeFacts, sent_at: float) -> None:
        known = self._peers.get(facts.seat)
        if facts.seat in self._suspected:
            self._suspected_until = NEVER
        if known is None or known.facts.incarnation != facts.incarnation:
            self._revision += 1
            self._peers[facts.seat] = Peer(facts, now, sent_at)
            return
        newest = known.facts if _is_older(facts, known.facts) else facts
        self._revision += newest.state != known.facts.state
        self._peers[facts.seat] = Peer(newest, now, max(sent_at, known.confirmed_at))


def _birth(facts: NodeFacts) -> tuple[int, str]:
    """Orders the incarnations of one seat."""
    return facts.started_ms, facts.incarnation


def _is_older(facts: NodeFacts, known: NodeFacts) -> bool:
    """Tells from values that only grow whether facts were overtaken on the way."""
    return (
        STATES.index(facts.state) < STATES.index(known.state)
        or facts.catalog_version < known.catalog_version
        or facts.epoch < known.epoch
        or facts.key_window < known.key_window
    )
