"""Counters and latency histograms as a text page."""

import bisect
from collections.abc import Iterator
from typing import Any

# Upper bounds of the latency histogram, in seconds; they cover the latency aims of the users.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
LATENCY_NAME = "orioleloft_request_seconds"

_Labels = tuple[tuple[str, str], ...]


class _Histogram:
    """Counts by bucket and the sum of one series."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Returns the cumulative counts by upper bound."""
        bounds = [str(bound) for bound in LATENCY_BUCKETS_S] + ["+Inf"]
        cumulative = 0
        result = []
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            result.append((bound, float(cumulative)))
        return result


class NodeMetrics:
    """Metrics of one node.

    Values are plain numbers; prometheus_client writes them. It is imported with the first page, as
    its import would hold up the start of each node.
    """

    def __init__(self) -> None:
        self._counters: dict[str, dict[_Labels, float]] = {}
        self._latencies: dict[_Labels, _Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter.

        Args:
            name: name without prefix.
            amount: what to add.
            labels: labels; the same names for each use of a counter.
        """
        series = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        series[key] = series.get(key, 0.0) + amount

    def observe(self, route: str, status: int, seconds: float) -> None:
        """Takes the time of an answered request."""
        key = (("route", route), ("status", str(status)))
        self._latencies.setdefault(key, _Histogram()).observe(seconds)

    def collect(self) -> Iterator[Any]:
        """Yields the metrics in prometheus_client's form; called by it."""
        from prometheus_client import core

        for name, series in self._counters.items():
            labels = [label for label, _ in next(iter(series))]
            text = name.replace("_", " ")
            family = core.CounterMetricFamily(f"orioleloft_{name}", text, labels=labels)
            for key, value in series.items():
                family.add_metric([text for _, text in key], value)
            yield family
        family = core.HistogramMetricFamily(
            LATENCY_NAME, "Time from arrival to answer.", labels=["route", "status"]
        )
        for key, histogram in self._latencies.items():
            values = [text for _, text in key]
            family.add_metric(values, histogram.buckets(), histogram.total)
        yield family

    def page(self) -> bytes:
        """Returns all metrics as text."""
        from prometheus_client import exposition, registry

        collectors = registry.CollectorRegistry(auto_describe=False)
        collectors.register(self)
        return exposition.generate_latest(collectors)
