"""Watcher election without a leader: a few nodes watch the platform's store for the fleet.

There is no vote. Each node decides for itself from the store access in the states of all nodes;
one watcher too many does no harm. Nodes that read the store stay watchers. If no watcher reaches
the store, further nodes try, more with each step up to a maximum. An outage of the store then costs
few calls whatever the size of the fleet, and where the store cannot be reached by most nodes, one
that reaches it is found within a second.
"""

import math
from collections.abc import Iterable

from orioleloft_core import hashing
from orioleloft_core.messages import NodeState, StoreAccess

# Nodes that watch the store for the fleet. Three, because three cut nodes out of 15 include all
# watchers with a probability of only 1 in 455; with two watchers it is 1 in 35.
WATCHER_COUNT = 3
# Additional watchers while any node has lost the store. A watcher that the store refuses silently
# appears to read it for up to 0.9 s, so all three watchers may be refused unnoticed.
SPARE_WATCHER_COUNT = 2
# Nodes that may have tried to read the store at the start of an outage, with those that read it
# before. The number doubles after each step, in seconds, up to a maximum, without waiting for the
# answers: a node whose path is cut silently takes 0.5 s to notice it.
FIRST_TRIES = 8
TRIES_STEP_S = 0.25
MAX_TRIES = 32
# Period after which a few more nodes try in a long outage, in seconds.
LATE_TRIES_PERIOD_S = 8.0
# Time after which a node that has lost the store counts as ready again, in seconds. The operators'
# bounds apply again only after that time has passed since the return of the store.
STORE_RETRY_S = 10.0


def allowed_tries(elapsed: float) -> int:
    """Returns how many nodes may have tried to read the store since no node reads it.

    Args:
        elapsed: time since then, in seconds.
    """
    doublings = int(min(elapsed, LATE_TRIES_PERIOD_S) / TRIES_STEP_S)
    first = min(MAX_TRIES, FIRST_TRIES << doublings)
    return first + WATCHER_COUNT * int(elapsed / LATE_TRIES_PERIOD_S)


class WatcherElection:
    """Decides from the states of all nodes whether this node watches the store."""

    def __init__(self) -> None:
        self._lost_at: dict[str, float] = {}
        # Time since which no node reads the store and some have lost it, or None, and the names of
        # all that have lost it since.
        self._outage_since: float | None = None
        self._tried: set[str] = set()
        # Whether this node goes on to watch or, without access, to call the store.
        self._is_watching = False
        # Position of this node among those that may begin to watch, and how many of them should.
        self._rank = math.inf
        self._open_count = 0

    def update_states(self, now: float, own: NodeState, others: Iterable[NodeState]) -> None:
        """Recomputes the election; call it after any of the states has changed.

        Args:
            now: seconds on the node's clock.
            own: state of this node.
            others: states of the other nodes that are alive.
        """
        states = [state for state in (own, *others) if not state.is_leaving]
        reading = _with_access(states, StoreAccess.READING)
        lost = _with_access(states, StoreAccess.LOST)
        self._lost_at = {state.name: self._lost_at.get(state.name, now) for state in lost}
        self._update_outage(now, bool(reading))
        watchers = WATCHER_COUNT + SPARE_WATCHER_COUNT * bool(lost)
        self._open_count = watchers - len(reading)
        self._is_watching = False
        self._rank = math.inf
        if own.is_leaving:
            return
        match own.store:
            case StoreAccess.READING:
                # The same number as for ready nodes: a node that may start to read must not have
                # to stop after its first answer.
                self._is_watching = own in _top_ranked(reading, watchers)
            case StoreAccess.LOST:
                # While no node reads the store, some must keep calling it to notice its return.
                self._is_watching = not reading and own in _top_ranked(lost, WATCHER_COUNT)
            case StoreAccess.READY if self._open_count > 0:
                ready = _with_access(states, StoreAccess.READY)
                self._rank = _ranked(ready, reading).index(own)

    def _update_outage(self, now: float, is_any_reading: bool) -> None:
        if is_any_reading:
            self._outage_since = None
            self._tried.clear()
            return
        self._tried.update(self._lost_at)
        if self._outage_since is None and self._lost_at:
            self._outage_since = now

    def is_retry_due(self, now: float, name: str) -> bool:
        """Whether a node lost the store at least `STORE_RETRY_S` ago and should count as ready."""
        return now - self._lost_at.get(name, now) >= STORE_RETRY_S

    def is_watcher(self, now: float) -> bool:
        """Whether this node should watch the store now.

        Args:
            now: seconds on the node's clock.
        """
        if self._outage_since is None or not self._lost_at:
            places = self._open_count
        else:
            places = allowed_tries(now - self._outage_since) - len(self._tried)
        return self._is_watching or self._rank < places


def _with_access(states: Iterable[NodeState], access: StoreAccess) -> list[NodeState]:
    return [state for state in states if state.store is access]


def _top_ranked(states: list[NodeState], count: int) -> list[NodeState]:
    """Returns this many of the first nodes in the order of `_ranked`; there may be fewer."""
    return states if len(states) <= count else _ranked(states)[:count]


def _ranked(states: list[NodeState], current: Iterable[NodeState] = ()) -> list[NodeState]:
    """Sorts nodes in rendezvous order, with one from each zone first.

    Args:
        states: the nodes.
        current: nodes that watch already; their zones come last.
    """
    by_name = {state.name: state for state in states}
    ranked = [by_name[name] for name in hashing.rendezvous_order("watch", by_name)]
    zones = {state.zone for state in current}
    chosen = []
    for state in ranked:
        if state.zone not in zones:
            zones.add(state.zone)
            chosen.append(state)
    names = {state.name for state in chosen}
    return chosen + [state for state in ranked if state.name not in names]
