"""Recognition of targets that refuse all requests although they have free slots.

Such a target is healthy by its probes and refuses at once, so that it looks idle and draws ever
more requests. A refusal by a target whose slots are busy is usual and does not count. Nor do
refusals count while most targets of the service refuse requests: there is nowhere better to go, and
avoiding the targets would leave those slots unused that still run some requests.
"""

import collections
from typing import NamedTuple

# Refusals in a row, without an answer between, from which each one counts as a failure. Targets
# that refuse half of their requests do so rarely.
MIN_REFUSALS_IN_A_ROW = 3
# Failures that such a refusal counts as; the target is an outlier then
# (`selection.OUTLIER_FAILURE_SCORE`).
REFUSAL_WEIGHT = 1.5
# Share of the targets of a service from which its refusals do not count.
MAX_REFUSING_SHARE = 0.5
# Time after which a refusal is forgotten, in seconds. It is longer than the time for which a target
# with the highest failure score is an outlier, so that the next refusal counts at once.
REFUSAL_TTL_S = 10.0
# Targets remembered at most.
MAX_REFUSING_TARGETS = 512


class _Refusals(NamedTuple):
    """The last refusal of a target, and how many it has sent since its last answer."""

    at: float
    in_a_row: int


class TargetRefusals:
    """Targets that have refused requests while they had free slots."""

    def __init__(self) -> None:
        # By service and target, the oldest refusal first.
        self._refused: collections.OrderedDict[tuple[str, str], _Refusals]
        self._refused = collections.OrderedDict()

    def on_refusal(
        self, now: float, service: str, target_id: str, has_free_slot: bool, target_count: int
    ) -> float:
        """Adds a refusal and returns the failures that it counts as.

        Args:
            now: seconds on the node's clock.
            service: service of the target.
            target_id: id of the target.
            has_free_slot: whether the target had a free slot by its own figures.
            target_count: number of targets of the service.
        """
        if not has_free_slot:
            return 0.0
        while self._refused and now - next(iter(self._refused.values())).at >= REFUSAL_TTL_S:
            self._refused.popitem(last=False)
        known = self._refused.pop((service, target_id), _Refusals(now, 0))
        refusals = _Refusals(now, known.in_a_row + 1)
        if len(self._refused) >= MAX_REFUSING_TARGETS:
            self._refused.popitem(last=False)
        self._refused[service, target_id] = refusals
        refusing = sum(key[0] == service for key in self._refused)
        if (
            refusals.in_a_row < MIN_REFUSALS_IN_A_ROW
            or refusing > MAX_REFUSING_SHARE * target_count
        ):
            return 0.0
        return REFUSAL_WEIGHT

    def on_success(self, service: str, target_id: str) -> None:
        """Ends the row of refusals of a target that has run a request."""
        known = self._refused.get((service, target_id))
        if known is not None:
            self._refused[service, target_id] = known._replace(in_a_row=0)
