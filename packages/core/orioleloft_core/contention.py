"""Contention of a service's targets: how much slower requests run while more slots are busy.

The curve is learned from service times by the share of busy slots when each request started. All
targets of a service share one curve, since a node sends each target a few requests a second. Nodes
exchange their statistics, so that all of them use the observations of the whole fleet.
"""

import collections
import copy
import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Sequence

# Ranges of the share of busy slots, with equal widths up to 1.0. Targets with up to 12 slots have
# a range for each count of busy slots.
BIN_COUNT = 12
# Curve that is assumed without observations: requests run slower by `DEFAULT_SLOWDOWN` if more than
# this share of the slots is busy.
DEFAULT_THRESHOLD = 0.8
DEFAULT_SLOWDOWN = 1.7
# Observations that replace the assumed curve.
MIN_COUNT = 20.0
# Weight that a step needs: the product of the observations below and above it over their sum. With
# many on one side, so many are needed on the other.
MIN_STEP_WEIGHT = 4.0
# Evidence from which a step counts: its share of the variance of the log ratios, times the number
# of observations. Service times with a spread of 0.3 and no step stay below it.
MIN_STEP_EVIDENCE = 1.5
# Half-life of an observation, in seconds.
HALF_LIFE_S = 15.0
# Bounds of the ratio of a single service time to the expected one; longer ones count as the bound.
MIN_RATIO = 0.3
MAX_RATIO = 6.0
# Bound of the logarithm of a service time as a share of the target latency of its route.
MAX_ABS_LOG = 8.0
# Routes of a service whose statistics are sent to other nodes: those with the most observations.
MAX_REPORTED_ROUTES = 8
# Bound of the slowdown of the curve.
MAX_SLOWDOWN = 8.0
# Routes with shorter service times show the network rather than the contention, in seconds.
MIN_SERVICE_TIME_S = 0.01
# A target with this multiple of the usual latency ratio is slow for other reasons than contention.
MAX_RELATIVE_LATENCY_RATIO = 1.6
# Smoothing factor of the moving average of the latency ratio of a service's targets.
LATENCY_RATIO_SMOOTHING = 0.05
# Interval after which the curve is computed again, in seconds.
CURVE_TTL_S = 0.25
# Gain of throughput for which a target should run more requests, although each one takes longer.
MIN_THROUGHPUT_GAIN = 0.05
# Observations of a range from which its slowdown is known.
KNOWN_COUNT = 20.0
# Share of the decisions on a target that explore the next range while it is not known.
EXPLORATION_SHARE = 0.02
# Age after which the statistics of another node are dropped, in seconds.
PEER_STATISTICS_TTL_S = 30.0


@dataclasses.dataclass(frozen=True)
class BinStatistics:
    """Observations in one range of the share of busy slots.

    Attributes:
        index: number of the range, from 0 to `BIN_COUNT` - 1.
        count: number of observations, decayed.
        mean_permille: mean natural logarithm of the service time as a share of the route's target
            latency, in thousandths.
    """

    index: int
    count: int
    mean_permille: int


@dataclasses.dataclass(frozen=True)
class RouteStatistics:
    """Observations of one route by the share of busy slots.

    Attributes:
        route: name of the route.
        bins: the ranges with observations.
    """

    route: str
    bins: tuple[BinStatistics, ...]


@dataclasses.dataclass(frozen=True)
class ServiceTimeObservation:
    """The service time of one request.

    Attributes:
        route: name of its route.
        busy: busy slots when it started, including its own.
        slots: slots of the target.
        seconds: measured service time.
        expected_seconds: service time expected without contention.
        target_latency: latency objective of the route, in seconds.
        latency_ratio: latency ratio of the target before the request.
    """

    route: str
    busy: int
    slots: int
    seconds: float
    expected_seconds: float
    target_latency: float
    latency_ratio: float = 1.0


def bin_index(busy: int, slots: int) -> int:
    """Returns the range for a number of busy slots.

    Args:
        busy: busy slots, including the one of the request itself.
        slots: slots of the target.
    """
    share = min(1.0, max(1, busy) / max(1, slots))
    return max(1, math.ceil(share * BIN_COUNT - 1e-9)) - 1


def _default_curve() -> tuple[float, ...]:
    shares = ((index + 1) / BIN_COUNT for index in range(BIN_COUNT))
    return tuple(DEFAULT_SLOWDOWN if share > DEFAULT_THRESHOLD else 1.0 for share in shares)


DEFAULT_CURVE = _default_curve()


class _BinSums:
    """Counts and sums of logarithms of one route by range, which decay with age."""

    def __init__(self) -> None:
        self.counts = [0.0] * BIN_COUNT
        self.log_sums = [0.0] * BIN_COUNT

    def add(self, index: int, log: float, weight: float = 1.0) -> None:
        """Adds observations with the same logarithm."""
        self.counts[index] += weight
        self.log_sums[index] += weight * log

    def decay(self, factor: float) -> None:
        """Multiplies all counts and sums by a factor."""
        self.counts = [count * factor for count in self.counts]
        self.log_sums = [log_sum * factor for log_sum in self.log_sums]

    def bins(self) -> tuple[BinStatistics, ...]:
        """Returns the ranges with at least one observation."""
        return tuple(
            BinStatistics(index, round(count), round(1000 * self.log_sums[index] / count))
            for index, count in enumerate(self.counts)
            if round(count) > 0
        )


