"""Fair share of tenants: start-time fair queueing on the work that their requests need.

Each tenant has a weight, the work that it usually asks for per second. The start tag of a tenant
grows with the work it got, divided by its weight; the tenant with the smallest tag is next. A
tenant that sends more than usual therefore waits behind its own requests.
"""

import math
from collections.abc import Hashable, Iterable, Mapping

# Half-life of the usual demand, in seconds without overload. Demand during overload is not learned,
# as a surge would raise the share of the tenant that causes it.
USUAL_HALF_LIFE_S = 60.0
# Half-life of the recent demand, in seconds.
RECENT_HALF_LIFE_S = 1.5
# Time without overload after which the usual demand is known, in seconds.
MIN_LEARNING_S = 5.0
# Least weight of a tenant, as a share of the mean one.
MIN_WEIGHT_FRACTION = 0.1
# A tenant whose demand has grown by this factor more than that of the others keeps its priority for
# its usual demand only. Otherwise a surge of an urgent tenant takes all slots of the others.
SURGE_FACTOR = 3.0
# Recent requests from which a surge is certain; a few requests at once are usual.
MIN_SURGE_REQUESTS = 8.0
# Usual demand that a surging tenant may use at once, in seconds.
SURGE_BURST_S = 0.5
# Differences of start tags up to this number of usual requests are ignored, so that deadlines
# decide among tenants that have got about the same.
TAG_QUANTUM_REQUESTS = 2.0
# Smoothing factor of the moving average of the tag growth of a request.
TAG_STEP_SMOOTHING = 0.05
# Tenants and priority classes kept; those of earlier configurations are dropped.
MAX_TENANTS = 512
MAX_CLASSES = 32


class _Demand:
    """Decayed work and number of requests of a tenant."""

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._at = 0.0
        self.work = 0.0
        self.count = 0.0

    def decay(self, now: float) -> None:
        """Decays both sums up to a time."""
        if now > self._at:
            factor = 0.5 ** ((now - self._at) / self._half_life)
            self.work *= factor
            self.count *= factor
            self._at = now

    def add(self, now: float, work: float) -> None:
        """Adds a request."""
        self.decay(now)
        self.work += work
        self.count += 1.0


