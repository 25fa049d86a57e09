"""Records of a soak run that the checks compare, with those of what was injected when."""

import contextlib
import dataclasses
import enum
import math
import time
from collections.abc import Iterator, Mapping, Sequence

from standins.callers import CallerAttempt
from standins.target import Arrival, Run, Statement

# From the end of a disturbance of a process until it can be in touch, in seconds: 3 s without
# interruption, and what the checks of its readiness may be late.
STABLE_S = 4.0
# Time that callers, proxies and targets on a busy machine may add to a bound, in seconds.
LOOPBACK_MARGIN_S = 1.0
# Time after which nodes in touch know what the store has confirmed, in seconds.
CONFIG_DEADLINE_S = 2.5


class Part(enum.Enum):
    """Part of the cluster that a fault disturbs."""

    PROCESS = "process"
    STORE_LINK = "link to the store"
    TARGET_LINK = "link to a target"
    STORE = "store"


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A time, on the system's monotonic clock in seconds, in which a part was disturbed.

    Attributes:
        part: kind of the part.
        component: name of the process or of that at the end of the link.
        start: time before the fault was injected.
        end: time after it was cleared; infinite while it is in force.
    """

    part: Part
    component: str
    start: float
    end: float = math.inf


class DisturbanceLog:
    """Disturbances in the order of their starts."""

    def __init__(self) -> None:
        self._entries: dict[int, Disturbance] = {}

    @contextlib.contextmanager
    def recording(self, part: Part, component: str) -> Iterator[None]:
        """Records a disturbance that lasts as long as a `with` block."""
        number = len(self._entries)
        entry = Disturbance(part, component, time.monotonic())
        self._entries[number] = entry
        try:
            yield
        finally:
            self._entries[number] = dataclasses.replace(entry, end=time.monotonic())

    @property
    def entries(self) -> list[Disturbance]:
        """All disturbances so far."""
        return list(self._entries.values())


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Keys in a version of the configuration.

    Attributes:
        tenant_of: name of the tenant by key.
        written_at: time before its first write, on the system's monotonic clock in seconds.
        confirmed_at: time at which the store had confirmed it; infinite before.
    """

    tenant_of: Mapping[str, str]
    written_at: float
    confirmed_at: float = math.inf


@dataclasses.dataclass(frozen=True)
class Allotment:
    """Limit of a tenant: requests per second, and requests on top of them."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True)
class Removal:
    """A target whose registration was removed while its process ran on.

    Attributes:
        target: id of the target.
        removed_at: time at which the store had confirmed it, on the monotonic clock in seconds.
        ends_at: time before the target registers again.
    """

    target: str
    removed_at: float
    ends_at: float


@dataclasses.dataclass(frozen=True)
class Records:
    """All records of a run.

    Attributes:
        attempts: requests as sent by callers, with the responses that they received.
        runs: requests that targets started to run.
        arrivals: requests that reached targets.
        statements: answers of targets that state that they leave or ask for a pause.
        node_of_host: name of the entry node by its address.
        disturbances: times in which parts were disturbed.
        configurations: versions with tenants in the order of their writes; none without tenants.
        allotments: limits by the names of tenants.
        removals: targets that were removed for a time.
        reached_at: last time at which a request or probe reached a target, by the targets that run
            at the end, on the monotonic clock in seconds.
        zone_of: availability zone by target.
        recovered_at: time from which no fault was in force, on the monotonic clock in seconds.
    """

    attempts: Sequence[CallerAttempt] = ()
    runs: Sequence[Run] = ()
    arrivals: Sequence[Arrival] = ()
    statements: Sequence[Statement] = ()
    node_of_host: Mapping[str, str] = dataclasses.field(default_factory=dict)
    disturbances: Sequence[Disturbance] = ()
    configurations: Sequence[Configuration] = ()
    allotments: Mapping[str, Allotment] = dataclasses.field(default_factory=dict)
    removals: Sequence[Removal] = ()
    reached_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    zone_of: Mapping[str, str] = dataclasses.field(default_factory=dict)
    recovered_at: float = math.inf

    def is_disturbed(self, part: Part, component: str, since: float, until: float) -> bool:
        """Whether a part was disturbed at any time between two times."""
        return any(
            each.part is part
            and each.component == component
            and each.start <= until
            and each.end >= since
            for each in self.disturbances
        )

    def was_in_touch(self, node: str, at: float, known_for: float) -> bool:
        """Whether a node has been in touch at a time and for some seconds before it."""
        since = at - known_for
        return not (
            self.is_disturbed(Part.PROCESS, node, since - STABLE_S, at)
            or self.is_disturbed(Part.STORE_LINK, node, since, at)
            or self.is_disturbed(Part.STORE, "store", since, at)
        )
