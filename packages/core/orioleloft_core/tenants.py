"""Authorisation of requests by the API keys of tenants."""

import dataclasses

from orioleloft_core.routes import Route, RouteTable, Tenant


@dataclasses.dataclass(frozen=True)
class Unrestricted:
    """The configuration has no list of tenants, so that all requests are allowed."""


@dataclasses.dataclass(frozen=True)
class Public:
    """The route is public; the request belongs to no tenant, whatever key it has."""


@dataclasses.dataclass(frozen=True)
class Authorized:
    """The key of the request belongs to a tenant."""

    tenant: Tenant


@dataclasses.dataclass(frozen=True)
class Denied:
    """The request needs a key of a tenant and has none."""


Authorization = Unrestricted | Public | Authorized | Denied

UNRESTRICTED = Unrestricted()


def authorize(table: RouteTable, route: Route, key_digest: str | None) -> Authorization:
    """Judges a request by one version of the configuration.

    Args:
        table: the configuration in force.
        route: route of the request.
        key_digest: digest of the key in the request, or None if it has no usable key.
    """
    if not table.requires_key:
        return UNRESTRICTED
    if route.is_public:
        return Public()
    tenant = table.tenant_of(key_digest)
    return Denied() if tenant is None else Authorized(tenant)


def tenant_of(authorization: Authorization) -> Tenant | None:
    """Returns the tenant whose request it is, or None if it is of no tenant or denied."""
    match authorization:
        case Authorized(tenant=tenant):
            return tenant
    return None
