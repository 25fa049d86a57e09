"""Tests of waiting under the order by deadline, with nodes and targets in memory."""

import asyncio
import dataclasses
import unittest

from nose2.tools import params
from tornado import httputil

from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.errors import ErrorCode
from orioleloft_core.refusalreturns import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from orioleloft_core.routes import Tenant
from orioleloft_core.tenants import UNRESTRICTED, Authorized
from orioleloftd.requestcontext import CallerRequest, RequestContext
from standins.memoryfleet import ROUTE, SERVICE, MemoryFleet
from standins.virtualtime import run_in_virtual_time

URGENT = dataclasses.replace(ROUTE, name="urgent", priority=0)
TENANT = Tenant("large", ("digest",), 3, 0.0, 0.0)


async def send_burst(node, routes, interval=0.004):
    """Sends one request per route in turn; returns replies with their times."""
    tasks = []
    for route in routes:
        tasks.append(asyncio.ensure_future(node.send(route)))
        await asyncio.sleep(interval)
    return await asyncio.gather(*tasks)


class QueueWaitingTest(unittest.TestCase):
    def run_fleet(self, scenario, target_count=2, **settings):
        fleet = MemoryFleet(1, target_count, 1, admission=AdmissionPolicy.DEADLINE, **settings)

        async def run():
            with fleet.running():
                return await scenario(fleet, fleet.nodes["n0"])

        return run_in_virtual_time(run())

    def test_displaced_requests(self):
        """Guards against an urgent request refused for others, and a refusal that is not true."""

        async def scenario(fleet, node):
            replies = await send_burst(node, [ROUTE] * 40 + [URGENT] * 6)
            runs = sum(not each.is_probe for target in fleet.targets for each in target.arrivals)
            self.assertEqual(node.forwarder.fair_share_lag, 0.0)
            return replies, runs, node.counts

        replies, runs, counts = self.run_fleet(scenario, slots=4)
        urgent = [reply.status for reply, _ in replies[40:]]
        refused = [(reply, seconds) for reply, seconds in replies if reply.status == 503]
        displaced = [each for each in refused if "cost more" in each[0].message]
        self.assertEqual(urgent, [200] * 6)
        self.assertTrue(displaced)
        self.assertEqual(counts["admission_refusals", "displaced"], len(displaced))
        self.assertEqual(runs, len(replies) - len(refused))
        for reply, seconds in refused:
            self.assertEqual(reply.code, ErrorCode.NO_CAPACITY)
            self.assertTrue(MIN_RETRY_AFTER_S <= reply.retry_after <= MAX_RETRY_AFTER_S)
            self.assertLess(seconds, ROUTE.target_latency)

    @params((150, 0.95), (300, 0.45))
    def test_service_times_under_load(self, per_s, share):
        """Guards against idle slots while requests wait, as expected service times swing.

        Six targets run some 160 requests of 150 ms per second. Half of 150 requests a second, and a
        quarter of 300, were in time when each answer corrected the estimate of now.
        """

        async def scenario(fleet, node):
            return await fleet.send_timed_requests(6, per_s)

        replies = self.run_fleet(scenario, target_count=6)
        in_time = sum(
            reply.status == 200 and seconds <= ROUTE.target_latency for reply, seconds in replies
        )
        self.assertGreater(in_time / len(replies), share)

    def test_change_of_table(self):
        """Guards against requests that are lost as a table with tenants comes into force."""

        async def scenario(fleet, node):
            node.forwarder._admission = AdmissionPolicy.ARRIVAL
            # The requests have no key.
            public_route = dataclasses.replace(ROUTE, is_public=True)
            without_tenants = dataclasses.replace(node.table, routes=(public_route,))
            tables = [without_tenants, dataclasses.replace(without_tenants, tenants=(TENANT,))]
            node.table = without_tenants
            tasks = []
            for index in range(60):
                tasks.append(asyncio.ensure_future(node.send(public_route)))
                await asyncio.sleep(0.01)
                node.table = tables[index // 10 % 2]
            return await asyncio.gather(*tasks), node.counts

        replies, counts = self.run_fleet(scenario)
        self.assertEqual({reply.status for reply, _ in replies}, {200, 503})
        self.assertGreater(sum(reply.status == 200 for reply, _ in replies), 25)
        self.assertGreater(counts["admitted", "1", "0"], 0)

    @params(
        (None, 1, ""),
        (TENANT, 3, "large"),
        (dataclasses.replace(TENANT, priority=None), 1, "large"),
    )
    def test_priority_of_the_tenant(self, tenant, priority, name):
        """Guards against a tenant whose priority does not go before that of the route."""

        async def scenario(fleet, node):
            request = CallerRequest("j", "GET", "a", "/x", httputil.HTTPHeaders(), b"", 0.0, 3.0)
            authorization = UNRESTRICTED if tenant is None else Authorized(tenant)
            context = RequestContext(request, ROUTE, SERVICE, 3.0, authorization=authorization)
            return node.forwarder._waiting._demand(context)

        demand = self.run_fleet(scenario)
        self.assertEqual((demand.priority, demand.tenant), (priority, name))

    @params((AdmissionPolicy.DEADLINE, True), (AdmissionPolicy.ARRIVAL, False))
    def test_targets_that_refuse_all(self, policy, is_recognised):
        """Guards against idle-looking targets that refuse all requests and draw ever more of them.

        Under the order of arrival a refusal with 503 is no failure, as before.
        """

        async def scenario(fleet, node):
            node.forwarder._admission = policy
            for target in fleet.targets[:6]:
                target.refuses_all = True
            replies = await send_burst(node, [ROUTE] * 150, 0.06)
            refusing = [each for target in fleet.targets[:6] for each in target.arrivals]
            return replies, sum(not each.is_probe and each.at > 4.5 for each in refusing)

        replies, refused_later = self.run_fleet(scenario, target_count=12)
        answered = sum(reply.status == 200 for reply, _ in replies[75:])
        self.assertEqual(refused_later < 15, is_recognised)
        if is_recognised:
            self.assertGreater(answered, 72)
