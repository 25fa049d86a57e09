"""The catalog in force: availability zones, services, targets and customers of one version."""

import dataclasses
import functools
from collections.abc import Iterable, Mapping
from typing import Any

from orioleloft_core import hashing

# Groups stay small so that one holder can carry each of them.
MAX_GROUP_TARGETS = 32


@dataclasses.dataclass(frozen=True)
class Zone:
    """An availability zone; operators take it out and bring it back."""

    name: str
    region: str = ""
    is_open: bool = True


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and the limits that its targets share.

    Attributes:
        name: service name as callers state it.
        slots: requests that a warm target runs at once.
        connections: connections that a target accepts in all.
        overlap: grants beyond `slots` that a warm target may hold.
        cold_limit: grants that a cold target may hold.
        service_ms: expected service time in milliseconds, for the first estimate of waiting.
    """

    name: str
    slots: int
    connections: int = 200
    overlap: int = 2
    cold_limit: int = 1
    service_ms: int = 5


@dataclasses.dataclass(frozen=True)
class Target:
    """One endpoint of a service."""

    service: str
    name: str
    host: str
    port: int
    zone: str
    is_draining: bool = False

    @property
    def id(self) -> str:
        """Name of the target in all messages: `service/name`."""
        return f"{self.service}/{self.name}"


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer and the weight of its share at the queues."""

    name: str
    weight: int = 1


@dataclasses.dataclass(frozen=True)
class Catalog:
    """All zones, services, targets and customers of one version.

    Attributes:
        version: version of the head object; higher is newer, 0 means that nothing is known.
    """

    version: int = 0
    zones: tuple[Zone, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    customers: tuple[Customer, ...] = ()

    @functools.cached_property
    def _zones(self) -> dict[str, Zone]:
        return {zone.name: zone for zone in self.zones}

    @functools.cached_property
    def _services(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _targets(self) -> dict[str, Target]:
        return {target.id: target for target in self.targets}

    @functools.cached_property
    def _customers(self) -> dict[str, Customer]:
        return {customer.name: customer for customer in self.customers}

    @functools.cached_property
    def groups(self) -> Mapping[str, tuple[Target, ...]]:
        """Targets by group; a group belongs to one service and has at most 32 targets."""
        by_service: dict[str, list[Target]] = {service.name: [] for service in self.services}
        for target in self.targets:
            by_service.setdefault(target.service, []).append(target)
        groups: dict[str, tuple[Target, ...]] = {}
        for service, targets in by_service.items():
            groups.update(_split(service, targets))
        return groups

    @functools.cached_property
    def _groups_by_service(self) -> dict[str, tuple[str, ...]]:
        by_service: dict[str, list[str]] = {}
        for group in self.groups:
            by_service.setdefault(service_of(group), []).append(group)
        return {service: tuple(groups) for service, groups in by_service.items()}

    def zone(self, name: str) -> Zone | None:
        """Returns the zone, or None if no note has added it."""
        return self._zones.get(name)

    def service(self, name: str) -> Service | None:
        """Returns the service, or None if no note has added it."""
        return self._services.get(name)

    def target(self, target_id: str) -> Target | None:
        """Returns the target with the id `service/name`, or None."""
        return self._targets.get(target_id)

    def customer(self, name: str) -> Customer:
        """Returns the customer; one that no note names has weight 1."""
        return self._customers.get(name) or Customer(name)

    def groups_of(self, service: str) -> tuple[str, ...]:
        """Returns the names of the service's groups."""
        return self._groups_by_service.get(service, ())

    def accepts_new_work(self, target_id: str) -> bool:
        """Tells whether the target is known, not leaving and in an open zone."""
        target = self._targets.get(target_id)
        if target is None or target.is_draining:
            return False
        zone = self._zones.get(target.zone)
        return zone is not None and zone.is_open

    def to_document(self) -> dict[str, Any]:
        """Returns the catalog as a mapping of plain values for a codec."""
        return dataclasses.asdict(self)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "Catalog":
        """Builds a catalog from `to_document`'s form.

        Raises:
            KeyError: a part is missing.
            TypeError: a part has an unknown field.
        """
        return cls(
            version=int(document["version"]),
            zones=tuple(Zone(**item) for item in document["zones"]),
            services=tuple(Service(**item) for item in document["services"]),
            targets=tuple(Target(**item) for item in document["targets"]),
            customers=tuple(Customer(**item) for item in document["customers"]),
        )


def service_of(group: str) -> str:
    """Returns the service that a group belongs to."""
    return group.partition("#")[0]


def _split(service: str, targets: Iterable[Target]) -> dict[str, tuple[Target, ...]]:
    """Splits a service's targets into groups named `service#index`.

    Each target is placed by rendezvous order over the group names, so that a change of the
    number of groups moves few targets.
    """
    listed = sorted(targets, key=lambda target: target.name)
    count = max(1, -(-len(listed) // MAX_GROUP_TARGETS))
    names = [f"{service}#{index}" for index in range(count)]
    members: dict[str, list[Target]] = {name: [] for name in names}
    for target in listed:
        members[hashing.order(target.name, names)[0]].append(target)
    return {name: tuple(listed) for name, listed in members.items()}
