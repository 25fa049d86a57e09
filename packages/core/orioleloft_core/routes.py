"""Routes, services and limits of one configuration version, and the choice of a request's route."""

import collections
import dataclasses
import enum
import functools
import random


class RouteKind(enum.StrEnum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclasses.dataclass(frozen=True)
class RouteShare:
    """Share of a route's requests that a service receives.

    Attributes:
        service: name of the service.
        weight: relative size of the share.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """One route.

    Attributes:
        name: name of the route.
        host: host name of the request, in lower case.
        path_prefix: beginning of the path; it starts and ends with a slash.
        kind: whether requests may run more than once.
        timeout: longest time that a caller is kept waiting, in seconds.
        target_latency: time within which an answer is of full use, in seconds.
        priority: rank, where 0 is the most urgent.
        attempts: largest number of targets that one request may be sent to.
        shares: services that receive the requests.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int
    attempts: int
    shares: tuple[RouteShare, ...]

    @property
    def is_idempotent(self) -> bool:
        """Whether requests may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """Properties that all targets of a service share.

    Attributes:
        name: name of the service.
        health_path: path that answers with the target's state.
        max_connections: connections that a target accepts from all callers together.
        cold_per_s: requests a second that a cold target tolerates.
        cold_start: time for which a target is cold after its start, in seconds.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float
    cold_start: float = 0.0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        max_header_bytes: largest header block.
        max_body_bytes: largest body.
        header_timeout: time for a header block to arrive, in seconds.
        idle_timeout: time that a connection may stay unused, in seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


# Limits that hold until a configuration sets others.
FIRST_LIMITS = CallerLimits(16 * 1024, 1024 * 1024, 3.0, 15.0)


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """The whole configuration of one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits

    @functools.cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, {})[route.path_prefix] = route
        return hosts

    @functools.cached_property
    def _by_name(self) -> dict[str, RoutedService]:
        return {service.name: service for service in self.services}

    def main_service(self, host: str) -> str | None:
        """Returns the service that most routes of a host lead to, or None for an unknown host."""
        routes = self._by_host.get(_plain_host(host), {}).values()
        counts = collections.Counter(route.shares[0].service for route in routes)
        # Equal counts need an order that is the same on all nodes.
        return min(counts, key=lambda name: (-counts[name], name), default=None)

    def service(self, name: str) -> RoutedService | None:
        """Returns a service by name."""
        return self._by_name.get(name)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
            host: value of the `Host` header; a port is ignored.
            path: path of the request, with or without a query.
        """
        prefixes = self._by_host.get(_plain_host(host))
        if prefixes is None:
            return None
        plain = path.partition("?")[0]
        end = plain.rfind("/")
        while end >= 0:
            found = prefixes.get(plain[: end + 1])
            if found is not None:
                return found
            end = plain.rfind("/", 0, end)
        return None


def _plain_host(host: str) -> str:
    return host.partition(":")[0].lower()


class ShareChooser:
    """Distributes the requests of each route over its services in proportion to the weights.

    Each service collects credit at its share and the one with the most credit is chosen, so the
    shares hold over short series too, where a random draw would miss them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[Route, list[float]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        parts = [share.weight / total for share in route.shares]
        credits = self._credits.get(route)
        if credits is None:
            # A random phase keeps nodes with few requests from all starting with one service.
            credits = self._credits[route] = [self._rng.random() * part for part in parts]
        for index, part in enumerate(parts):
            credits[index] += part
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= 1
        return route.shares[best].service

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Forgets routes that no configuration holds any more."""
        kept = set(routes)
        self._credits = {route: state for route, state in self._credits.items() if route in kept}
