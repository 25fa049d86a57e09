"""Guaranteed shares: how often requests of each kind are served, compared with all requests."""

import enum
from typing import NamedTuple

# Half-life of the counts, in seconds.
SHARE_HALF_LIFE_S = 10.0
# Shares of the rate at which all requests are served that each kind gets at least. Routes and
# tenants are promised a quarter; the margin covers requests that are chosen and then expire. That
# of tenants is small, as it also helps a tenant that sends ten times its usual rate.
GUARANTEED_FRACTIONS_BY_NAME = {"route": 0.3, "tenant": 0.27, "late": 0.02}
# Shortfall from which a kind is served next, in requests.
MIN_SHORTFALL = 1.0
# Kinds kept; the least frequent ones are dropped.
MAX_KINDS = 1024
# Bound of the growing weight of new counts, after which all counts are scaled down.
MAX_WEIGHT = 1e30


class KindType(enum.StrEnum):
    """What the requests of one kind have in common."""

    ROUTE = "route"
    TENANT = "tenant"
    # Requests that are answered after their target latency in any case.
    LATE = "late"


class Kind(NamedTuple):
    """Requests of one route or tenant, or all late ones.

    A tuple, as kinds are looked up for each waiting request at each change of the queue; the hash
    and comparison of a data class took a quarter of the time of an admission.
    """

    type: KindType
    name: str = ""


class _Counts:
    def __init__(self) -> None:
        self.asked = 0.0
        self.served = 0.0


class ServedShares:
    """Counts of asked and served requests by kind, which decay with age.

    New counts get a weight that grows with time, so that old ones need not be scaled each time.
    """

    def __init__(self) -> None:
        self._kinds: dict[Kind, _Counts] = {}
        self._total = _Counts()
        self._since = 0.0

    def _weight(self, now: float) -> float:
        weight = 2.0 ** min(1000.0, (now - self._since) / SHARE_HALF_LIFE_S)
        if weight <= MAX_WEIGHT:
            return weight
        for counts in (self._total, *self._kinds.values()):
            counts.asked /= weight
            counts.served /= weight
        self._since = now
        return 1.0

    def on_asked(self, now: float, kinds: tuple[Kind, ...]) -> None:
        """Counts a request when it arrives."""
        weight = self._weight(now)
        self._total.asked += weight
        for kind in kinds:
            counts = self._kinds.get(kind)
            if counts is None:
                counts = self._kinds[kind] = _Counts()
            counts.asked += weight
        if len(self._kinds) > MAX_KINDS:
            kept = sorted(self._kinds, key=lambda kind: -self._kinds[kind].asked)[: MAX_KINDS // 2]
            self._kinds = {kind: self._kinds[kind] for kind in kept}

    def on_asked_again(self, now: float, kind: Kind) -> None:
        """Counts a request that its caller has sent before, for one kind only."""
        self._kinds.setdefault(kind, _Counts()).asked += self._weight(now)

    def on_served(self, now: float, kinds: tuple[Kind, ...]) -> None:
        """Counts a request when it gets a target."""
        weight = self._weight(now)
        self._total.served += weight
        for kind in kinds:
            counts = self._kinds.get(kind)
            if counts is not None:
                counts.served += weight

    def shortfall(self, now: float, kind: Kind) -> float:
        """Returns the requests by which a kind is below its guaranteed share; 0 if it is not."""
        counts = self._kinds.get(kind)
        if counts is None or not self._total.asked:
            return 0.0
        fraction = GUARANTEED_FRACTIONS_BY_NAME[kind.type.value]
        due = fraction * counts.asked * self._total.served / self._total.asked
        if due <= counts.served:
            return 0.0
        shortfall = (due - counts.served) / self._weight(now)
        return shortfall if shortfall >= MIN_SHORTFALL else 0.0
