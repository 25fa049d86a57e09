"""Decayed observations of each target, from load reports and the node's own requests.

They are the input of outlier detection: failures and the latency ratio (measured over expected
response time) count less with age, so that a target which recovers gets requests again without any
explicit reset.
"""

import dataclasses

# Half-life of the failure score, in seconds. A failing target gets requests again after a few
# half-lives.
FAILURE_HALF_LIFE_S = 2.5
# Weight of another node's report against an observation of this node. Below 1, because a fault may
# affect only the path of the other node.
PEER_REPORT_WEIGHT = 0.5
# Bound of the failure score of a target, so that recovery takes a bounded time.
MAX_FAILURE_SCORE = 6.0
# Failures that one response above the size limit counts as. Each further such response takes
# memory, so the target is an outlier for some seconds.
OVERSIZED_RESPONSE_WEIGHT = 4.0
# Smoothing factor of the moving average of the latency ratio: weight of a new observation.
LATENCY_RATIO_SMOOTHING = 0.35
# Half-life of the latency ratio without new observations, in seconds.
LATENCY_RATIO_HALF_LIFE_S = 3.0
# Half-life of a reported slowdown factor (`pace`), in seconds; slow phases of machines last 0.3 s.
# The factor is 1.0 at a target's usual speed and higher if it is slower.
PACE_HALF_LIFE_S = 0.3
# Bound of the reported slowdown in excess of 1.0, so that a target that was slow is probed again
# soon.
MAX_REPORTED_EXCESS_PACE = 3.0
# Bounds of a single observation of the latency ratio.
MIN_LATENCY_RATIO = 0.5
MAX_LATENCY_RATIO = 12.0


@dataclasses.dataclass(frozen=True)
class LoadFigures:
    """Load that a target reports with its answers.

    Attributes:
        running: requests that it runs.
        waiting: requests in its queue.
        slots: requests that it can run at a time.
        pace: slowdown factor, i.e. current service time over the usual one; 1.0 is the usual speed,
            2.0 is twice as slow.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class TargetObservations:
    """Observations of one target process by this node.

    Attributes:
        in_flight: requests of this node that are unanswered; the sender counts them.
        open_probes: probes of this node that are unanswered; the sender counts them.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.open_probes = 0
        self._load: LoadFigures | None = None
        self._load_at = 0.0
        self._reports_load: bool | None = None
        self._sent_since_load = 0
        self._failures = 0.0
        self._failures_at = 0.0
        self._latency_ratio = 1.0
        self._latency_ratio_at = 0.0
        self._cold_until = 0.0

    @property
    def is_full(self) -> bool:
        """Whether all slots were busy in the last load report."""
        return self._load is not None and self._load.running >= self._load.slots

    @property
    def reports_load(self) -> bool | None:
        """Whether the last answer had a load report, or None before the first answer."""
        return self._reports_load

    @property
    def last_load(self) -> tuple[LoadFigures, float] | None:
        """The last load report or estimate with its time on the node's clock, or None."""
        return None if self._load is None else (self._load, self._load_at)

    def on_load_report(self, now: float, load: LoadFigures) -> None:
        """Records a load report, which replaces the previous one."""
        self._record_load(now, load)
        self._reports_load = True

    def on_answer_without_load(
        self, now: float, slots: int, pace: float | None = None
    ) -> LoadFigures:
        """Records an estimate of the load after an answer that reports none, and returns it.

        The target runs at least the unanswered requests of this node.

        Args:
            now: seconds on the node's clock.
            slots: slots of the target according to its registration.
            pace: slowdown factor that the answer indicates, or None to keep the last one, decayed.
        """
        if pace is None:
            pace = 1.0 + self.reported_excess_pace(now)
        load = LoadFigures(self.in_flight, 0, slots, pace)
        self._record_load(now, load)
        self._reports_load = False
        return load

    def _record_load(self, now: float, load: LoadFigures) -> None:
        self._load = load
        self._load_at = now
        self._sent_since_load = 0

    def reported_excess_pace(self, now: float) -> float:
        """Returns the reported slowdown minus 1.0, decayed since the report; 0.0 is usual."""
        if self._load is None:
            return 0.0
        age = max(0.0, now - self._load_at)
        excess = min(MAX_REPORTED_EXCESS_PACE, max(0.0, self._load.pace - 1.0))
        return excess * 0.5 ** (age / PACE_HALF_LIFE_S)

    def on_selected(self) -> None:
        """Counts a request of this node that is newer than the last load report."""
        self._sent_since_load += 1

    def on_no_answer(self) -> None:
        """Reverts `on_selected` for a request that was not sent or has ended without an answer."""
        self._sent_since_load = max(0, self._sent_since_load - 1)

    def running(self, load: LoadFigures) -> int:
        """Returns the estimated number of requests at the target.

        These are the requests in the load report and those that this node has sent since, but at
        least the node's own unanswered requests.
        """
        return max(load.running + self._sent_since_load, self.in_flight)

    def on_cold(self, now: float, seconds: float) -> None:
        """Records the rest of the target's slow-start phase, in seconds; 0 if it is warm."""
        self._cold_until = now + seconds

    def is_cold(self, now: float) -> bool:
        """Whether the target is in its slow-start phase, according to its last answer."""
        return now < self._cold_until

    def on_failure(self, now: float, weight: float = 1.0) -> None:
        """Adds a failed request to the failure score.

        Args:
            now: seconds on the node's clock.
            weight: failures that it counts as.
        """
        self._failures = min(MAX_FAILURE_SCORE, self.failures(now) + weight)
        self._failures_at = now

    def on_success(self, now: float) -> None:
        """Lowers the failure score after a successful request."""
        self._failures = self.failures(now) * 0.6
        self._failures_at = now

    def on_response_time(self, now: float, factor: float, weight: float = 1.0) -> None:
        """Adds a response time to the moving average of the latency ratio.

        Args:
            now: seconds on the node's clock.
            factor: latency ratio, with the response time expected at the reported slowdown.
            weight: 1 for an observation of this node, less for a report of another node.
        """
        bounded = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, factor))
        current = self.latency_ratio(now)
        self._latency_ratio = current + (bounded - current) * LATENCY_RATIO_SMOOTHING * weight
        self._latency_ratio_at = now

    def failures(self, now: float) -> float:
        """Returns the failure score: the exponentially decayed number of failures."""
        age = max(0.0, now - self._failures_at)
        return self._failures * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def latency_ratio(self, now: float) -> float:
        """Returns the decayed average of response time over expected time; 1.0 is usual."""
        age = max(0.0, now - self._latency_ratio_at)
        return 1.0 + (self._latency_ratio - 1.0) * 0.5 ** (age / LATENCY_RATIO_HALF_LIFE_S)

    def on_peer_report(self, now: float, failures: float, latency_ratio: float) -> None:
        """Adds the report of another node, with a lower weight than own observations.

        Args:
            now: seconds on the node's clock.
            failures: failed requests.
            latency_ratio: response time over expected time, or 0 if the report has none.
        """
        if failures > 0:
            self.on_failure(now, failures * PEER_REPORT_WEIGHT)
        if latency_ratio > 0:
            self.on_response_time(now, latency_ratio, PEER_REPORT_WEIGHT)
