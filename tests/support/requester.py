"""Settings, catalog and requests for the tests of the requester's side."""

import dataclasses

from orioleloft_core.catalog import Catalog, Service, Target, Zone
from orioleloft_core.request import Request
from orioleloft_core.settings import FleetSettings, NodeSettings, Seat, Settings

SEATS = ("entry-01", "entry-02", "entry-03")


def settings(seats=SEATS, **parts):
    """Returns settings; `parts` maps a section to the values that differ from the defaults."""
    seats = tuple(Seat(name, "gt-a", "127.0.0.1:1") for name in seats)
    base = Settings(NodeSettings(seats[0].name, "gt-a"), FleetSettings(seats))
    changed = {
        name: dataclasses.replace(getattr(base, name), **values) for name, values in parts.items()
    }
    return dataclasses.replace(base, **changed)


def catalog(targets=4, closed=(), draining=(), service="ledger"):
    """Returns a catalog of one service with targets in the zones gt-a and gt-b in turn."""
    zones = tuple(Zone(name, is_open=name not in closed) for name in ("gt-a", "gt-b"))
    names = (f"t-{number:02}" for number in range(targets))
    listed = tuple(
        Target(service, name, "127.0.0.1", 9, zones[number % 2].name, name in draining)
        for number, name in enumerate(names)
    )
    return Catalog(1, zones, (Service(service, slots=2),), listed)


def request(request_id="r1", method="GET", deadline=5.0, key="", body=b"", service="ledger"):
    """Returns a request of one customer."""
    return Request(request_id, service, "parish", method, "/x", deadline, key, (), body)
