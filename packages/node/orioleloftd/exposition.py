"""Counters and latency histograms in Prometheus text format."""

import bisect
from collections.abc import Iterator
from typing import Any

# Upper bounds of the latency histogram buckets, in seconds; they cover the users' latency targets.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
LATENCY_METRIC = "orioleloft_request_seconds"

_Labels = tuple[tuple[str, str], ...]


class _Histogram:
    """Bucket counts and sum of one series."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Returns upper bound and cumulative count of each bucket."""
        bounds = [str(bound) for bound in LATENCY_BUCKETS_S] + ["+Inf"]
        cumulative = 0
        result = []
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            result.append((bound, float(cumulative)))
        return result


class NodeMetrics:
    """Counters and latency histograms of one node.

    Values are kept as plain numbers and formatted by prometheus_client, which is imported with the
    first request for metrics, because the import would delay the start of each node.
    """

    def __init__(self) -> None:
        self._counters: dict[str, dict[_Labels, float]] = {}
        self._gauges: dict[str, float] = {}
        self._latencies: dict[_Labels, _Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increments a counter.

        Args:
            name: metric name without the common prefix and the `_total` suffix.
            amount: increment.
            labels: label values; every call for a counter must use the same label names.
        """
        series = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        series[key] = series.get(key, 0.0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge; `name` is the metric name without the common prefix."""
        self._gauges[name] = value

    def observe(self, route: str, status: int, seconds: float) -> None:
        """Records the latency of an answered request in the histogram of its route and status."""
        key = (("route", route), ("status", str(status)))
        self._latencies.setdefault(key, _Histogram()).observe(seconds)

    def collect(self) -> Iterator[Any]:
        """Yields the metric families; called by prometheus_client."""
        from prometheus_client import core

        for name, series in self._counters.items():
            labels = [label for label, _ in next(iter(series))]
            value_text = name.replace("_", " ")
            family = core.CounterMetricFamily(f"orioleloft_{name}", value_text, labels=labels)
            for key, value in series.items():
                family.add_metric([value_text for _, value_text in key], value)
            yield family
        for name, value in self._gauges.items():
            yield core.GaugeMetricFamily(f"orioleloft_{name}", name.replace("_", " "), value=value)
        family = core.HistogramMetricFamily(
            LATENCY_METRIC, "Time from arrival to answer.", labels=["route", "status"]
        )
        for key, histogram in self._latencies.items():
            values = [value_text for _, value_text in key]
            family.add_metric(values, histogram.buckets(), histogram.total)
        yield family

    def render(self) -> bytes:
        """Returns all metrics in text format."""
        from prometheus_client import exposition, registry

        collectors = registry.CollectorRegistry(auto_describe=False)
        collectors.register(self)
        return exposition.generate_latest(collectors)
