"""Placement of services on entry nodes by rendezvous hashing, which needs no agreement."""

import collections
from collections.abc import Mapping

from orioleloft_core import hashing
from orioleloft_core.registry import RegisteredTarget

# Entry nodes of a zone that its callers get for one service, not counting busy nodes. Few nodes
# receive enough requests each to keep connections open and to detect slow targets. A slot that one
# of them frees goes to the request that has waited longest there, so under overload three queues
# lose fewer requests than six. One VM answers some 150 requests a second, and a zone
# sends up to 200 in a burst; if one node is lost, two remain.
RECEIVERS_PER_ZONE = 3


def ranked_nodes(service: str, zones: Mapping[str, str], zone: str) -> list[str]:
    """Returns the nodes of a zone in the order in which they receive requests for a service.

    Args:
        service: name of the service.
        zones: availability zones of nodes by node name.
        zone: the zone whose nodes are ranked.
    """
    return hashing.rendezvous_order(service, (name for name, its in zones.items() if its == zone))


def owners(target: RegisteredTarget, zones: Mapping[str, str], count: int) -> list[str]:
    """Returns the nodes that may send requests to a target while it is cold.

    Owners are selected by rendezvous hashing among the nodes that receive the requests for the
    target's service in its zone, or among all nodes if none is registered in that zone.

    Args:
        target: the target.
        zones: availability zones of all registered nodes by node name.
        count: maximum number of owners.
    """
    receiving = ranked_nodes(target.service, zones, target.zone)[:RECEIVERS_PER_ZONE]
    return hashing.rendezvous_order(target.id, receiving or zones)[:count]


def receiver_count(zones: Mapping[str, str]) -> int:
    """Returns the number of nodes in all zones that receive the requests for one service.

    Args:
        zones: availability zones of all registered nodes by node name.
    """
    counts = collections.Counter(zones.values())
    return sum(min(RECEIVERS_PER_ZONE, count) for count in counts.values())
