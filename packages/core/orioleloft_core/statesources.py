"""Choice of the nodes from which a node fetches newer parts of the shared state.

All nodes of a zone may hear at the same moment that one node has a change. If all of them fetched
it from that node, its link would be busy for seconds, so each step only as many begin as the known
sources can serve; those that have it become sources themselves.
"""

import random
from collections.abc import Sequence

from orioleloft_core.dissemination import RELAYS_PER_ZONE
from orioleloft_core.messages import NodeState

# Nodes of a zone that begin to fetch from each known source in one step, on average.
FETCHES_PER_STEP = 4
# Time after which a fetch from a node in another zone is allowed, in seconds: by then a node in
# this zone has the change as well, unless all relays to it are down.
REMOTE_FETCH_DELAY_S = 0.25
# Time after which a node fetches however many others may do so as well, in seconds.
MAX_FETCH_WAIT_S = 1.0


def choose_sources(
    own: NodeState,
    ahead: Sequence[NodeState],
    *,
    zone_size: int,
    waited: float,
    is_directly_announced: bool,
    rng: random.Random,
) -> list[NodeState]:
    """Returns the nodes to fetch from, the first one first, or none if it is better to wait.

    Args:
        own: state of this node.
        ahead: nodes that hold a newer version of any part.
        zone_size: number of nodes in the zone of this node.
        waited: time since this node heard of the newer version, in seconds.
        is_directly_announced: whether another node has asked this one to fetch; then it does not
            wait for a node in its own zone to have the change.
        rng: source of randomness.
    """
    newest = _newest_tables(own, ahead)
    local = [state for state in newest if state.zone == own.zone]
    if local:
        sources, fanout = local, FETCHES_PER_STEP
    elif is_directly_announced:
        sources, fanout = newest, FETCHES_PER_STEP
    elif waited >= REMOTE_FETCH_DELAY_S:
        sources, fanout = newest, RELAYS_PER_ZONE
    else:
        return []
    is_chosen = rng.random() * zone_size < fanout * len(sources)
    if not is_chosen and waited < MAX_FETCH_WAIT_S:
        return []
    return rng.sample(sources, len(sources))


def _newest_tables(own: NodeState, ahead: Sequence[NodeState]) -> list[NodeState]:
    """Returns the nodes with the newest route table, or all nodes if none has a newer one.

    A node that is ahead only in the targets, which change all the time, has no newer table to give.
    """
    newest = max((state.state_versions.table for state in ahead), default=0)
    if newest <= own.state_versions.table:
        return list(ahead)
    return [state for state in ahead if state.state_versions.table == newest]
