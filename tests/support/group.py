"""Builds catalogs, settings and reports for tests of a group's holder."""

import dataclasses

from orioleloft_core import settings as conf
from orioleloft_core.catalog import Catalog, Customer, Service, Target, Zone
from orioleloft_core.messages import TargetReport

GROUP = "ledger#0"
SEATS = ("entry-01", "entry-02", "entry-03")


def settings(**routing) -> conf.Settings:
    seats = tuple(conf.Seat(name, "a", "127.0.0.1:1") for name in SEATS)
    node, fleet = conf.NodeSettings(SEATS[0], "a"), conf.FleetSettings(seats)
    return conf.Settings(
        node, fleet, routing=dataclasses.replace(conf.RoutingSettings(), **routing)
    )


def catalog(count=4, closed=(), draining=(), slots=2, cold_limit=1) -> Catalog:
    """Targets `ledger/t0`.. in the zones a (even) and b (odd); customer `big` has weight 2."""
    targets = tuple(
        Target("ledger", f"t{i}", "127.0.0.1", i, "ab"[i % 2], f"ledger/t{i}" in draining)
        for i in range(count)
    )
    zones = tuple(Zone(name, is_open=name not in closed) for name in "ab")
    service = Service("ledger", slots, overlap=1, cold_limit=cold_limit)
    return Catalog(1, zones, (service,), targets, (Customer("big", 2),))


def report(target_id, ending="answered", service_ms=5.0, incarnation="p1", warmth="warm"):
    return TargetReport(target_id, ending, service_ms, incarnation, 1, warmth)
