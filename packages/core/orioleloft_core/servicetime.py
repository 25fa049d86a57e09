"""Expected service time of each route, estimated from answers."""

# Smoothing factor of the moving average: weight of a new answer.
SMOOTHING_FACTOR = 0.1
# Expected service time of a route without answers, as a share of its target latency.
INITIAL_LATENCY_FRACTION = 0.4


class ServiceTimes:
    """Moving averages of service time by route name."""

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def expected(self, route: str, target_latency: float) -> float:
        """Returns the expected service time at the usual speed of targets, in seconds.

        Args:
            route: name of the route.
            target_latency: latency objective of the route, in seconds.
        """
        return self._seconds.get(route, target_latency * INITIAL_LATENCY_FRACTION)

    def observe(self, route: str, target_latency: float, seconds: float) -> None:
        """Adds the service time of an answer.

        Args:
            route: name of the route.
            target_latency: latency objective of the route, in seconds.
            seconds: service time, already divided by the target's slowdown factor (`pace`), which
                is 1.0 at its usual speed and higher if it is slower.
        """
        current = self.expected(route, target_latency)
        # Outliers are bounded, so that a single slow answer does not raise the expectation for all.
        bounded = min(seconds, current * 2)
        self._seconds[route] = current + (bounded - current) * SMOOTHING_FACTOR
