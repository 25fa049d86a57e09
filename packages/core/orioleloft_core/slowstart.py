"""Slow start: limits the request rate of targets that have just started.

The limit holds for the sum over all nodes, also in a network partition. It is therefore divided
among a fixed number of owners for each target, which are selected from the registered nodes and not
from the nodes that are alive. Owners are among the nodes that receive the requests for the service,
as other nodes would have no requests to send.
"""

import math
from collections.abc import Iterable, Mapping

from orioleloft_core import placement
from orioleloft_core.registry import RegisteredTarget

# Owners of a cold target.
OWNERS_PER_TARGET = 2
# Nodes may hold two views of the registered nodes while one is added, and so two sets of owners.
# Each owner therefore uses half of its share of the limit.
MEMBERSHIP_VIEWS = 2
# Window in which an owner counts its requests, in seconds. The operators' limit holds for any
# second; the rest covers requests that take longer to the target than later ones.
RATE_WINDOW_S = 1.1


def owner_rate(cold_per_s: float, multiplier: float, slack: float) -> int:
    """Returns the requests per second that one owner may send to a cold target.

    Args:
        cold_per_s: requests per second that a cold target tolerates.
        multiplier: factor on the tolerated rate that the operators allow.
        slack: requests per second that the operators allow on top.
    """
    limit = cold_per_s * multiplier + slack
    return max(0, math.floor(limit / (OWNERS_PER_TARGET * MEMBERSHIP_VIEWS)))


class SlowStartLimiter:
    """Limits the requests of this node to cold targets.

    Args:
        node: name of this node.
        multiplier: see `owner_rate`.
        slack: see `owner_rate`.
    """

    def __init__(self, node: str, multiplier: float, slack: float) -> None:
        self._node = node
        self._multiplier = multiplier
        self._slack = slack
        self._sent_at: dict[str, list[float]] = {}

    def is_owner(self, target: RegisteredTarget, zones: Mapping[str, str]) -> bool:
        """Whether this node is an owner of a target.

        Args:
            target: the target.
            zones: availability zones of all registered nodes by node name, alive or not.
        """
        return self._node in placement.owners(target, zones, OWNERS_PER_TARGET)

    def may_send(
        self, now: float, target: RegisteredTarget, cold_per_s: float, zones: Mapping[str, str]
    ) -> bool:
        """Whether this node may send one more request to a cold target now.

        Args:
            now: seconds on the node's clock.
            target: the cold target.
            cold_per_s: requests per second that it tolerates.
            zones: see `is_owner`.
        """
        rate = owner_rate(cold_per_s, self._multiplier, self._slack)
        return len(self._recent(now, target.id)) < rate and self.is_owner(target, zones)

    def _recent(self, now: float, target_id: str) -> list[float]:
        sent_at = self._sent_at.get(target_id, ())
        return [moment for moment in sent_at if now - moment < RATE_WINDOW_S]

    def on_sent(self, now: float, target_id: str) -> None:
        """Counts a request to a cold target."""
        self._sent_at[target_id] = [*self._recent(now, target_id), now]

    def on_not_sent(self, target_id: str) -> None:
        """Reverts the last `on_sent` of a target, as the request was not sent after all."""
        sent_at = self._sent_at.get(target_id)
        if sent_at:
            sent_at.pop()

    def retain_only(self, known: Iterable[str]) -> None:
        """Removes the counts of all targets except the known ones."""
        kept = set(known)
        self._sent_at = {name: sent_at for name, sent_at in self._sent_at.items() if name in kept}
