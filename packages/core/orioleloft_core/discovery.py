"""Selection of the entry nodes that callers are told to connect to, with a cache."""

from collections.abc import Callable, Iterable, Mapping

from orioleloft_core import hashing, placement
from orioleloft_core.messages import NodeState
from orioleloft_core.nodecapacity import NodeMap

# Fewest serving nodes in the caller's zone for which only hosts of this zone are returned.
MIN_LOCAL_NODES = 2
# Most hosts for a caller whose zone has fewer serving nodes than that.
MAX_CROSS_ZONE_HOSTS = 15
# Most answers in the cache; callers are free to ask for any name, so it has to be bounded.
MAX_CACHED_ANSWERS = 1000


def select_entry_hosts(
    serving_nodes: Iterable[NodeState], own: NodeState, zone: str, service: str, limit: int
) -> list[str]:
    """Returns the hosts that a caller in a zone should connect to for a service.

    Nodes of the caller's zone are preferred, as they avoid traffic between zones. Where fewer than
    `MIN_LOCAL_NODES` of them serve, nodes of all zones are returned, so that the callers of a whole
    zone do not overload its last nodes.

    Args:
        serving_nodes: the nodes that serve callers, with their capacities.
        own: state of this node, whose host is the fallback if no node is known to serve.
        zone: availability zone of the caller.
        service: service that the caller wants to reach.
        limit: largest number of hosts.
    """
    states = {state.name: state for state in serving_nodes}
    if not states:
        return [] if own.is_leaving else [own.host]
    zones = NodeMap(
        {name: state.zone for name, state in states.items()},
        {name: state.capacity for name, state in states.items()},
    )
    busy = {name for name, state in states.items() if state.is_busy}
    local = placement.ranked_nodes(service, zones, zone, busy)
    if len(local) >= MIN_LOCAL_NODES:
        return [states[name].host for name in _with_spares_for_busy(local, states)[:limit]]
    others = [name for name in hashing.rendezvous_order(service, states) if name not in local]
    selected = (local + others)[: min(limit, MAX_CROSS_ZONE_HOSTS)]
    return [states[name].host for name in selected]


def _with_spares_for_busy(ranked_nodes: list[str], states: Mapping[str, NodeState]) -> list[str]:
    """Returns the first nodes in rank order, with one spare for each that is busy.

    Weak nodes are not among them, and so no spares, while strong ones have room.
    """
    selected = []
    needed = placement.RECEIVERS_PER_ZONE
    for name in ranked_nodes:
        if needed == 0:
            break
        selected.append(name)
        needed -= not states[name].is_busy
    return selected


class EntryHostCache:
    """Cache of `select_entry_hosts` by zone, service and limit.

    Ranking 312 nodes takes 0.5 ms, and each node gets several such lookups a second.
    """

    def __init__(self) -> None:
        self._version = -1
        self._cache: dict[tuple[str, str, int], list[str]] = {}

    def hosts(
        self,
        version: int,
        serving_nodes: Callable[[], Iterable[NodeState]],
        own: NodeState,
        zone: str,
        service: str,
        limit: int,
    ) -> list[str]:
        """Returns the hosts from the cache, or selects them.

        Args:
            version: version of the serving nodes; the cache is cleared when it changes.
            serving_nodes: returns the nodes that serve callers; called only on a cache miss.
            own: see `select_entry_hosts`.
            zone: see `select_entry_hosts`.
            service: see `select_entry_hosts`.
            limit: see `select_entry_hosts`.
        """
        if version != self._version:
            self._version = version
            self._cache = {}
        key = (zone, service, limit)
        if key not in self._cache:
            if len(self._cache) >= MAX_CACHED_ANSWERS:
                self._cache = {}
            self._cache[key] = select_entry_hosts(serving_nodes(), own, zone, service, limit)
        return self._cache[key]
