"""Capacities of entry nodes: what bounds a node, as one number that is comparable between nodes.

A node computes its own capacity from its settings and tells it to the others in `CapacityReport`
datagrams. Nodes of the previous build drop these, and the states in all other messages stay as they
are. Capacities count in a zone only once those of all its registered nodes are known, alive or not.
A node then holds one of two rankings of the zone, with or without capacities, and not one for each
set of nodes that it has heard of: the limits of cold targets allow for two sets of owners.
"""

import math
from collections.abc import Iterable, Mapping

# Requests per second that one core handles, with their probes (docs/CAPACITY.md).
REQUESTS_PER_CORE_S = 333.0
# Cores that a node can use: one event loop on one thread, and the kernel's share of the network
# traffic beside it.
MAX_USABLE_CORES = 1.25
# Bytes on the link for one request with its probes. Bodies are assumed to be small.
LINK_BYTES_PER_REQUEST = 4096
# Memory for bodies, as a fraction of a node's memory, and what a request of a small body takes of
# it for a second.
BODY_MEMORY_FRACTION = 0.25
BODY_BYTES_PER_REQUEST = 64 * 1024
# Capacities are rounded down to powers of this factor, so that a node announces no change of less
# than a quarter, and VMs of one kind are equal. Rounding to the nearest power stated 0.3 of a core
# as more than a quarter of the strongest node.
STEP_FACTOR = 1.25
# Ratio of the capacities in a zone up to which its nodes count as equal.
MAX_EQUAL_RATIO = 1.5
# Nodes with less than this fraction of the zone's greatest capacity are weak.
WEAK_FRACTION = 0.25
# Limits on a capacity that another node states.
MIN_CAPACITY = 1e-3
MAX_CAPACITY = 1e9


def node_capacity(cpu_cores: float | None, link_mbps: float | None, memory_bytes: int) -> float:
    """Returns the requests per second that a node can handle, in steps of `STEP_FACTOR`.

    Args:
        cpu_cores: cores that the node may use, or None if the settings do not state them.
        link_mbps: rate of its link in Mbit/s, or None if the settings do not state it.
        memory_bytes: its memory.

    Returns:
        The capacity, or 0 if the cores are not stated: then the node takes no part in this.
    """
    if cpu_cores is None:
        return 0.0
    bounds = [
        min(cpu_cores, MAX_USABLE_CORES) * REQUESTS_PER_CORE_S,
        memory_bytes * BODY_MEMORY_FRACTION / BODY_BYTES_PER_REQUEST,
    ]
    if link_mbps is not None:
        bounds.append(link_mbps * 1e6 / 8 / LINK_BYTES_PER_REQUEST)
    least = min(MAX_CAPACITY, max(MIN_CAPACITY, min(bounds)))
    return round(STEP_FACTOR ** math.floor(math.log(least, STEP_FACTOR)), 3)


def is_valid(capacity: float) -> bool:
    """Whether another node may state this capacity."""
    return MIN_CAPACITY <= capacity <= MAX_CAPACITY


def weights(names: Iterable[str], capacities: Mapping[str, float]) -> dict[str, float]:
    """Returns the weights of nodes of one zone, or nothing if they count as equal.

    Args:
        names: all nodes of the zone.
        capacities: known capacities by node name.
    """
    known = {name: capacities.get(name, 0.0) for name in names}
    if not known or min(known.values()) <= 0:
        return {}
    if max(known.values()) <= MAX_EQUAL_RATIO * min(known.values()):
        return {}
    return known


class NodeMap(dict[str, str]):
    """Availability zones of nodes by node name, with the capacities that are known.

    Attributes:
        capacities: known capacities by node name; those of other nodes may be among them.
        receivers: results of `placement.receivers` by service and zone.
    """

    def __init__(self, zones: Mapping[str, str], capacities: Mapping[str, float]) -> None:
        super().__init__(zones)
        self.capacities = capacities
        self.receivers: dict[tuple[str, str], list[str]] = {}
