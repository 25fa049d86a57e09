"""Counters and latency histograms as a text page."""

import prometheus_client
from prometheus_client import exposition

# Upper bounds of the latency histogram, in seconds; they cover the latency aims of the users.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)


class NodeMetrics:
    """Metrics of one node."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry(auto_describe=False)
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._latency = prometheus_client.Histogram(
            "orioleloft_request_seconds",
            "Time from the arrival of a request to its answer.",
            ["route", "status"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter.

        Args:
            name: name without prefix.
            amount: what to add.
            labels: labels; the same set for each use of a name.
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = prometheus_client.Counter(
                f"orioleloft_{name}", name.replace("_", " "), list(labels), registry=self._registry
            )
        (counter.labels(**labels) if labels else counter).inc(amount)

    def observe(self, route: str, status: int, seconds: float) -> None:
        """Takes the time of an answered request."""
        self._latency.labels(route, str(status)).observe(seconds)

    def page(self) -> bytes:
        """Returns all metrics as text."""
        return exposition.generate_latest(self._registry)
