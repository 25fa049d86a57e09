"""Tests of the admission by deadline: order, refusals, fair and guaranteed shares."""

import dataclasses
import random
import unittest

from nose2.tools import params

from orioleloft_core.admissionorder import ArrivalOrder, RequestDemand
from orioleloft_core.admissionqueue import MIN_QUEUE_LIMIT, AdmissionQueue, Rank
from orioleloft_core.deadlineorder import MAX_WAITING, DeadlineOrder
from orioleloft_core.servedshares import GUARANTEED_FRACTIONS_BY_NAME
from tests.support.overload import (
    EarliestDeadline,
    Kind,
    LeastWork,
    OverloadSimulation,
    totals,
)

SLOTS = 12
SECONDS = 12.0
# Times and priorities of four routes of a customer's overload, with their shares of the arrivals.
MIX = (
    Kind("lookup", 0.12, 0.318, 1, 0.35),
    Kind("price", 0.16, 0.41, 1, 0.25),
    Kind("report", 0.3, 1.507, 2, 0.15),
    Kind("pay", 0.096, 0.26, 0, 0.25),
)
CAPACITY_PER_S = SLOTS / sum(kind.work * kind.share for kind in MIX)
ORDERS = {
    "arrival": ArrivalOrder,
    "earliest deadline": EarliestDeadline,
    "least work": LeastWork,
    "deadline": DeadlineOrder,
}


def demand(route="r", priority=1, work=0.1, tenant="", is_late=False):
    return RequestDemand(Rank(priority, is_late), route, tenant, priority, work, 99.0)


def order_with_rate(work_per_s, now=0.0):
    """Returns an order that has started that much work in each of the last two seconds."""
    order = DeadlineOrder()
    for step in range(20):
        order.on_unqueued_dispatch(now - 2.0 + step / 10, demand(work=work_per_s / 10))
    return order


def served(order, now, count):
    """Serves a number of waiting requests and returns their handles."""
    handles = []
    for _ in range(count):
        request = order.next_request(now)
        order.dequeue(request)
        order.on_queued_dispatch(now, request)
        handles.append(request.handle)
    return handles


def simulate(name, load):
    """Runs an overload of all kinds at a multiple of the capacity, or of the burst of one kind."""
    simulation = OverloadSimulation(ORDERS[name](), SLOTS, seed=3)
    for kind in MIX:
        factor = 0.9 if load == "burst" else load
        simulation.add_arrivals(kind, 0, SECONDS, CAPACITY_PER_S * factor * kind.share)
        if load == "burst" and kind.route == "lookup":
            simulation.add_arrivals(kind, 4, 8, CAPACITY_PER_S * 0.9 * kind.share * 1.5)
    simulation.run()
    return simulation.calls