class TenantDemand:
    """Usual and recent demand of tenants, and the weights that follow."""

    def __init__(self) -> None:
        self._usual: dict[str, _Demand] = {}
        self._recent: dict[str, _Demand] = {}
        self._usual_total = _Demand(USUAL_HALF_LIFE_S)
        self._recent_total = _Demand(RECENT_HALF_LIFE_S)
        self._calm_s = 0.0
        self._first_at: float | None = None
        self._last_at = 0.0
        self._surge_tokens: dict[str, tuple[float, float]] = {}

    @property
    def _is_learned(self) -> bool:
        return self._calm_s >= MIN_LEARNING_S

    def on_asked(self, now: float, tenant: str, work: float, is_overloaded: bool) -> None:
        """Adds a new request, which is not a retry.

        Args:
            now: seconds on the node's clock.
            tenant: name of the tenant.
            work: expected service time, in seconds.
            is_overloaded: whether requests wait or were refused lately.
        """
        if self._first_at is None:
            self._first_at = self._last_at = now
        if not is_overloaded:
            self._calm_s += max(0.0, now - self._last_at)
            self._usual.setdefault(tenant, _Demand(USUAL_HALF_LIFE_S)).add(self._calm_s, work)
            self._usual_total.add(self._calm_s, work)
        self._last_at = now
        self._recent.setdefault(tenant, _Demand(RECENT_HALF_LIFE_S)).add(now, work)
        self._recent_total.add(now, work)
        if len(self._recent) > MAX_TENANTS:
            self._drop_least_active(now)

    def _drop_least_active(self, now: float) -> None:
        for demand in self._recent.values():
            demand.decay(now)
        kept = sorted(self._recent, key=lambda name: -self._recent[name].count)[: MAX_TENANTS // 2]
        self._recent = {name: self._recent[name] for name in kept}
        self._usual = {name: self._usual[name] for name in kept if name in self._usual}
        self._surge_tokens.clear()

    def weight(self, tenant: str) -> float:
        """Returns the weight of a tenant, where the mean weight is 1; 1 while it is not known."""
        usual = self._usual.get(tenant)
        if not self._is_learned or usual is None:
            return 1.0
        usual.decay(self._calm_s)
        self._usual_total.decay(self._calm_s)
        mean = self._usual_total.work / len(self._usual)
        return max(MIN_WEIGHT_FRACTION, usual.work / mean) if mean > 0 else 1.0

    def usual_rate(self, tenant: str) -> float:
        """Returns the work that a tenant usually asks for per second."""
        usual = self._usual.get(tenant)
        if usual is None:
            return 0.0
        usual.decay(self._calm_s)
        return usual.work / _effective_s(USUAL_HALF_LIFE_S, self._calm_s)

    def is_surging(self, now: float, tenant: str) -> bool:
        """Whether the demand of a tenant has grown far more than that of all others."""
        recent, usual = self._recent.get(tenant), self._usual.get(tenant)
        if not self._is_learned or recent is None or usual is None or self._first_at is None:
            return False
        for demand in (recent, self._recent_total):
            demand.decay(now)
        if recent.count < MIN_SURGE_REQUESTS:
            return False
        for demand in (usual, self._usual_total):
            demand.decay(self._calm_s)
        recent_s = _effective_s(RECENT_HALF_LIFE_S, now - self._first_at)
        usual_s = _effective_s(USUAL_HALF_LIFE_S, self._calm_s)
        others_usual = max(0.0, self._usual_total.work - usual.work) / usual_s
        others_recent = max(0.0, self._recent_total.work - recent.work) / recent_s
        growth_of_others = others_recent / others_usual if others_usual > 0 else 1.0
        return recent.work / recent_s > SURGE_FACTOR * max(1.0, growth_of_others) * (
            usual.work / usual_s
        )

    def keeps_priority(self, now: float, tenant: str, work: float) -> bool:
        """Whether a request goes by its priority; if not, it goes behind those that do."""
        if not self.is_surging(now, tenant):
            self._surge_tokens.pop(tenant, None)
            return True
        rate = self.usual_rate(tenant)
        burst = rate * SURGE_BURST_S
        tokens, at = self._surge_tokens.get(tenant, (burst, now))
        tokens = min(burst, tokens + (now - at) * rate)
        keeps = tokens > 0
        self._surge_tokens[tenant] = (tokens - work if keeps else tokens), now
        return keeps


def _effective_s(half_life: float, age: float) -> float:
    """Returns the time by which a decayed sum is divided to get the rate."""
    return max(1e-3, half_life / math.log(2) * (1.0 - 0.5 ** (age / half_life)))


class _ClassTags:
    """Tags of the tenants in one priority class."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.finish: dict[str, float] = {}


class FairShare:
    """Start tags of tenants by priority class.

    Args:
        demand: gives the weights of the tenants.
    """

    def __init__(self, demand: TenantDemand) -> None:
        self._demand = demand
        self._classes: dict[Hashable, _ClassTags] = {}
        self._usual_step = 0.0

    def start_tag(self, priority: Hashable, tenant: str) -> float:
        """Returns the tag of the next request of a tenant; the smallest one is next."""
        tags = self._classes.get(priority)
        if tags is None:
            return 0.0
        return max(tags.virtual_time, tags.finish.get(tenant, 0.0))

    def rounded_tag(self, priority: Hashable, tenant: str) -> int:
        """Returns the start tag in units of `TAG_QUANTUM_REQUESTS` usual requests."""
        tags = self._classes.get(priority)
        if tags is None or self._usual_step <= 0:
            return 0
        ahead = self.start_tag(priority, tenant) - tags.virtual_time
        return int(ahead / (TAG_QUANTUM_REQUESTS * self._usual_step))

    def backlog_tag(self, priority: Hashable, tenant: str, work: float) -> float:
        """Returns the tag that a tenant would have once its waiting requests are served."""
        return self.start_tag(priority, tenant) + work / self._demand.weight(tenant)

    def on_served(
        self, priority: Hashable, tenant: str, work: float, waiting: Iterable[str] = ()
    ) -> None:
        """Adds a request that got a target.

        Args:
            priority: its priority class.
            tenant: its tenant.
            work: expected service time, in seconds.
            waiting: tenants that wait in this class, whose tags the virtual time does not pass.
        """
        tags = self._classes.get(priority)
        if tags is None:
            if len(self._classes) >= MAX_CLASSES:
                self._classes.clear()
            tags = self._classes[priority] = _ClassTags()
        start = max(tags.virtual_time, tags.finish.get(tenant, 0.0))
        step = work / self._demand.weight(tenant)
        self._usual_step += (step - self._usual_step) * (
            TAG_STEP_SMOOTHING if self._usual_step else 1.0
        )
        tags.finish[tenant] = start + step
        tags.virtual_time = min((start, *(self.start_tag(priority, name) for name in waiting)))
        if len(tags.finish) > MAX_TENANTS:
            tags.finish = {
                name: tag for name, tag in tags.finish.items() if tag > tags.virtual_time
            }

    def lag(self, backlogs: Mapping[tuple[Hashable, str], float]) -> float:
        """Returns by how much the tenants of one class differ in what they wait for.

        This is the greatest difference of `backlog_tag`, in seconds of work for a mean weight.

        Args:
            backlogs: waiting work by priority class and tenant, in seconds.
        """
        by_class: dict[Hashable, list[float]] = {}
        for (priority, tenant), work in backlogs.items():
            tag = self.backlog_tag(priority, tenant, work)
            by_class.setdefault(priority, []).append(tag)
        return max((max(tags) - min(tags) for tags in by_class.values()), default=0.0)
