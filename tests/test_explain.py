"""Tests of `orioleloft explain`: recorded requests, a real node's answers, and errors."""

import dataclasses
import json
import unittest

from nose2.tools import params

from orioleloft import explain
from orioleloft.explain import ExplainOptions, RecordedAttempt
from orioleloft_core import errors
from orioleloft_core.entrysettings import AllotmentBounds
from orioleloft_core.routes import RoutedService, RouteTable, Tenant
from orioleloftd.controlserver import ControlServer
from standins.processes import free_ports
from tests import test_entry
from tests.support.frozenstate import frozen_state
from tests.support.loop import async_test
from tests.test_account import answer, log_line

TENANT = Tenant("team", ("digest",), 0, 5.0, 5.0)
SERVICE = RoutedService("s", "/health", 100, 2.1)
TABLE = dataclasses.replace(
    test_entry.TABLE, routes=(test_entry.ROUTE,), services=(SERVICE,), tenants=(TENANT,)
)
BY_HAND = ExplainOptions(host="a", path="/x?q=1 ü", tenant="team", timeout="2")


class Store(test_entry.InMemoryStore):
    """A store with a route and a tenant."""

    table: RouteTable = TABLE

    async def read_table(self, allow_stale=False):
        return await self._reply("read table", (self.table, 5))


class RecordTest(unittest.TestCase):
    @params(
        (
            [
                log_line("dispatch", 1, "a", route="r", target="t1", hedge=False),
                log_line("dispatch", 1, "b", route="q", target="t9", hedge=False),
                log_line("dispatch", 1, "a", route="r", target="t2", hedge=True),
                log_line("attempt ended", 1, "a", target="t1", end="answered", status=500),
                "no JSON with a\n",
                answer(2, "a", route="r", tenant="team", patience_ms=2500),
            ],
            (RecordedAttempt("t1", False, "answered", 500), RecordedAttempt("t2", True)),
            (),
            2.5,
        ),
        (
            [
                log_line("no target", 1, "a", "x ", reason="the queue is too long"),
                answer(2, "a", 503, code="no-capacity", route="r"),
            ],
            (),
            ("the queue is too long",),
            None,
        ),
        (
            [log_line("dispatch", 1, "a", route="r", target="t")],
            (RecordedAttempt("t", False),),
            (),
            None,
        ),
    )
    def test_find(self, lines, attempts, waits, timeout):
        """Guards against another request's lines, or attempts without their ends."""
        recorded = explain.find_request(lines, "a")
        self.assertEqual((recorded.route, recorded.node), ("r", "n1"))
        self.assertEqual((recorded.attempts, recorded.waits), (attempts, waits))
        self.assertEqual(recorded.timeout_s, timeout)
        text = "\n".join(explain.format_record(recorded))
        for each in (*waits, *(attempt.target for attempt in attempts)):
            self.assertIn(each, text)

    @params([], [answer(1, "ab")], [answer(1, "a", 404, code="unknown-route", route="")])
    def test_not_found(self, *lines):
        """Guards against an explanation of a request of which the logs do not have the route."""
        with self.assertRaises(errors.RequestNotLoggedError) as raised:
            explain.find_request(lines, "a")
        self.assertTrue(raised.exception.remedy)


