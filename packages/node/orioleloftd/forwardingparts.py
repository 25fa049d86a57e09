"""The parts of a forwarder that decide where requests go, for explanations."""

import dataclasses
from collections.abc import Callable

from orioleloft_core.budget import TokenBucket
from orioleloft_core.callerretries import CallerRetryDetector
from orioleloft_core.contention import ContentionCurves
from orioleloft_core.crashes import CrashTracker
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.registry import TargetRegistry
from orioleloft_core.servicetime import ServiceTimes
from orioleloft_core.slowstart import SlowStartLimiter
from orioleloft_core.targetavailability import TargetAvailability
from orioleloftd.queuewaiting import QueueWaiting
from orioleloftd.targetaccess import TargetAccess


@dataclasses.dataclass(frozen=True)
class ForwardingParts:
    """What decides where requests go; see `Forwarder` for the parts.

    They belong to the forwarder. Others may only call what has no effect, or ask a snapshot.
    """

    registry: TargetRegistry
    availability: TargetAvailability
    access: TargetAccess
    waiting: QueueWaiting
    service_times: ServiceTimes
    contention: ContentionCurves
    rate_limits: RateLimits
    permits: PermitScheduler
    slow_start_limiter: SlowStartLimiter
    probe_budget: TokenBucket
    caller_retries: CallerRetryDetector
    crashes: CrashTracker
    zones: Callable[[], dict[str, str]]
    zone: str
