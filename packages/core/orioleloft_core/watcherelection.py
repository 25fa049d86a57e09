"""Watcher election without a leader: a few nodes watch the platform's store for the fleet.

There is no vote. Each node decides for itself from the store access in the states of all nodes;
one watcher too many does no harm. Nodes that read the store stay watchers. If no watcher reaches
the store, further nodes take over after growing delays. An outage of the store then costs few calls
whatever the size of the fleet, and where the store refuses only the current watchers, a node that
it serves is still found.
"""

from collections.abc import Iterable

from orioleloft_core import hashing
from orioleloft_core.messages import NodeState, StoreAccess

# Nodes that watch the store for the fleet. A watcher whose connection is cut silently notices only
# after 5 s, and a configuration has to be in force in 2 s, so one of them must stay connected.
# Three watchers, because three cut nodes out of 15 include all watchers with a probability of only
# 1 in 455; with two watchers it is 1 in 35.
WATCHER_COUNT = 3
# Additional watchers while any node has lost the store. A watcher that the store refuses silently
# appears to read it for up to 2 s, so all three watchers may be refused unnoticed.
SPARE_WATCHER_COUNT = 1
# Delay before further nodes take over from three that have lost the store, in seconds; doubled for
# each three more. Half a second covers the dissemination of the loss.
MIN_TAKEOVER_DELAY_S = 0.5
MAX_TAKEOVER_DELAY_S = 8.0
# Time after which a node that has lost the store counts as ready again, in seconds. The operators'
# bounds apply again only after that time has passed since the return of the store.
STORE_RETRY_S = 10.0


def takeover_delay(lost: int) -> float:
    """Returns the delay from the last loss of the store until further nodes take over, in seconds.

    Args:
        lost: how many nodes have lost the store.
    """
    rounds = lost // WATCHER_COUNT
    if rounds == 0:
        return 0.0
    return min(MAX_TAKEOVER_DELAY_S, MIN_TAKEOVER_DELAY_S * 2 ** (rounds - 1))


class WatcherElection:
    """Decides from the states of all nodes whether this node watches the store."""

    def __init__(self) -> None:
        self._own: NodeState | None = None
        self._lost_at: dict[str, float] = {}
        self._is_candidate = False

    def update_states(self, now: float, own: NodeState, others: Iterable[NodeState]) -> None:
        """Recomputes the election; call it after any of the states has changed.

        Args:
            now: seconds on the node's clock.
            own: state of this node.
            others: states of the other nodes that are alive.
        """
        states = [state for state in (own, *others) if not state.is_leaving]
        lost = [state.name for state in states if state.store is StoreAccess.LOST]
        self._lost_at = {name: self._lost_at.get(name, now) for name in lost}
        self._own = own
        self._is_candidate = not own.is_leaving and _is_candidate(own, states)

    def is_retry_due(self, now: float, name: str) -> bool:
        """Whether a node lost the store at least `STORE_RETRY_S` ago and should count as ready."""
        return now - self._lost_at.get(name, now) >= STORE_RETRY_S

    def is_watcher(self, now: float) -> bool:
        """Whether this node should watch the store now.

        Args:
            now: seconds on the node's clock.
        """
        if not self._is_candidate:
            return False
        return self._own.store is not StoreAccess.READY or self._is_takeover_due(now)

    def _is_takeover_due(self, now: float) -> bool:
        if not self._lost_at:
            return True
        return now - max(self._lost_at.values()) >= takeover_delay(len(self._lost_at))


def _is_candidate(own: NodeState, states: list[NodeState]) -> bool:
    """Whether a node is a watcher, at the latest once the takeover delay has passed."""
    reading = _with_access(states, StoreAccess.READING)
    is_any_lost = any(state.store is StoreAccess.LOST for state in states)
    watchers = WATCHER_COUNT + SPARE_WATCHER_COUNT * is_any_lost
    match own.store:
        case StoreAccess.READING:
            # The same number as for ready nodes: a node that may start to read must not have to
            # stop after its first answer.
            return own in _top_ranked(reading, watchers)
        case StoreAccess.READY:
            ready = _with_access(states, StoreAccess.READY)
            return own in _top_ranked(ready, watchers - len(reading), reading)
        case StoreAccess.LOST:
            # While no node reads the store, some must keep calling it to notice its return.
            return not reading and own in _top_ranked(
                _with_access(states, own.store), WATCHER_COUNT
            )
    return False


def _with_access(states: Iterable[NodeState], access: StoreAccess) -> list[NodeState]:
    return [state for state in states if state.store is access]


def _top_ranked(
    states: list[NodeState], count: int, current: Iterable[NodeState] = ()
) -> list[NodeState]:
    """Returns the first nodes in rendezvous order, from as many different zones as possible.

    Args:
        states: the candidates.
        count: how many to return; there may be fewer.
        current: nodes that watch already; their zones come last.
    """
    if count <= 0 or len(states) <= count:
        return states if count > 0 else []
    by_name = {state.name: state for state in states}
    ranked = [by_name[name] for name in hashing.rendezvous_order("watch", by_name)]
    zones = {state.zone for state in current}
    chosen = []
    for state in ranked:
        if state.zone not in zones:
            zones.add(state.zone)
            chosen.append(state)
    rest = [state for state in ranked if state not in chosen]
    return (chosen + rest)[:count]