class DeadlineOrderTest(unittest.TestCase):
    @params(
        ("urgent first", [demand(priority=2), demand(priority=0)], [5.0, 9.0], [1, 0]),
        ("late ones last", [demand(is_late=True), demand()], [5.0, 9.0], [1, 0]),
        ("latest start first", [demand(), demand()], [9.0, 5.0], [1, 0]),
        ("urgent late ones first", [demand(), demand(priority=0, is_late=True)], [5, 9], [1, 0]),
        ("arrival decides ties", [demand(), demand()], [5.0, 5.0], [0, 1]),
    )
    def test_order(self, case, demands, wait_deadlines, expected):
        """Guards against slots for requests that can wait, or are late, before urgent ones."""
        order = order_with_rate(10.0)
        for index, (each, deadline) in enumerate(zip(demands, wait_deadlines, strict=True)):
            self.assertIsNotNone(order.admit(0.0, each, deadline, index).request)
        self.assertEqual(served(order, 0.0, 2), expected, case)

    @params(
        ("the largest of one kind", [(0.1, 1)] * 4 + [(0.4, 1)] + [(0.1, 1)] * 4, [4]),
        ("the least urgent", [(0.1, 2)] + [(0.1, 1)] * 8, [0]),
        ("the newcomer, if it is the least urgent", [(0.1, 1)] * 8 + [(0.1, 2)], [8]),
        ("none while there is room", [(0.1, 1)] * 5, []),
    )
    def test_refusal(self, case, arrivals, expected):
        """Guards against refusing what is new where a waiting request costs less to refuse."""
        order, refused = order_with_rate(1.0), []
        for index, (work, priority) in enumerate(arrivals):
            admission = order.admit(0.0, demand(work=work, priority=priority), 0.75, index)
            refused += [each.handle for each in admission.displaced]
            refused += [] if admission.request else [index]
        self.assertEqual(refused, expected, case)

    def test_bounded_by_time(self):
        """Guards against requests that wait in vain, and against a queue without a bound."""
        for rate, wait, expected in ((0.0, 1.0, MIN_QUEUE_LIMIT), (1.0, 1.0, 10), (1e6, 9.0, 0)):
            order = order_with_rate(rate) if rate else DeadlineOrder()
            for _ in range(MAX_WAITING + 50):
                order.admit(0.0, demand(), wait, None)
            self.assertIn(len(order) - (expected or MAX_WAITING), (0, 1), rate)

    def test_tenant_share(self):
        """Guards against a tenant with many waiting requests that delays single ones of others."""
        order = order_with_rate(100.0)
        for index in range(40):
            order.on_asked(0.0, demand(tenant="large"))
            order.admit(0.0, demand(tenant="large"), 3.0 + index / 100, "large")
        served(order, 0.0, 10)
        for _ in range(4):
            order.admit(0.1, demand(tenant="small"), 5.0, "small")
        self.assertGreater(order.fair_share_lag, 0.5)
        self.assertGreaterEqual(served(order, 0.1, 6).count("small"), 3)

    @params(*range(6))
    def test_arrival_order_is_unchanged(self, seed):
        """Guards against other decisions for deployments that do not ask for the new order."""
        rng = random.Random(seed)
        old, new = AdmissionQueue(), ArrivalOrder()
        pairs, now = [], 0.0
        for _ in range(300):
            now += rng.expovariate(40)
            each = demand(priority=rng.randrange(3), is_late=rng.random() < 0.3)
            self.assertEqual(old.must_queue(each.rank), new.must_queue(now, each))
            self.assertEqual(old.count_ahead(each.rank), new.count_ahead(each))
            end = now + rng.random()
            expected, admission = old.enqueue(now, each.rank, end, None), new.admit(
                now, each, end, 0
            )
            self.assertEqual(
                (expected is None, ()), (admission.request is None, admission.displaced)
            )
            if expected:
                pairs.append((expected, admission.request))
            partners = {id(first): second for first, second in pairs}
            self.assertIs(partners.get(id(old.head)), new.next_request(now))
            if rng.random() < 0.5 and old.head:
                head = old.head
                old.dequeue(head)
                old.on_queued_dispatch(now, head.rank)
                request = new.next_request(now)
                new.dequeue(request)
                new.on_queued_dispatch(now, request)
            self.assertEqual((len(old), old.reprobe_interval), (len(new), new.reprobe_interval))

    @params((ArrivalOrder, DeadlineOrder), (DeadlineOrder, ArrivalOrder))
    def test_change_of_order(self, first, second):
        """Guards against requests lost, or refused in a burst, as a new table changes the order."""
        before, after = first(), second()
        for step in range(20):
            before.on_unqueued_dispatch(step / 20, demand())
        for index in range(3):
            before.admit(1.0, demand(), 2.0, index)
        left = before.next_request(1.0)
        before.dequeue(left)
        after.adopt(before)
        after.requeue(left)
        self.assertTrue(all(after.admit(1.0, demand(), 2.0, 3 + n).request for n in range(3)))
        self.assertEqual(served(after, 1.0, 6), [0, 1, 2, 3, 4, 5])


class OverloadTest(unittest.TestCase):
    @params(1.3, 1.8, 2.5, "burst")
    def test_value(self, load):
        """Guards against an order that gives callers less than the order of arrival does.

        An answer in time counts 1, a later one 0.1. Under the order of arrival the reports got 2
        answers in 100 at 2.5 times the capacity.
        """
        values = {}
        for name in ("arrival", "deadline"):
            calls = simulate(name, load)
            values[name] = sum(call.value for call in calls) / len(calls)
        self.assertGreater(values["deadline"], values["arrival"])
        # `calls` are those of the order by deadline.
        groups = totals(calls, lambda call: call.kind.route)
        mean = sum(call.answered_at is not None for call in calls) / len(calls)
        for route, (asked, answered, _) in groups.items():
            self.assertGreater(answered / asked, mean / 4, route)

    @params("earliest deadline", "least work")
    def test_other_orders(self, name):
        """Guards against a change by which a simpler order would be as good."""
        values = {
            each: sum(call.value for call in simulate(each, 1.3)) for each in (name, "deadline")
        }
        self.assertGreater(values["deadline"], 1.5 * values[name])

    @params((8, 1), (10, 1), (10, 0))
    def test_surge_of_one_tenant(self, factor, priority):
        """Guards against a tenant at a multiple of its rate that costs the others 5 per cent.

        Also if it is more urgent than the others: it keeps its priority for its usual rate.
        """
        simulation = OverloadSimulation(DeadlineOrder(), SLOTS, seed=5)
        for number in range(8):
            for kind in MIX:
                each = dataclasses.replace(
                    kind, tenant=f"t{number}", priority=1 if number else priority
                )
                per_s = CAPACITY_PER_S * 0.85 * kind.share / 8
                simulation.add_arrivals(each, 0, 30, per_s)
                if not number:
                    simulation.add_arrivals(each, 14, 30, (factor - 1) * per_s)
        simulation.run()
        calls = [call for call in simulation.calls if call.sent_at > 14]
        groups = totals(calls, lambda call: call.kind.tenant == "t0")
        asked, answered, value = groups[False]
        self.assertGreater(answered / asked, 0.95)
        self.assertGreater(value / asked, 0.95)
        mean = sum(call.answered_at is not None for call in calls) / len(calls)
        self.assertGreater(groups[True][1] / groups[True][0], mean / 4)

    def test_guarantee_is_above_a_quarter(self):
        """Guards against a constant that no longer gives routes and tenants their quarter."""
        self.assertGreater(
            min(GUARANTEED_FRACTIONS_BY_NAME[name] for name in ("route", "tenant")), 0.25
        )
