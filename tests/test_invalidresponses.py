"""Tests of responses whose status line is not valid HTTP, or not one of a final response."""

import asyncio
import unittest

from nose2.tools import params
from tornado import httputil

from orioleloft_core.errors import ErrorCode
from orioleloft_core.memory import MemoryAccount
from orioleloft_core.registry import RegisteredTarget, StateVersion, TargetList
from orioleloftd.connections import ExchangeError, HttpClient, connect
from tests import test_forwarding
from tests.support.loop import ScriptedServer, async_test
from tests.test_forwarding import HOST, LOOKUP, PAYMENT, SERVICE

# Everything that the response to the first request of a test needs to be relayed.
HEADERS = (
    b"\r\nX-Request-Id: r0\r\nX-Instance-Id: t0\r\nX-Response-Signature: s\r\n"
    b"X-Server-Load: 0,0,2\r\nContent-Length: 2\r\n\r\nhi"
)
PROBE_RESPONSE = b"HTTP/1.1 200 OK" + HEADERS
INTERIM = b"HTTP/1.1 %s\r\n\r\n"
INVALID = (
    b"HTTP/1.1 000 None",
    b"HTTP/1.1 001 Low",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999 High",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 102 Processing",
    b"HTTP/1.1 20 Short",
    b"HTTP/1.1 2000 Long",
    b"HTTP/1.1 -20 Negative",
    b"HTTP/1.1 +20 Signed",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 2 0 Spaced",
    b"HTTP/1.1 0x2 Hex",
    "HTTP/1.1 \u0662\u0660\u0660 Arabic".encode(),
    "HTTP/1.1 ２００ Wide".encode(),
    b"HTTP/1.1 \xb2\xb2\xb2 Superscript",
    b"HTTP/2.0 200 OK",
    b"200 OK",
)


class InvalidResponseTest(unittest.TestCase):
    async def exchange(self, *responses):
        """Returns the response to a request that is not skipped, and its connection."""
        self.server = ScriptedServer(*responses)
        connection = await connect(
            HOST, await self.server.listen(), 0.0, 1.0, MemoryAccount(1_000_000)
        )
        headers = httputil.HTTPHeaders({"Host": "a"})
        try:
            response = await connection.exchange(
                "GET", "/", headers, b"", lambda _, headers: headers.get("X-Request-Id") == "r0"
            )
        except ExchangeError as error:
            response = error
        self.server.close()
        return response, connection

    @params(*INVALID)
    @async_test
    async def test_invalid_status(self, status_line):
        """Guards against a status that is none, and a connection that is used after it."""
        response, connection = await self.exchange(status_line + HEADERS)
        self.assertIsInstance(response, ExchangeError)
        self.assertTrue(response.was_request_sent)
        self.assertFalse(response.is_oversized)
        self.assertFalse(connection.is_usable)

    @async_test
    async def test_switch_of_protocols_without_a_body(self):
        """Guards against a wait for a final response after the peer has left HTTP."""
        response, connection = await self.exchange(INTERIM % b"101 Switching Protocols")
        self.assertIsInstance(response, ExchangeError)
        self.assertFalse(connection.is_usable)

    @params((b"100 Continue",), (b"102 Processing", b"103 Early Hints"))
    @async_test
    async def test_interim_responses(self, *statuses):
        """Guards against an attempt that fails at an interim response, which HTTP allows."""
        sent = b"".join(INTERIM % status for status in statuses) + PROBE_RESPONSE
        response, connection = await self.exchange(sent)
        self.assertEqual((response.status, response.body), (200, b"hi"))
        connection.close()

    @params(b"000 None", b"099 Low", b"101 Switching Protocols")
    @async_test
    async def test_store_or_node(self, status):
        """Guards against a call to the store or a node that waits after an invalid response."""
        server = ScriptedServer(INTERIM % status)
        port = await server.listen()
        with self.assertRaises(ExchangeError) as raised:
            await HttpClient(lambda: 0.0).call(HOST, port, "GET", "/", timeout=3.0)
        self.assertNotIn("no response", str(raised.exception))
        server.close()


class InvalidTargetResponseTest(unittest.TestCase):
    make_context = test_forwarding.ForwardingTest.make_context
    send = test_forwarding.ForwardingTest.send

    async def start(self, *responses):
        """Starts a forwarder with one target that sends the given responses."""
        test_forwarding.ForwardingTest.start(self)
        server = ScriptedServer(*responses)
        port = await server.listen()
        self.target = RegisteredTarget("t0", "s", HOST, port, "za", 2, False, 1)
        self.registry.replace_targets(TargetList(StateVersion(2, 1), (self.target,)))
        return server

    @params(
        (LOOKUP, "GET", b"HTTP/1.1 000 None"),
        (PAYMENT, "POST", b"HTTP/1.1 000 None\r\nX-Not-Executed: 1"),
        (PAYMENT, "POST", b"HTTP/1.1 099 Low"),
        (PAYMENT, "POST", b"HTTP/1.1 600 High"),
        (PAYMENT, "POST", b"HTTP/1.1 102 Processing"),
    )
    @async_test
    async def test_attempt(self, route, method, status_line):
        """Guards against an invalid status at the caller, and against "not run" for a payment."""
        server = await self.start(PROBE_RESPONSE, status_line + HEADERS)
        reply = await self.send(route, method)
        self.assertEqual((reply.status, reply.code), (502, ErrorCode.TARGET_BROKE_OFF))
        self.assertEqual(len(self.reports), 1)
        server.close()

    @params(b"000 None", b"600 High", b"102 Processing")
    @async_test
    async def test_probe(self, status):
        """Guards against a target that is chosen for requests after an invalid answer to probes."""
        server = await self.start(b"HTTP/1.1 " + status + HEADERS)
        self.assertIsNone(await self.forwarder.access.probe(self.target, SERVICE))
        failures = self.forwarder.access.observations(self.target).failures(
            asyncio.get_running_loop().time()
        )
        self.assertGreater(failures, 0)
        server.close()
