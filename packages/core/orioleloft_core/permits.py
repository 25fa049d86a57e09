"""Use of the permits for targets with rate limits: who gets them, and when others may return."""

import copy
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from orioleloft_core import placement
from orioleloft_core.observations import LoadFigures, TargetObservations
from orioleloft_core.ratelimits import RateLimits, owner_rate
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.returnschedule import ReturnSchedule
from orioleloft_core.selection import OUTLIER_FAILURE_SCORE, ProbedTarget


class PermitScheduler:
    """Matches requests with the permits that this node has or gets.

    Args:
        rate_limits: rate limits of all targets and the permits of this node.
        observations: returns the node's observations of a target.
        zones: returns the availability zones of all registered nodes by node name.
        rng: source of the times at which rejected callers return.
    """

    def __init__(
        self,
        rate_limits: RateLimits,
        observations: Callable[[RegisteredTarget], TargetObservations],
        zones: Callable[[], Mapping[str, str]],
        rng: random.Random,
    ) -> None:
        self._rate_limits = rate_limits
        self._observations = observations
        self._zones = zones
        self._rng = rng
        self._return_schedules: dict[str, ReturnSchedule] = {}

    def candidates(self, now: float, targets: Iterable[RegisteredTarget]) -> list[ProbedTarget]:
        """Returns the targets for which this node holds a permit, with their estimated load.

        Args:
            now: seconds on the node's clock.
            targets: targets that may receive the request. Those without a limit and those that
                fail are left out.
        """
        found = []
        for target in targets:
            if not self._rate_limits.is_limited(target):
                continue
            observations = self._observations(target)
            is_outlier = observations.failures(now) >= OUTLIER_FAILURE_SCORE
            if is_outlier or not self._rate_limits.may_send(now, target):
                continue
            pace = 1.0 + observations.reported_excess_pace(now)
            load = LoadFigures(observations.in_flight, 0, target.slots, pace)
            found.append(ProbedTarget(target, load, observations.is_cold(now)))
        return found

    def can_wait(
        self, now: float, targets: Sequence[RegisteredTarget], ahead: int, deadline: float
    ) -> bool:
        """Whether it makes sense that a request waits for one of some targets.

        Args:
            now: seconds on the node's clock.
            targets: targets that may receive the request.
            ahead: requests that use the permits of this node before it.
            deadline: end of the wait, in seconds on the node's clock.

        Returns:
            True if a target without a limit is among them, which may become free, or if this node
            gets a permit for the request until the deadline.
        """
        if not targets or not all(map(self._rate_limits.is_limited, targets)):
            return True
        rate = self._rate_limits.permit_rate(now, targets)
        return rate > 0 and now + self._time_to_permit(now, targets) + ahead / rate <= deadline

    def _time_to_permit(self, now: float, targets: Iterable[RegisteredTarget]) -> float:
        times = [self._rate_limits.time_to_permit(now, target) for target in targets]
        return min((time for time in times if time is not None), default=math.inf)

    def retry_after(self, now: float, service: str, targets: Sequence[RegisteredTarget]) -> float:
        """Returns the seconds after which the caller of a rejected request should return.

        Args:
            now: seconds on the node's clock.
            service: name of the service.
            targets: its targets, which all have limits.
        """
        rate = self._rate_limits.permit_rate(now, targets)
        earliest = self._time_to_permit(now, targets)
        if not rate:
            # Other nodes own these targets, and the caller may return to one of them.
            nodes = placement.receiver_count(self._zones())
            limits = [self._rate_limits.get(target) for target in targets]
            rate = sum(map(owner_rate, limits)) / max(1, nodes)
            earliest = 0.0
        schedule = self._return_schedules.setdefault(service, ReturnSchedule(self._rng))
        return schedule.next_delay(now, rate, earliest)

    def snapshot(
        self,
        rate_limits: RateLimits,
        observations: Callable[[RegisteredTarget], TargetObservations],
        rng: random.Random,
    ) -> "PermitScheduler":
        """Returns a copy that can be asked without effect on the times of rejected callers.

        Args:
            rate_limits: a snapshot of the rate limits.
            observations: returns the observations of a target without creating them.
            rng: source of random times of the copy.
        """
        copied = PermitScheduler(rate_limits, observations, self._zones, rng)
        copied._return_schedules = copy.deepcopy(self._return_schedules, {id(self._rng): rng})
        return copied

    def take_idle(self, now: float, targets: Iterable[RegisteredTarget]) -> list[RegisteredTarget]:
        """Uses the permits that no request has used for some time, and returns their targets."""
        idle = [
            target
            for target in targets
            if self._rate_limits.is_limited(target)
            and self._rate_limits.is_permit_idle(now, target)
        ]
        for target in idle:
            self._rate_limits.on_sent(now, target)
        return idle
