"""Choice of the targets to probe and of the target that receives a request.

A node observes only the few requests that it sends itself, so its view of a target is seconds old.
It therefore probes a few candidates for their load before each dispatch and selects the best of
those that answered.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence

from orioleloft_core.contention import EXPLORATION_SHARE, ContentionCurves
from orioleloft_core.observations import LoadFigures, TargetObservations
from orioleloft_core.registry import RegisteredTarget

# Candidates probed before a dispatch. Of fewer, all may be full or in a slow phase at once.
MAX_PROBES = 5
# Candidates probed in the first round; the others follow if none of these is good enough.
FIRST_ROUND_PROBES = 2
# Candidates taken from the node's own zone first; answers from other zones cost bytes.
LOCAL_PROBES = 3
# Slowdown by contention up to which a target is good enough to end probing.
MAX_GOOD_CONTENTION = 1.15
# Added to the cost of a target in another zone, as a share of the expected service time.
CROSS_ZONE_PENALTY = 0.12
# Added to the probe rank of a target without an idle connection: a new connection takes a round
# trip and may occupy a slot.
NEW_CONNECTION_PENALTY = 0.5
# Added to the cost of a target for each point of its failure score, as a share of the target
# latency.
FAILURE_PENALTY = 0.6
# Failure score from which a target is an outlier and is probed only if no other target is left.
OUTLIER_FAILURE_SCORE = 1.5


@dataclasses.dataclass(frozen=True)
class ProbedTarget:
    """A target with the load that it reported last.

    Attributes:
        target: the target.
        load: load figures from its answer to a probe or to a request, estimated if it sent none.
        is_cold: whether it is in its slow-start phase.
    """

    target: RegisteredTarget
    load: LoadFigures
    is_cold: bool = False


class TargetSelector:
    """Selects targets by expected response time and outlier detection.

    Args:
        zone: availability zone of the node.
        observations: returns the node's observations of a target.
        is_connected: whether the node holds an idle connection to a target.
        contention: contention curves of the services.
        rng: source of the random order among equal targets.
    """

    def __init__(
        self,
        zone: str,
        observations: Callable[[RegisteredTarget], TargetObservations],
        is_connected: Callable[[RegisteredTarget], bool],
        contention: ContentionCurves,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._observations_of = observations
        self._is_connected = is_connected
        self._contention = contention
        self._rng = rng

    def candidates(
        self, now: float, targets: Sequence[RegisteredTarget], count: int = MAX_PROBES
    ) -> list[RegisteredTarget]:
        """Returns the targets to probe, in the order in which they should be probed.

        Args:
            now: seconds on the node's clock.
            targets: targets that may receive the request.
            count: maximum number of candidates.
        """
        if len(targets) <= 1:
            return list(targets)
        ranks = {target: self._probe_rank(now, target) for target in targets}
        ranked = sorted(targets, key=ranks.__getitem__)
        # Outliers are not preferred for their zone: while a zone has lost its targets, probes of
        # them would replace probes of healthy targets in other zones.
        healthy = [target for target in ranked if not ranks[target][0]]
        local = [target for target in healthy if target.zone == self._zone][:LOCAL_PROBES]
        others = [target for target in ranked if target not in local]
        return local + others[: max(0, count - len(local))]

    def _probe_rank(self, now: float, target: RegisteredTarget) -> tuple[bool, float]:
        """Returns whether a target is an outlier, and its penalty; smaller ranks are probed first.

        The penalty has a random part so that nodes which decide at the same moment probe
        different targets.
        """
        observations = self._observations_of(target)
        failures = observations.failures(now)
        penalty = self._rng.random() + failures + observations.latency_ratio(now) - 1.0
        penalty += observations.in_flight / target.slots + observations.reported_excess_pace(now)
        if not self._is_connected(target):
            penalty += NEW_CONNECTION_PENALTY
        # A target that has not answered the previous probe yet is overloaded or unreachable.
        return failures >= OUTLIER_FAILURE_SCORE or observations.open_probes > 0, penalty

    def can_stop_probing(self, now: float, probed: ProbedTarget) -> bool:
        """Whether a target is good enough to end probing without waiting for other responses.

        It must be in the node's zone, warm, without queue or contention, and near its usual
        speed: its slowdown factor (`pace`) is 1.0 then, and higher if the target is slower.
        """
        load = probed.load
        if probed.is_cold or probed.target.zone != self._zone:
            return False
        observations = self._observations_of(probed.target)
        if observations.failures(now) > 0.3 or observations.latency_ratio(now) > 1.5:
            return False
        running = observations.running(load)
        curve = self._contention.of(probed.target.service)
        is_uncontended = (
            running == 0 or curve.slowdown(now, running + 1, load.slots) <= MAX_GOOD_CONTENTION
        )
        return is_uncontended and load.waiting == 0 and load.pace <= 1.25

    def has_free_slot(self, now: float, probed: ProbedTarget) -> bool:
        """Whether a target can start one more request at once, without queueing it.

        If requests run slower while more slots are busy, filling the last ones may lower the
        throughput. They count as not free then, but for a small share of requests while it is
        unknown how fast these would run.

        Args:
            now: seconds on the node's clock.
            probed: the target with its load.
        """
        observations = self._observations_of(probed.target)
        load = probed.load
        slots = max(1, load.slots)
        busy = observations.running(load) + 1
        if load.waiting > 0 or busy > slots:
            return False
        curve = self._contention.of(probed.target.service)
        limit = curve.best_concurrency(now, slots)
        if busy <= limit:
            return True
        is_explored = busy == limit + 1 and curve.is_unknown(now, busy, slots)
        return is_explored and self._rng.random() < EXPLORATION_SHARE

    def cost(
        self, now: float, probed: ProbedTarget, base_service_time: float, target_latency: float
    ) -> float:
        """Returns the expected response time in seconds plus penalties for zone and failures.

        Args:
            now: seconds on the node's clock.
            probed: the target with its load.
            base_service_time: expected service time without slowdown, in seconds.
            target_latency: latency objective of the route, in seconds.
        """
        observations = self._observations_of(probed.target)
        seconds = self.expected_response_time(now, probed, base_service_time)
        if probed.target.zone != self._zone:
            seconds += CROSS_ZONE_PENALTY * base_service_time
        return seconds + FAILURE_PENALTY * target_latency * observations.failures(now)

    def expected_response_time(
        self, now: float, probed: ProbedTarget, base_service_time: float
    ) -> float:
        """Returns the expected response time of a target: its queue and its service time.

        Args:
            now: seconds on the node's clock.
            probed: the target with its load.
            base_service_time: expected service time without slowdown, in seconds.

        Returns:
            Seconds, without the network.
        """
        observations = self._observations_of(probed.target)
        load = probed.load
        slots = max(1, load.slots)
        running = observations.running(load)
        slowdown = max(load.pace, observations.latency_ratio(now))
        if probed.is_cold:
            slowdown *= 2
        slowdown *= self._contention.of(probed.target.service).slowdown(now, running + 1, slots)
        queued = max(0, running + load.waiting + 1 - slots)
        # On average, one of the running requests ends after half a service time.
        return base_service_time * slowdown * (1 + (queued / slots if queued else 0) * 0.8)

    def busy_slots(self, probed: ProbedTarget) -> int:
        """Returns the estimated number of busy slots of a target with one more request."""
        return self._observations_of(probed.target).running(probed.load) + 1

    def best(
        self,
        now: float,
        probed_targets: Sequence[ProbedTarget],
        base_service_time: float,
        target_latency: float,
    ) -> ProbedTarget | None:
        """Returns the target with the lowest `cost`, or None if there are no targets.

        Args:
            now: seconds on the node's clock.
            probed_targets: targets that may receive the request.
            base_service_time: see `cost`.
            target_latency: see `cost`.
        """
        if not probed_targets:
            return None
        return min(
            probed_targets,
            key=lambda probed: self.cost(now, probed, base_service_time, target_latency),
        )
