"""Tests of requests that a caller sends before earlier ones are answered, on raw connections."""

import asyncio
import unittest

from nose2.tools import params
from tornado import httputil

from orioleloft_adapter.headers import PlatformHeaders
from orioleloft_core.errors import Code
from orioleloft_core.pipelining import MAX_RUNNING
from orioleloft_core.routes import CallerLimits
from orioleloftd.callerpipeline import IDLE_MARGIN_S
from orioleloftd.frontend import CallerConnections
from orioleloftd.jobs import EntryReply
from tests.support.loop import async_test

HOST = "127.0.0.1"


def lookup(name, *headers):
    lines = (f"GET /{name} HTTP/1.1", "Host: a", *headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def payment(name):
    return f"POST /{name} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi".encode()


class CallerPipelineTest(unittest.TestCase):
    def setUp(self):
        self.started = []
        self.cancelled = []
        self.gates = {}
        self.is_stopping = False
        self.reserved = 0

    # The gateway.

    def now(self):
        return 100.0

    def limits(self):
        return CallerLimits(2048, 4096, 0.3, 0.4)

    def closes_connections(self):
        return self.is_stopping

    def is_idempotent(self, request):
        return request.method == "GET"

    def reserve_memory(self, size):
        self.reserved += size
        return True

    def release_memory(self, size):
        self.reserved -= size

    async def serve(self, request):
        name = request.path[1:]
        self.started.append(name)
        try:
            await self.gate(name).wait()
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        return EntryReply(200, httputil.HTTPHeaders(), f"<{name}>".encode())

    # Steps of a test.

    def gate(self, name):
        return self.gates.setdefault(name, asyncio.Event())

    def release(self, *names):
        for name in names:
            self.gate(name).set()

    async def connect(self):
        self.server = CallerConnections(self, PlatformHeaders())
        self.server.listen(0, HOST)
        port = next(iter(self.server._sockets.values())).getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(HOST, port)

    async def until_started(self, *names):
        while self.started != list(names):
            await asyncio.sleep(0.002)

    async def run_pending_callbacks(self):
        """Lets everything that can happen by itself happen."""
        for _ in range(30):
            await asyncio.sleep(0.001)

    async def read_to_end(self):
        """Returns all that comes until the connection is closed."""
        return (await self.reader.read()).decode()

    async def bodies(self, count):
        bodies = []
        for _ in range(count):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
            bodies.append((await self.reader.readexactly(length)).decode())
        return bodies

    @params(("c", "b", "a"), ("b", "a", "c"), ("a", "b", "c"))
    @async_test
    async def test_lookups_run_beside_each_other(self, *finished):
        """Guards against look-ups that wait for the targets of those before them.

        Callers of cheville-dakar send up to four look-ups of 120 ms in a row, with an aim of 300.
        """
        await self.connect()
        self.writer.write(lookup("a") + lookup("b") + lookup("c"))
        await self.until_started("a", "b", "c")
        for name in finished:
            self.release(name)
            await self.run_pending_callbacks()
        self.assertEqual(await self.bodies(3), ["<a>", "<b>", "<c>"])
        self.assertEqual(self.server.open_requests, 0)

    @async_test
    async def test_payment_waits_for_lookups(self):
        """Guards against a payment that runs beside a request whose answer may close the row."""
        await self.connect()
        self.writer.write(lookup("a") + payment("p") + lookup("b"))
        await self.until_started("a")
        await self.run_pending_callbacks()
        self.assertEqual(self.started, ["a"])
        self.release("a")
        await self.until_started("a", "p")
        await self.run_pending_callbacks()
        self.assertEqual(self.started, ["a", "p"])
        self.release("p", "b")
        self.assertEqual(await self.bodies(3), ["<a>", "<p>", "<b>"])
        self.assertEqual(self.reserved, 0)

    @async_test
    async def test_bounded_number(self):
        """Guards against one connection that takes all slots of a small service."""
        await self.connect()
        names = [f"n{index}" for index in range(MAX_RUNNING + 3)]
        self.writer.write(b"".join(map(lookup, names)))
        await self.until_started(*names[:MAX_RUNNING])
        await self.run_pending_callbacks()
        self.assertEqual(self.started, names[:MAX_RUNNING])
        self.release(*names)
        self.assertEqual(await self.bodies(len(names)), [f"<{name}>" for name in names])

    @params(
        (b"garbage\r\n\r\n", Code.MALFORMED_REQUEST),
        (lookup("x", "Content-Length: 9999"), Code.REQUEST_TOO_LARGE),
        (lookup("x", "X: " + "x" * 9000), Code.REQUEST_TOO_LARGE),
        (b"GET /x HTT", Code.MALFORMED_REQUEST),
        (lookup("x", "Content-Length: 9") + b"slow", Code.MALFORMED_REQUEST),
    )
    @async_test
    async def test_refusal_in_a_row(self, invalid, code):
        """Guards against a refusal that is taken for the answer of an earlier request."""
        await self.connect()
        self.writer.write(lookup("a") + lookup("b") + invalid)
        await self.until_started("a", "b")
        await asyncio.sleep(0.6)
        self.release("b", "a")
        text = await self.read_to_end()
        self.assertLess(text.index("<a>"), text.index("<b>"))
        self.assertLess(text.index("<b>"), text.index(code.value))
        self.assertEqual(text.count("Connection: close"), 1)
        self.assertEqual(self.started, ["a", "b"])

    @async_test
    async def test_stop_in_a_row(self):
        """Guards against a stop that cuts off requests which were passed on to targets."""
        await self.connect()
        self.writer.write(lookup("a") + lookup("b"))
        await self.until_started("a", "b")
        self.is_stopping = True
        self.writer.write(lookup("c") + lookup("d"))
        await self.until_started("a", "b", "c")
        self.release("a", "b", "c", "d")
        text = await self.read_to_end()
        self.assertEqual([text.count(f"<{name}>") for name in "abcd"], [1, 1, 1, 0])
        self.assertLess(text.index("<b>"), text.index("Connection: close"))
        self.assertEqual(self.started, ["a", "b", "c"])

    @async_test
    async def test_closing_request_in_a_row(self):
        """Guards against work for requests behind an answer that closes the connection."""
        await self.connect()
        self.writer.write(lookup("a") + lookup("b", "Connection: close") + lookup("c"))
        await self.until_started("a", "b")
        self.release("b", "c")
        await self.run_pending_callbacks()
        self.release("a")
        text = await self.read_to_end()
        self.assertLess(text.index("<a>"), text.index("Connection: close"))
        self.assertTrue(text.endswith("<b>"))
        self.assertEqual(self.started, ["a", "b"])

    @params((lookup("b"),), (lookup("b") + payment("p"),), (lookup("b") + b"garbage\r\n\r\n",))
    @async_test
    async def test_caller_that_leaves(self, behind):
        """Guards against targets that work on for a row of requests whose caller is gone."""
        await self.connect()
        self.writer.write(lookup("a") + behind)
        await self.until_started("a", "b")
        await self.run_pending_callbacks()
        self.writer.close()
        while sorted(self.cancelled) != ["a", "b"]:
            await asyncio.sleep(0.002)
        await self.run_pending_callbacks()
        self.assertEqual(self.started, ["a", "b"])
        self.assertEqual((self.server.open_requests, self.reserved), (0, 0))

    @async_test
    async def test_idle_time_counts_from_the_last_answer(self):
        """Guards against an idle connection that is closed while its answers are on their way."""
        await self.connect()
        loop = asyncio.get_running_loop()
        call_later = loop.call_later
        idle = self.limits().idle_timeout + IDLE_MARGIN_S
        timers = []

        def record(seconds, callback, *args):
            timer = call_later(seconds, callback, *args)
            if seconds == idle:
                timers.append(timer)
            return timer

        loop.call_later = record
        self.writer.write(lookup("a") + lookup("b"))
        await self.until_started("a", "b")
        self.assertTrue(all(timer.cancelled() for timer in timers))
        self.release("a", "b")
        self.assertEqual(await self.bodies(2), ["<a>", "<b>"])
        self.assertFalse(timers[-1].cancelled())