class ExplainTest(unittest.TestCase):
    async def start_node(self, table=TABLE):
        """Starts a node that has the table, or none; returns it with its address."""
        store = Store()
        store.table, store.is_up = table, table is not None
        starter = test_entry.EntryTest()
        node = starter.start(store, allotments=AllotmentBounds(5.0, 0.1, 20.0))
        await node.start()
        if table is not None:
            await starter.wait_until_ready(node)
        return node, f"{test_entry.HOST}:{node._settings.peer_endpoint.port}"

    @async_test
    async def test_by_hand(self):
        """Guards against text or JSON that leaves out what was asked, or that shows a key."""
        node, address = await self.start_node()
        before = frozen_state(node._allotments._client), frozen_state(node._forwarder._waiting)
        lines = await explain.run(address, (), BY_HAND)
        text = "\n".join(lines)
        for part in ("a/x?q=1 ü, answer within 2 s", "route       r:", "0, from the tenant"):
            self.assertIn(part, text)
        for part in ("5 per second and burst 5", "t0 ", "za (own)", "verdict     "):
            self.assertIn(part, text)
        options = dataclasses.replace(BY_HAND, is_json=True)
        content = json.loads("\n".join(await explain.run(address, (), options)))
        self.assertEqual((content["route"], content["tenant"]), ("r", "team"))
        self.assertEqual(content["candidates"][0]["facts"]["id"], "t0")
        self.assertNotIn("digest", text + json.dumps(content))
        after = frozen_state(node._allotments._client), frozen_state(node._forwarder._waiting)
        self.assertEqual(after, before)

    @async_test
    async def test_recorded(self):
        """Guards against a recorded request that is explained for another route or tenant."""
        _, address = await self.start_node()
        log = [answer(1, "a", route="r", tenant="team", patience_ms=1500)]
        options = ExplainOptions(request="a", is_json=True)
        content = json.loads("\n".join(await explain.run(address, log, options)))
        self.assertEqual((content["route"], content["tenant"]), ("r", "team"))
        self.assertEqual((content["timeout_s"], content["recorded"]["status"]), (1.5, 200))
        text = await explain.run(address, log, dataclasses.replace(options, is_json=False))
        self.assertIn("recorded    request a at node n1", text[0])

    @params(
        ({"tenant": "api-key"}, errors.UnknownTenantError),
        ({"timeout": "nan"}, errors.ExplainQueryError),
        ({"timeout": "0"}, errors.ExplainQueryError),
        ({"path": "x"}, errors.ExplainQueryError),
        ({"host": ""}, errors.ExplainQueryError),
        ({"path": "/" + "x" * 3000}, errors.ExplainQueryError),
        ({"request": "gone"}, errors.UnknownRouteError),
    )
    @async_test
    async def test_wrong_input(self, changes, error):
        """Guards against wrong input without a remedy, and a key that an error repeats."""
        _, address = await self.start_node()
        log = [answer(1, "gone", route="removed")]
        with self.assertRaises(error) as raised:
            await explain.run(address, log, dataclasses.replace(BY_HAND, **changes))
        self.assertIn(
            "Give" if error is not errors.UnknownRouteError else "Look", str(raised.exception)
        )
        self.assertNotIn("api-key", str(raised.exception))

    @async_test
    async def test_not_ready(self):
        """Guards against an explanation from a node that has no configuration yet."""
        _, address = await self.start_node(table=None)
        with self.assertRaises(errors.NodeNotReadyError):
            await explain.run(address, (), BY_HAND)

    @params(
        (404, b"unknown path", errors.OldNodeError),
        (200, b"[1]", errors.ExplainError),
        (200, b"\xff{", errors.ExplainError),
        (500, b'{"code": "x", "message": "y"}', errors.ExplainError),
    )
    @async_test
    async def test_other_server(self, status, body, error):
        """Guards against a stack trace where an older build or another server answers."""
        (port,) = free_ports(1)
        ControlServer(lambda *_: (status, "text/plain", body)).listen(test_entry.HOST, port)
        with self.assertRaises(error):
            await explain.run(f"{test_entry.HOST}:{port}", (), BY_HAND)

    @params(("nowhere", errors.ExplainQueryError), ("127.0.0.1:1", errors.NodeUnreachableError))
    @async_test
    async def test_no_node(self, address, error):
        """Guards against a stack trace where no node is."""
        with self.assertRaises(error) as raised:
            await explain.run(address, (), BY_HAND)
        self.assertIn("HOST:PORT", raised.exception.remedy)
