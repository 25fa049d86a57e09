"""Route table: longest-prefix route lookup, weighted traffic split and caller limits."""

import collections
import dataclasses
import enum
import functools
import random
from typing import ClassVar


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """One entry of a route's traffic split.

    Attributes:
        service: name of the service.
        weight: weight relative to the other entries of the route; need not add up to 1.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """How requests for a host and path prefix are forwarded.

    Attributes:
        name: unique name of the route.
        host: host name of the request, in lower case.
        path_prefix: path prefix that starts and ends with a slash.
        kind: whether requests may be executed more than once.
        timeout: maximum time until the caller gets an answer, in seconds.
        target_latency: latency objective of the route, in seconds.
        priority: priority class; 0 is the most urgent.
        attempts: maximum number of targets that one request may be sent to.
        weighted_services: traffic split over services.
        is_public: whether requests need no API key although the table has tenants.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int
    attempts: int
    weighted_services: tuple[WeightedService, ...]
    is_public: bool = False

    optional_fields: ClassVar[tuple[str, ...]] = ("is_public",)

    @property
    def is_idempotent(self) -> bool:
        """Whether requests may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """Settings that apply to all targets of a service.

    Attributes:
        name: unique name of the service.
        health_path: path of the health check.
        max_connections: connections that one target accepts from all nodes together.
        cold_per_s: requests per second that a cold target tolerates.
        cold_start: time for which a target counts as cold after its start, in seconds.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float
    cold_start: float = 0.0


@dataclasses.dataclass(frozen=True)
class Tenant:
    """A team whose callers present one of its API keys, with its allotment.

    Attributes:
        name: unique name of the tenant.
        key_digests: digests of its API keys; see `hashing.key_digest`.
        priority: priority class, which goes before that of the route; None for the route's.
        rate_per_s: requests per second that all nodes together may pass on; 0 for no limit.
        burst: requests allowed on top of the rate.
    """

    name: str
    key_digests: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None
    rate_per_s: float
    burst: float

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has an allotment."""
        return self.rate_per_s > 0


# Stands for a list of tenants that is there and empty, so that requests need a key that nobody has.
# It is a tenant without keys, as nodes of the previous build know no other way to tell such a list
# from none.
NO_TENANT = Tenant("", (), None, 0.0, 0.0)


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes:
        max_header_bytes: maximum size of a header block.
        max_body_bytes: maximum size of a body.
        header_timeout: time within which a header block must arrive, in seconds.
        idle_timeout: time after which an idle connection is closed, in seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


# Limits that apply until a release note sets others.
DEFAULT_LIMITS = CallerLimits(16 * 1024, 1024 * 1024, 3.0, 15.0)


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """Routes, services, caller limits and tenants of one version of the configuration.

    Without any tenant, requests need no key. `NO_TENANT` stands for an empty list of tenants.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] = ()

    optional_fields: ClassVar[tuple[str, ...]] = ("tenants",)

    @property
    def requires_key(self) -> bool:
        """Whether requests of routes that are not public need a key of a tenant."""
        return bool(self.tenants)

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, {})[route.path_prefix] = route
        return hosts

    @functools.cached_property
    def _services_by_name(self) -> dict[str, RoutedService]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _tenants_by_digest(self) -> dict[str, Tenant]:
        return {digest: tenant for tenant in self.tenants for digest in tenant.key_digests}

    def tenant_of(self, key_digest: str | None) -> Tenant | None:
        """Returns the tenant that holds the key with this digest, or None."""
        return None if key_digest is None else self._tenants_by_digest.get(key_digest)

    def primary_service(self, host: str) -> str | None:
        """Returns the service that most routes of a host lead to.

        Only the first service of each route's split counts. The result depends on the table alone,
        so all nodes agree on it.

        Args:
            host: host name in any case; a port is ignored.

        Returns:
            Name of the service, or None if no route has the host.
        """
        routes = self._routes_by_host.get(_normalize_host(host), {}).values()
        counts = collections.Counter(route.weighted_services[0].service for route in routes)
        # The name breaks ties, so that all nodes choose the same service.
        return min(counts, key=lambda name: (-counts[name], name), default=None)

    def service(self, name: str) -> RoutedService | None:
        """Returns the service of that name, or None if the table has none."""
        return self._services_by_name.get(name)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route of the host whose path prefix is the longest match, or None.

        Args:
            host: value of the `Host` header in any case; a port is ignored.
            path: path of the request, with or without a query string.
        """
        prefixes = self._routes_by_host.get(_normalize_host(host))
        if prefixes is None:
            return None
        bare_path = path.partition("?")[0]
        end = bare_path.rfind("/")
        while end >= 0:
            route = prefixes.get(bare_path[: end + 1])
            if route is not None:
                return route
            end = bare_path.rfind("/", 0, end)
        return None


def _normalize_host(host: str) -> str:
    return host.partition(":")[0].lower()


class TrafficSplitter:
    """Splits the requests of each route over its services by smooth weighted round-robin.

    With each request every service gains credit in proportion to its weight, and the service with
    the most credit receives the request and pays 1. The split holds over a few requests already,
    where a weighted random choice would be far off.

    Args:
        rng: source of the initial credits.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[Route, list[float]] = {}

    def next_service(self, route: Route) -> str:
        """Returns the service for the next request of a route and updates the credits."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total = sum(weighted.weight for weighted in route.weighted_services)
        fractions = [weighted.weight / total for weighted in route.weighted_services]
        credits = self._credits.get(route)
        if credits is None:
            # Random initial credits, so that nodes with few requests do not all begin with the
            # same service.
            credits = self._credits[route] = [
                self._rng.random() * fraction for fraction in fractions
            ]
        for index, fraction in enumerate(fractions):
            credits[index] += fraction
        chosen = max(range(len(fractions)), key=credits.__getitem__)
        credits[chosen] -= 1
        return route.weighted_services[chosen].service

    def peek(self, route: Route) -> str | None:
        """Returns the service for the next request of a route, without counting a request.

        Returns:
            None if the route has had no request yet, so that its first service is random.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        if route not in self._credits:
            return None
        copied = TrafficSplitter(self._rng)
        copied._credits = {route: list(self._credits[route])}
        return copied.next_service(route)

    def retain_routes(self, routes: tuple[Route, ...]) -> None:
        """Drops the credits of all other routes, so that memory stays bounded over many versions.

        Args:
            routes: routes of the table in force.
        """
        retained = set(routes)
        self._credits = {
            route: state for route, state in self._credits.items() if route in retained
        }
