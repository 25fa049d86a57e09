"""Which nodes may send work to a target that has just started, and how much.

The bound holds for the sum over all nodes, also over nodes that cannot hear each other. So it is
shared among a fixed few owners, chosen from the registered nodes and not from the nodes heard. The
owners are among the nodes that callers of the service are sent to, or they would get no requests.
"""

import math
from collections.abc import Iterable, Mapping

from orioleloft_core import placement
from orioleloft_core.registry import RegisteredTarget

# Owners of a cold target.
OWNERS = 2
# Views of the registered nodes may differ while one is added; each owner then stays at half of
# its share, so that two sets of owners together keep the bound.
VIEWS = 2
# Time over which an owner counts its requests, in seconds. The operators' bound holds for any
# second; the rest covers requests that take longer on their way than later ones.
RATION_WINDOW_S = 1.1


def owner_rate(cold_per_s: float, multiplier: float, slack: float) -> int:
    """Returns the requests that one owner may send to a cold target in one second.

    Args:
        cold_per_s: requests a second that a cold target tolerates.
        multiplier: factor on the tolerated rate that the operators allow.
        slack: requests a second that the operators allow on top.
    """
    bound = cold_per_s * multiplier + slack
    return max(0, math.floor(bound / (OWNERS * VIEWS)))


class ColdStarts:
    """Rations the requests of this node to cold targets.

    Args:
        node: name of this node.
        multiplier: see `owner_rate`.
        slack: see `owner_rate`.
    """

    def __init__(self, node: str, multiplier: float, slack: float) -> None:
        self._node = node
        self._multiplier = multiplier
        self._slack = slack
        self._sent: dict[str, list[float]] = {}

    def is_owner(self, target: RegisteredTarget, zones: Mapping[str, str]) -> bool:
        """Whether this node is among the owners of a target.

        Args:
            target: the target.
            zones: availability zones of all registered nodes by name, heard or not.
        """
        return self._node in placement.owners(target, zones, OWNERS)

    def may_send(
        self, now: float, target: RegisteredTarget, cold_per_s: float, zones: Mapping[str, str]
    ) -> bool:
        """Whether one more request may go to a cold target now."""
        rate = owner_rate(cold_per_s, self._multiplier, self._slack)
        sent = self._sent.get(target.id, ())
        recent = [moment for moment in sent if now - moment < RATION_WINDOW_S]
        self._sent[target.id] = recent
        return len(recent) < rate and self.is_owner(target, zones)

    def on_sent(self, now: float, target_id: str) -> None:
        """Counts a request to a cold target."""
        self._sent.setdefault(target_id, []).append(now)

    def on_withdrawn(self, target_id: str) -> None:
        """Forgets the last request counted by `on_sent`, as it was not sent."""
        sent = self._sent.get(target_id)
        if sent:
            sent.pop()

    def forget(self, known: Iterable[str]) -> None:
        """Forgets targets that are not known any more."""
        kept = set(known)
        self._sent = {name: sent for name, sent in self._sent.items() if name in kept}
