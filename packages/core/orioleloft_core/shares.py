"""Share of a service's dispatches that each target got lately, for the status."""

import collections
from collections.abc import Sequence

from orioleloft_core.catalog import Target

KEPT_SECONDS = 10


class DispatchShares:
    """Counts dispatches by target and second."""

    def __init__(self) -> None:
        self._seconds: collections.deque[tuple[int, collections.Counter[str]]] = collections.deque()

    def count(self, now: float, target_id: str) -> None:
        """Counts one dispatch at a time in seconds."""
        second = int(now)
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append((second, collections.Counter()))
            self._forget(second)
        self._seconds[-1][1][target_id] += 1

    def of(self, now: float, targets: Sequence[Target]) -> list[float]:
        """Returns each target's part of the dispatches in the last 10 s, 0 to 1.

        Args:
            now: seconds on the node's clock.
            targets: all targets of one service.
        """
        self._forget(int(now))
        counts = [sum(each[target.id] for _, each in self._seconds) for target in targets]
        total = sum(counts)
        return [count / total if total else 0.0 for count in counts]

    def _forget(self, second: int) -> None:
        while self._seconds and self._seconds[0][0] <= second - KEPT_SECONDS:
            self._seconds.popleft()
