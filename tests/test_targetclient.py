"""Tests of the target client: pooling, cut answers, deadlines and the check at the first byte."""

import asyncio
import unittest

from nose2.tools import params
from tornado import testing

from orioleloft_core.effects import Dispatch
from orioleloft_core.request import Ending
from orioleloftd.targetclient import TargetClient
from tests.support import fakes

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
REPORTED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLoad-Report: incarnation=a;in_flight=1;state="
MAX_HEADER_BYTES = 2048
MAX_BODY_BYTES = 4096


class ClientCase(testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.starts = []
        self.results = []
        self.allows_start = True
        self.client = TargetClient(
            lambda: self.now, self._may_start, MAX_HEADER_BYTES, MAX_BODY_BYTES
        )

    def _may_start(self, dispatch_id):
        self.starts.append(dispatch_id)
        return self.allows_start

    def send(self, raw, needs_live=False, limit=4, **fields):
        """Starts a dispatch; its result is appended to `results`."""
        self.target = fakes.catalog(raw.port).targets[0]
        dispatch = Dispatch("d1", self.target.id, fakes.request(**fields), needs_live)
        self.client.send(dispatch, self.target, limit, self.results.append)

    async def result(self, raw, needs_live=False, limit=4, **fields):
        """Sends and waits for the result."""
        count = len(self.results)
        self.send(raw, needs_live, limit, **fields)
        await fakes.until(lambda: len(self.results) > count)
        return self.results[-1]

    @property
    def pooled(self):
        return self.client.idle_connections(self.target)


class AnswerTest(ClientCase):
    @params(
        (OK, "GET", 200, b"hi", 1),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, "GET", 200, b"hi", 1),
        (b"HTTP/1.1 204 No Content\r\n\r\n", "DELETE", 204, b"", 1),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "GET", 304, b"", 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD", 200, b"", 1),
        (b"HTTP/1.1 200 OK\r\n\r\n", "HEAD", 200, b"", 1),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
            "GET",
            200,
            b"hi",
            1,
        ),
        (OK + b"HTTP/1.1 200 OK\r\n", "GET", 200, b"hi", 0),
        (OK.replace(b"OK", b"OK\r\nConnection: close"), "GET", 200, b"hi", 0),
        (OK.replace(b"OK", b"OK\r\nConnection: x, Close"), "GET", 200, b"hi", 0),
        (OK.replace(b"1.1", b"1.0"), "GET", 200, b"hi", 0),
    )
    @fakes.async_test
    async def test_whole_answer(self, answer, method, status, body, pooled):
        """Guards against a wrong end of an answer, and a connection reused with an unread rest."""
        raw = await fakes.RawTarget(answer).start()
        result = await self.result(raw, method=method)
        self.assertEqual((result.ending, result.status), (Ending.ANSWERED, status))
        self.assertEqual((result.body, self.pooled), (body, pooled))
        await fakes.until(lambda: raw.closed == 1 - pooled)
        self.client.close()

    @params(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nperhaps short",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * MAX_HEADER_BYTES + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + b"x" * 5000,
    )
    @fakes.async_test
    async def test_cut_or_wrong_answer_is_broken(self, answer):
        """Guards against a short or ambiguous answer that passes as a complete one."""
        raw = await fakes.RawTarget(answer, closes=True).start()
        result = await self.result(raw)
        self.assertEqual((result.ending, result.status), (Ending.BROKEN, 0))
        self.assertEqual(self.pooled, 0)

    @params((b"", Ending.ANSWERED), (b"Load-Shed: not-started\r\n", Ending.SHED))
    @fakes.async_test
    async def test_only_a_stated_shed_is_not_run(self, header, ending):
        """Guards against a 503 of a request that ran being taken for one that did not."""
        answer = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" + header + b"\r\n"
        raw = await fakes.RawTarget(answer).start()
        self.assertEqual((await self.result(raw)).ending, ending)
        self.client.close()

    @fakes.async_test
    async def test_early_answer_closes(self):
        """Guards against the rest of a request body that reaches the next exchange."""
        raw = await fakes.RawTarget(OK, reads_body=False).start()
        result = await self.result(raw, method="PUT", body=b"x" * 30_000_000)
        self.assertEqual((result.ending, result.body, self.pooled), (Ending.ANSWERED, b"hi", 0))


