"""Tests of the handling of requests beside their way to a target."""

import asyncio
import random
import unittest
from unittest import mock

from nose2.tools import params
from tornado import httputil

from orioleloft_core.allotmentclient import Taken
from orioleloft_core.routes import TrafficSplitter
from orioleloft_core.tenants import Public
from orioleloftd.allotmentexchange import Admitted
from orioleloftd.requestcontext import CallerRequest
from orioleloftd.requesthandler import RequestHandler
from standins.memoryfleet import ROUTE
from tests.support.loop import async_test


class LeavingCallerTest(unittest.TestCase):
    @params((False, 1), (True, 0))
    @async_test
    async def test_token_of_a_caller_that_leaves(self, is_spent, given_back):
        """Guards against tokens lost by callers that leave before an attempt was made."""
        allotments = mock.Mock()
        allotments.admit = mock.AsyncMock(return_value=Admitted(Taken(1.0), "t"))
        forwarder = mock.Mock()

        async def forward(request, route, service, authorization, permit):
            allotments.admit.return_value.token.is_spent = is_spent
            await asyncio.Event().wait()

        forwarder.forward = forward
        handler = RequestHandler(
            state=mock.Mock(),
            startup_gate=mock.Mock(),
            forwarder=forwarder,
            traffic_splitter=TrafficSplitter(random.Random(1)),
            allotments=allotments,
            shutdown=mock.Mock(),
            shutdown_sequence=mock.Mock(),
            metrics=mock.Mock(),
            clock=lambda: 0.0,
            rng=random.Random(1),
        )
        request = CallerRequest("i", "GET", "a", "/x", httputil.HTTPHeaders(), b"", 0.0, 3.0)
        task = asyncio.create_task(handler._forward_authorized(request, ROUTE, Public()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(allotments.on_not_run.call_count, given_back)
