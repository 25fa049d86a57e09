"""Metrics over statsd; docs/operators.md lists the names and their units."""

import collections

import statsd

from orioleloft_core.settings import OutputSettings

DEFAULT_STATSD_PORT = 8125

ANSWERS = "answers"
DISPATCHES = "dispatches"
REQUESTS = "requests"
CALLERS_LEFT = "callers_left"
PROBES = "probes"
PLATFORM_CALLS = "platform_calls"
MESSAGES_SENT = "messages.sent"
MESSAGES_RECEIVED = "messages.received"
MESSAGES_DROPPED = "messages.dropped"
CORE_FAILURES = "core.failures"
ANSWER_MS = "answer_ms"
SERVICE_MS = "service_ms"
LOOP_LAG_MS = "loop_lag_ms"
IN_FLIGHT = "in_flight"
CATALOG_VERSION = "catalog_version"


class Metrics:
    """Counts, times and levels, sent with each `flush`.

    Counts are summed and times are packed into few datagrams, so that a request costs no system
    call of its own. Without a statsd address nothing is kept or sent.
    """

    def __init__(self, settings: OutputSettings) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._client: statsd.StatsClient | None = None
        if settings.statsd_address:
            host, _, port = settings.statsd_address.partition(":")
            port_number = int(port or DEFAULT_STATSD_PORT)
            self._client = statsd.StatsClient(host, port_number, settings.statsd_prefix)
            self._pipeline = self._client.pipeline()

    def count(self, name: str, part: str = "") -> None:
        """Adds one to a count; `part` is a subdivision such as an outcome."""
        self._counts[f"{name}.{part}" if part else name] += 1

    def total(self, name: str) -> int:
        """Returns the count since the last flush."""
        return self._counts[name]

    def time(self, name: str, ms: float) -> None:
        """Records a duration in milliseconds."""
        if self._client is not None:
            self._pipeline.timing(name, ms)

    def level(self, name: str, value: float) -> None:
        """Records a level."""
        if self._client is not None:
            self._pipeline.gauge(name, value)

    def flush(self) -> None:
        """Sends what was recorded since the last flush."""
        if self._client is not None:
            for name, count in self._counts.items():
                self._pipeline.incr(name, count)
            self._pipeline.send()
        self._counts.clear()

    def close(self) -> None:
        """Sends the rest and closes the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
