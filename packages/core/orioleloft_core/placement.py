"""Placement of services on entry nodes by rendezvous hashing, which needs no agreement."""

import collections
from collections.abc import Collection, Mapping

from orioleloft_core import hashing, nodecapacity
from orioleloft_core.nodecapacity import NodeMap
from orioleloft_core.registry import RegisteredTarget

# Entry nodes of a zone that its callers get for one service, not counting busy nodes. Few nodes
# receive enough requests each to keep connections open and to detect slow targets. A slot that one
# of them frees goes to the request that has waited longest there, so under overload three queues
# lose fewer requests than six. One VM answers some 150 requests a second, and a zone
# sends up to 200 in a burst; if one node is lost, two remain.
RECEIVERS_PER_ZONE = 3
# Nodes of a zone, neither weak nor busy, from which weak ones receive no requests.
MIN_STRONG_NODES = 2
# Services and zones whose receivers a `NodeMap` keeps; deployments have some tens of them.
MAX_KEPT_RECEIVERS = 512


def ranked_nodes(
    service: str, zones: Mapping[str, str], zone: str, busy: Collection[str] = ()
) -> list[str]:
    """Returns the nodes of a zone in the order in which they receive requests for a service.

    Nodes of unequal capacities are ranked by weighted rendezvous hashing. Weak ones are left out
    while `MIN_STRONG_NODES` others are not busy, and come last otherwise.

    Args:
        service: name of the service.
        zones: availability zones of nodes by node name; a `NodeMap` if capacities are known.
        zone: the zone whose nodes are ranked.
        busy: names of the nodes that are busy.
    """
    names = [name for name, its in zones.items() if its == zone]
    weights = _weights(names, zones)
    if not weights:
        return hashing.rendezvous_order(service, names)
    ranked = hashing.weighted_rendezvous_order(service, weights)
    least = nodecapacity.WEAK_FRACTION * max(weights.values())
    strong = [name for name in ranked if weights[name] >= least]
    if sum(name not in busy for name in strong) >= MIN_STRONG_NODES:
        return strong
    return strong + [name for name in ranked if weights[name] < least]


def _weights(names: Collection[str], zones: Mapping[str, str]) -> dict[str, float]:
    """Returns the weights of the nodes of one zone, or nothing if they count as equal."""
    match zones:
        case NodeMap(capacities=capacities):
            return nodecapacity.weights(names, capacities)
    return {}


def receivers(service: str, zones: Mapping[str, str], zone: str) -> list[str]:
    """Returns the nodes of a zone that receive the requests for a service if none is busy.

    The result is kept in a `NodeMap`, which is never changed. After a loss of all power each
    request checks the owners of all cold targets: for 100 targets and 224 unequal nodes, ranking
    the zone each time took 17 ms.

    Args:
        service: name of the service.
        zones: availability zones of all registered nodes by node name.
        zone: the zone.
    """
    if not isinstance(zones, NodeMap):
        return ranked_nodes(service, zones, zone)[:RECEIVERS_PER_ZONE]
    key = service, zone
    found = zones.receivers.get(key)
    if found is None:
        if len(zones.receivers) >= MAX_KEPT_RECEIVERS:
            zones.receivers.clear()
        found = ranked_nodes(service, zones, zone)[:RECEIVERS_PER_ZONE]
        zones.receivers[key] = found
    return found


def owners(target: RegisteredTarget, zones: Mapping[str, str], count: int) -> list[str]:
    """Returns the nodes that may send requests to a target while it is cold.

    Owners are selected by rendezvous hashing among the nodes that receive the requests for the
    target's service in its zone, or among all nodes if none is registered in that zone.

    Args:
        target: the target.
        zones: availability zones of all registered nodes by node name.
        count: maximum number of owners.
    """
    receiving = receivers(target.service, zones, target.zone)
    return hashing.rendezvous_order(target.id, receiving or zones)[:count]


def receiver_count(zones: Mapping[str, str]) -> int:
    """Returns the number of nodes in all zones that receive the requests for one service.

    Args:
        zones: availability zones of all registered nodes by node name.
    """
    members: dict[str, list[str]] = collections.defaultdict(list)
    for name, zone in zones.items():
        members[zone].append(name)
    return sum(
        min(RECEIVERS_PER_ZONE, _candidate_count(names, zones)) for names in members.values()
    )


def _candidate_count(names: Collection[str], zones: Mapping[str, str]) -> int:
    """Returns how many nodes of one zone receive requests for some service, if none is busy."""
    weights = _weights(names, zones)
    if not weights:
        return len(names)
    least = nodecapacity.WEAK_FRACTION * max(weights.values())
    strong = sum(weight >= least for weight in weights.values())
    return strong if strong >= MIN_STRONG_NODES else len(names)