@dataclasses.dataclass(frozen=True)
class _PeerStatistics:
    received_at: float
    routes: tuple[RouteStatistics, ...]


@dataclasses.dataclass(frozen=True)
class _Step:
    """A step of the curve: requests run slower in all ranges from `index` on."""

    index: int
    log_slowdown: float
    evidence: float


class ContentionCurve:
    """Learned slowdown of one service by the share of busy slots.

    Observations are kept by route and as shares of the target latency, which is the same on all
    nodes and does not change with what is learned.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _BinSums] = {}
        self._decayed_at: float | None = None
        self._usual_latency_ratio = 1.0
        self._peers: dict[str, _PeerStatistics] = {}
        self._curve: Sequence[float] = DEFAULT_CURVE
        self._known_counts: Sequence[float] = [0.0] * BIN_COUNT
        self._computed_at: float | None = None
        self._limits: dict[int, int] = {}
        self._unreported_count = 0

    @property
    def unreported_count(self) -> int:
        """Number of observations of this node since the last call of `statistics`."""
        return self._unreported_count

    @property
    def limits(self) -> dict[int, int]:
        """The results of `best_concurrency` in use, by number of slots."""
        return dict(self._limits)

    def observe(self, now: float, observation: ServiceTimeObservation) -> None:
        """Adds the service time of a request.

        Args:
            now: seconds on the node's clock.
            observation: the request.
        """
        usual, ratio = self._usual_latency_ratio, observation.latency_ratio
        self._usual_latency_ratio += (ratio - usual) * LATENCY_RATIO_SMOOTHING
        log = _log_share(observation)
        if ratio > MAX_RELATIVE_LATENCY_RATIO * usual or log is None:
            return
        self._decay(now)
        sums = self._routes.setdefault(observation.route, _BinSums())
        sums.add(bin_index(observation.busy, observation.slots), log)
        self._unreported_count += 1

    def snapshot(self) -> "ContentionCurve":
        """Returns a copy, which can be asked without effect on the decay and the curve in use."""
        copied = copy.copy(self)
        copied._routes = copy.deepcopy(self._routes)
        copied._peers = dict(self._peers)
        copied._limits = dict(self._limits)
        return copied

    def statistics(self, now: float) -> tuple[RouteStatistics, ...]:
        """Returns the observations of this node, to be sent to other nodes."""
        self._decay(now)
        self._unreported_count = 0
        # Routes without a whole observation left are dropped.
        self._routes = {name: sums for name, sums in self._routes.items() if sums.bins()}
        largest = sorted(self._routes, key=lambda name: -sum(self._routes[name].counts))
        return tuple(
            RouteStatistics(name, self._routes[name].bins())
            for name in largest[:MAX_REPORTED_ROUTES]
        )

    def on_peer_statistics(self, now: float, node: str, routes: Iterable[RouteStatistics]) -> None:
        """Replaces the observations of another node; implausible ones are ignored.

        Args:
            now: seconds on the node's clock.
            node: name of the other node.
            routes: its observations.
        """
        plausible = [
            RouteStatistics(each.route, tuple(filter(_is_plausible, each.bins)))
            for each in itertools.islice(routes, MAX_REPORTED_ROUTES)
        ]
        self._peers[node] = _PeerStatistics(now, tuple(plausible))

    def slowdown(self, now: float, busy: int, slots: int) -> float:
        """Returns the factor on the service time of a request that starts now.

        Args:
            now: seconds on the node's clock.
            busy: busy slots, including the one of the request.
            slots: slots of the target.
        """
        if slots <= 1:
            return 1.0
        self._refresh(now)
        return self._curve[bin_index(busy, slots)]

    def best_concurrency(self, now: float, slots: int) -> int:
        """Returns the number of requests at which a target completes the most requests.

        Args:
            now: seconds on the node's clock.
            slots: slots of the target.
        """
        self._refresh(now)
        slots = max(1, slots)
        limit = self._limits.get(slots)
        if limit is None:
            limit = self._limits[slots] = self._compute_limit(slots)
        return limit

    def is_unknown(self, now: float, busy: int, slots: int) -> bool:
        """Whether too few requests have started with this number of busy slots to know its effect.

        Args:
            now: seconds on the node's clock.
            busy: busy slots, including the one of the request.
            slots: slots of the target.
        """
        self._refresh(now)
        return self._known_counts[bin_index(busy, slots)] < KNOWN_COUNT

    def _compute_limit(self, slots: int) -> int:
        best, throughput = 1, 1.0 / self._curve[bin_index(1, slots)]
        for busy in range(2, slots + 1):
            candidate = busy / self._curve[bin_index(busy, slots)]
            if candidate > throughput * (1 + MIN_THROUGHPUT_GAIN):
                best, throughput = busy, candidate
        return best

    def _decay(self, now: float) -> None:
        if self._decayed_at is not None and now > self._decayed_at:
            factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_S)
            for sums in self._routes.values():
                sums.decay(factor)
        self._decayed_at = now

    def _refresh(self, now: float) -> None:
        if self._computed_at is not None and now - self._computed_at < CURVE_TTL_S:
            return
        self._computed_at = now
        self._limits.clear()
        routes = self._combine(now)
        self._known_counts = [
            sum(sums.counts[index] for sums in routes) for index in range(BIN_COUNT)
        ]
        self._curve = _fit(routes, self._known_counts)

    def _combine(self, now: float) -> list[_BinSums]:
        """Returns the sums of this node and of its peers, one for each route."""
        self._decay(now)
        combined: dict[str, _BinSums] = collections.defaultdict(_BinSums)
        for name, sums in self._routes.items():
            for index, count in enumerate(sums.counts):
                if count > 0:
                    combined[name].add(index, sums.log_sums[index] / count, count)
        for node, peer in list(self._peers.items()):
            age = now - peer.received_at
            if age > PEER_STATISTICS_TTL_S:
                del self._peers[node]
                continue
            factor = 0.5 ** (max(0.0, age) / HALF_LIFE_S)
            for route in peer.routes:
                for each in route.bins:
                    log = each.mean_permille / 1000
                    combined[route.route].add(each.index, log, factor * each.count)
        return list(combined.values())


class ContentionCurves:
    """Contention curves by service."""

    def __init__(self) -> None:
        self._curves: dict[str, ContentionCurve] = {}

    def of(self, service: str) -> ContentionCurve:
        """Returns the curve of a service, which starts as the default one."""
        curve = self._curves.get(service)
        if curve is None:
            curve = self._curves[service] = ContentionCurve()
        return curve

    def snapshot(self, service: str) -> "ContentionCurves":
        """Returns copies of the curve of one service; see `ContentionCurve.snapshot`."""
        copied = ContentionCurves()
        if service in self._curves:
            copied._curves[service] = self._curves[service].snapshot()
        return copied

    def unreported(self, minimum: int) -> list[str]:
        """Returns the services with at least `minimum` observations not yet sent to other nodes."""
        return [
            service for service, curve in self._curves.items() if curve.unreported_count >= minimum
        ]

    def retain_only(self, services: Iterable[str]) -> None:
        """Drops the curves of all services except the given ones."""
        kept = set(services)
        self._curves = {name: curve for name, curve in self._curves.items() if name in kept}


def _log_share(observation: ServiceTimeObservation) -> float | None:
    """Returns the logarithm of a service time over the target latency, or None if it has none."""
    expected, latency = observation.expected_seconds, observation.target_latency
    if not (observation.seconds > 0 and 0 < expected < math.inf and 0 < latency < math.inf):
        return None
    seconds = min(MAX_RATIO * expected, max(MIN_RATIO * expected, observation.seconds))
    return min(MAX_ABS_LOG, max(-MAX_ABS_LOG, math.log(seconds / latency)))


def _is_plausible(bin_: BinStatistics) -> bool:
    return (
        0 <= bin_.index < BIN_COUNT
        and bin_.count > 0
        and abs(bin_.mean_permille) <= 1000 * MAX_ABS_LOG
    )


def _fit(routes: Sequence[_BinSums], counts: Sequence[float]) -> tuple[float, ...]:
    """Returns the curve with one step that fits the observations best.

    A step needs few observations, as all of those below and above it are taken together.

    Args:
        routes: observations by route.
        counts: observations of all routes by range.
    """
    if sum(counts) < MIN_COUNT:
        return DEFAULT_CURVE
    step = max(_steps(routes), key=lambda step: step.evidence, default=None)
    curve = [1.0] * BIN_COUNT
    if step is not None and step.evidence >= MIN_STEP_EVIDENCE:
        slowdown = min(MAX_SLOWDOWN, math.exp(step.log_slowdown))
        curve[step.index :] = [slowdown] * (BIN_COUNT - step.index)
    # A range is faster than by the default curve only once it is known, or one above it is.
    upper = MAX_SLOWDOWN
    for index in reversed(range(BIN_COUNT)):
        if counts[index] >= KNOWN_COUNT:
            upper = min(upper, curve[index])
        else:
            curve[index] = min(upper, max(curve[index], DEFAULT_CURVE[index]))
    return tuple(curve)


def _steps(routes: Sequence[_BinSums]) -> Iterator[_Step]:
    """Yields the possible steps that make requests slower, lower ranges first.

    Only requests of the same route are compared, as routes differ in their work.
    """
    for index in range(1, BIN_COUNT):
        weight = weighted = 0.0
        for sums in routes:
            below, above = sum(sums.counts[:index]), sum(sums.counts[index:])
            if below <= 0 or above <= 0:
                continue
            share = below * above / (below + above)
            mean_below = sum(sums.log_sums[:index]) / below
            weight += share
            weighted += share * (sum(sums.log_sums[index:]) / above - mean_below)
        if weight >= MIN_STEP_WEIGHT and weighted > 0:
            yield _Step(index, weighted / weight, weighted**2 / weight)
