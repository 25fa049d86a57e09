"""Tests of route lookup and of the traffic split over services."""

import random
import unittest

from nose2.tools import params

from orioleloft_core.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    TrafficSplitter,
    WeightedService,
)

LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)


def make_route(name, host="a.example", prefix="/", weighted_services=(("s", 1.0),)):
    split = tuple(WeightedService(service, weight) for service, weight in weighted_services)
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, 2.0, 0.6, 2, 2, split)


TABLE = RouteTable(
    7,
    (
        make_route("root", prefix="/"),
        make_route("long", prefix="/a/b/"),
        make_route("short", prefix="/a/"),
        make_route("other", host="b.example", prefix="/x/"),
    ),
    (),
    LIMITS,
)


class RouteTest(unittest.TestCase):
    @params(
        ("a.example", "/a/b/c", "long"),
        ("a.example", "/a/b/", "long"),
        ("a.example", "/a/b", "short"),
        ("a.example", "/a/bc/d", "short"),
        ("A.example:8080", "/a/x?next=/a/b/", "short"),
        ("a.example", "/q", "root"),
        ("b.example", "/x/1", "other"),
        ("b.example", "/y/1", None),
        ("c.example", "/", None),
        ("", "*", None),
    )
    def test_longest_prefix(self, host, path, name):
        """Guards against a match of a shorter prefix, or of one that ends within a path segment."""
        route = TABLE.route(host, path)
        self.assertEqual(route.name if route else None, name)

    @params(
        ("b.example", "s"),
        ("B.example:80", "s"),
        ("c.example", "u"),
        ("d.example", "s"),
        ("unknown.example", None),
    )
    def test_main_service(self, host, service):
        """Guards against nodes that answer with different entry addresses for one host.

        The service must depend neither on the order of the routes nor on the case of the host.
        """
        routes = (
            *TABLE.routes,
            make_route("c1", "c.example", "/1/", (("s", 1),)),
            make_route("c2", "c.example", "/2/", (("u", 1), ("s", 1))),
            make_route("c3", "c.example", "/3/", (("u", 1),)),
            make_route("d1", "d.example", "/1/", (("u", 1),)),
            make_route("d2", "d.example", "/2/", (("s", 1),)),
        )
        for order in (routes, routes[::-1]):
            self.assertEqual(RouteTable(7, order, (), LIMITS).primary_service(host), service)

    @params(
        ((("s", 90), ("t", 10)), 20),
        ((("s", 1), ("t", 1), ("u", 2)), 40),
        ((("s", 3), ("t", 7)), 10),
    )
    def test_split_is_exact_for_few_requests(self, weighted_services, count):
        """Guards against a traffic split that is far off its weights at nodes with few requests."""
        route = make_route("split", weighted_services=weighted_services)
        splitter = TrafficSplitter(random.Random(5))
        services = [splitter.next_service(route) for _ in range(count)]
        total = sum(weight for _, weight in weighted_services)
        for service, weight in weighted_services:
            self.assertAlmostEqual(services.count(service), count * weight / total, delta=1.01)

    def test_credits_of_withdrawn_routes_are_dropped(self):
        """Guards against credits of withdrawn routes that accumulate over many configurations."""
        route = make_route("split", weighted_services=(("s", 1), ("t", 1)))
        splitter = TrafficSplitter(random.Random(5))
        splitter.next_service(route)
        splitter.retain_routes(())
        self.assertEqual(splitter._credits, {})