class ReuseTest(ClientCase):
    @fakes.async_test
    async def test_reuses_one_connection(self):
        """Guards against a connection for each request."""
        raw = await fakes.RawTarget(OK).start()
        results = [await self.result(raw) for _ in range(3)]
        self.assertEqual([result.reused for result in results], [False, True, True])
        self.assertEqual(raw.opened, 1)
        self.client.close()

    @params("cancel", "time-out")
    @fakes.async_test
    async def test_cut_exchange_closes_its_connection(self, way):
        """Guards against a late answer that the next request on the connection receives."""
        raw = await fakes.RawTarget(b"").start()
        self.send(raw, deadline=30.0 if way == "cancel" else 0.2)
        await fakes.until(lambda: raw.requests)
        if way == "cancel":
            self.client.cancel("d1")
        await fakes.until(lambda: raw.closed)
        expected = Ending.CANCELLED if way == "cancel" else Ending.TIMED_OUT
        self.assertEqual([result.ending for result in self.results], [expected])
        self.assertEqual((self.pooled, self.client.running), (0, 0))
        raw.answer = OK
        self.assertEqual((await self.result(raw)).reused, False)
        self.client.close()

    @fakes.async_test
    async def test_answer_after_deadline_is_dropped(self):
        """Guards against an answer that arrives late while the timer has not fired yet."""
        raw = await fakes.RawTarget(OK).start()
        self.client._may_start = lambda dispatch_id: self._jump()
        result = await self.result(raw)
        self.assertEqual((result.ending, result.body, self.pooled), (Ending.TIMED_OUT, b"", 0))

    def _jump(self):
        asyncio.get_running_loop().call_soon(setattr, self, "now", 31.0)
        return True

    @fakes.async_test
    async def test_post_on_dying_connection_is_sent_once(self):
        """Guards against a resend of a POST that may have run."""
        raw = await fakes.RawTarget(OK).start()
        await self.result(raw)
        raw.answer, raw.closes = b"", True
        result = await self.result(raw, method="POST", body=b"pay")
        self.assertEqual((result.ending, result.reused), (Ending.BROKEN, True))
        sent = [head for head in raw.requests if head.startswith(b"POST")]
        self.assertEqual((len(sent), raw.opened), (1, 1))

    @fakes.async_test
    async def test_closed_connection_is_not_reused(self):
        """Guards against a request that is written to a connection known to be closed."""
        raw = await fakes.RawTarget(OK).start()
        await self.result(raw)
        raw.hang_up()
        await fakes.until(lambda: raw.closed)
        result = await self.result(raw, method="POST")
        self.assertEqual((result.ending, result.reused), (Ending.ANSWERED, False))


class FirstByteTest(ClientCase):
    @fakes.async_test
    async def test_not_sent_when_core_forbids(self):
        """Guards against a request that starts although its grant is gone."""
        raw = await fakes.RawTarget(OK).start()
        self.allows_start = False
        self.assertEqual((await self.result(raw)).ending, Ending.NOT_SENT)
        self.assertEqual((self.starts, raw.requests), (["d1"], []))
        self.allows_start = True
        await self.result(raw)
        self.assertEqual(len(raw.requests), 1)
        self.client.close()

    @fakes.async_test
    async def test_asks_after_connecting(self):
        """Guards against a check that is out of date once the connection is open."""
        raw = await fakes.RawTarget(OK).start()
        self.send(raw)
        # This runs after the first step of the dispatch, which begins to connect.
        asyncio.get_running_loop().call_soon(setattr, self, "allows_start", False)
        await fakes.until(lambda: self.results)
        self.assertEqual((self.results[0].ending, raw.requests), (Ending.NOT_SENT, []))
        self.client.close()

    @fakes.async_test
    async def test_not_sent_after_deadline(self):
        """Guards against a request that starts when its caller no longer waits."""
        raw = await fakes.RawTarget(OK).start()
        await self.result(raw)
        self.now = 31.0
        self.assertEqual((await self.result(raw)).ending, Ending.NOT_SENT)
        self.assertEqual((len(raw.requests), self.starts), (1, ["d1"]))
        self.client.close()

    @fakes.async_test
    async def test_refused_connection_is_not_sent(self):
        """Guards against "unknown" for a request of which no byte left the node."""
        raw = await fakes.RawTarget(OK).start()
        raw.stop()
        self.assertEqual((await self.result(raw)).ending, Ending.NOT_SENT)

    @fakes.async_test
    async def test_connection_limit(self):
        """Guards against more connections than a target accepts."""
        raw = await fakes.RawTarget(b"").start()
        self.send(raw, limit=1)
        await fakes.until(lambda: raw.requests)
        second = Dispatch("d2", self.target.id, fakes.request())
        self.client.send(second, self.target, 1, self.results.append)
        await fakes.until(lambda: self.results)
        self.assertEqual(self.results[0].ending, Ending.NOT_SENT)
        self.client.close()

    @fakes.async_test
    async def test_live_connection(self):
        """Guards against work for a target that may have restarted without notice."""
        raw = await fakes.RawTarget(OK).start()
        self.assertEqual((await self.result(raw, needs_live=True)).ending, Ending.NOT_SENT)
        self.assertEqual(raw.opened, 0)
        await self.client.probe(self.target, 4)
        self.assertEqual((await self.result(raw, needs_live=True)).ending, Ending.NOT_SENT)
        await self.result(raw)
        self.assertEqual((await self.result(raw, needs_live=True)).ending, Ending.ANSWERED)
        raw.closes = True
        await self.result(raw)
        await fakes.until(lambda: raw.closed)
        self.assertEqual((await self.result(raw, needs_live=True)).ending, Ending.NOT_SENT)

    @params((b"warm", 1), (b"tired", None))
    @fakes.async_test
    async def test_probe(self, state, in_flight):
        """Guards against a probe that hangs or invents a report."""
        raw = await fakes.RawTarget(REPORTED + state + b"\r\n\r\n").start()
        report = await self.client.probe(fakes.catalog(raw.port).targets[0], 1)
        self.assertEqual(report and report.in_flight, in_flight)
        self.client.close()


if __name__ == "__main__":
    unittest.main()
