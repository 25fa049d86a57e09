"""Expected working time of each route, learned from answers."""

# Share of a new answer in the average.
GAIN = 0.1
# Assumed working time of a route without answers, as a share of its target latency.
FIRST_SHARE = 0.4


class WorkTimes:
    """Moving averages of working time by route name."""

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def expected(self, route: str, target_latency: float) -> float:
        """Returns the expected working time in seconds at usual pace."""
        return self._seconds.get(route, target_latency * FIRST_SHARE)

    def observe(self, route: str, target_latency: float, seconds: float) -> None:
        """Takes the working time of an answer, already divided by the target's pace."""
        current = self.expected(route, target_latency)
        # A single straggler must not raise the expectation of all others.
        bounded = min(seconds, current * 2)
        self._seconds[route] = current + (bounded - current) * GAIN
