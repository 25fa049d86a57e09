"""Tests of the server for callers: bad input on raw connections, answers, callers that leave."""

import asyncio
import json
import socket
import unittest

from nose2.tools import params
from tornado import testing

from orioleloft_core.errors import Code, Outcome
from orioleloft_core.request import Reply, error_reply
from orioleloftd.server import CallerServer
from tests.support import fakes

GET = b"GET / HTTP/1.1\r\nHost: a\r\nOrioleloft-Service: ledger\r\n\r\n"
MAX_HEADER_BYTES = 2048
MAX_BODY_BYTES = 4096


def post(*headers, body=b"", line=b"POST / HTTP/1.1"):
    """Returns the bytes of a request with a service."""
    lines = (line, b"Host: a", b"Orioleloft-Service: ledger", *headers)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class ServerCase(testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.submitted = []
        self.left = []
        self.reply = Reply(200, Outcome.COMPLETE, headers=(("X-A", "1"),), body=b"hi")
        self.settings = fakes.settings(
            max_header_bytes=MAX_HEADER_BYTES, max_body_bytes=MAX_BODY_BYTES, read_timeout_ms=200
        )

    def start(self):
        """Starts a server; called on the loop."""
        self.server = CallerServer(self, self.settings)
        self.server.listen(0, "127.0.0.1")
        return self.server.port

    def now(self):
        return 100.0

    def next_request_id(self):
        return "r1"

    def submit(self, request, answer):
        self.submitted.append(request)
        if self.reply is not None:
            answer(self.reply)

    def caller_left(self, request_id):
        self.left.append(request_id)

    def addresses(self, zone):
        return [{"address": "127.0.0.1:80", "zone": zone, "key_prefix": "p."}]

    def status(self):
        return {"state": "serving"}


def head_and_body(answer):
    """Splits the bytes of an answer."""
    head, _, body = answer.partition(b"\r\n\r\n")
    return head.decode(), body


class RefusalTest(ServerCase):
    @params(
        (b"garbage\r\n\r\n", Code.MALFORMED_REQUEST),
        (b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", Code.MALFORMED_REQUEST),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", Code.MALFORMED_REQUEST),
        (b"GET / HTTP/1.1\r\n\r\n", Code.MALFORMED_REQUEST),
        (post(line=b"BREW / HTTP/1.1"), Code.MALFORMED_REQUEST),
        (post(line=b"CONNECT a:80 HTTP/1.1"), Code.MALFORMED_REQUEST),
        (post(line=b"GET http://a/ HTTP/1.1"), Code.MALFORMED_REQUEST),
        (post(b"Host: b"), Code.MALFORMED_REQUEST),
        (post(b"X : 1"), Code.MALFORMED_REQUEST),
        (post(b"X: 1\0"), Code.MALFORMED_REQUEST),
        (
            post(b"Content-Length: 5", b"Transfer-Encoding: chunked", body=b"0\r\n\r\n"),
            Code.MALFORMED_REQUEST,
        ),
        (post(b"Content-Length: 1", b"Content-Length: 1", body=b"x"), Code.MALFORMED_REQUEST),
        (post(b"Content-Length: 1", b"Content-Length: 2", body=b"x"), Code.MALFORMED_REQUEST),
        (post(b"Content-Length: 1, 1", body=b"x"), Code.MALFORMED_REQUEST),
        (post(b"Content-Length: +1", body=b"x"), Code.MALFORMED_REQUEST),
        (post(b"Content-Length: -1"), Code.MALFORMED_REQUEST),
        (post(b"Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"), Code.MALFORMED_REQUEST),
        (post(b"Transfer-Encoding: chunked", body=b"x\r\n\r\n"), Code.MALFORMED_REQUEST),
        (
            post(b"Transfer-Encoding: chunked", body=b"0\r\n\r\n", line=b"POST / HTTP/1.0"),
            Code.MALFORMED_REQUEST,
        ),
        (post(b"Content-Length: 5000", body=b"x" * 5000), Code.REQUEST_TOO_LARGE),
        (post(b"Content-Length: 9999999"), Code.REQUEST_TOO_LARGE),
        (
            post(b"Transfer-Encoding: chunked", body=b"1388\r\n" + b"x" * 5000),
            Code.REQUEST_TOO_LARGE,
        ),
        (post(b"X: " + b"x" * 9000), Code.REQUEST_TOO_LARGE),
        (b"x" * 9000, Code.REQUEST_TOO_LARGE),
        (b"GET / HTT", Code.MALFORMED_REQUEST),
        (post(b"Content-Length: 9", body=b"slow"), Code.MALFORMED_REQUEST),
    )
    @fakes.async_test
    async def test_refuses_and_closes(self, data, code):
        """Guards against smuggled, oversized and slow requests, and a refusal without a code."""
        answer = await fakes.exchange(self.start(), data)
        head, body = head_and_body(answer)
        self.assertIn("Connection: close", head)
        self.assertIn(f"Orioleloft-Code: {code.value}", head)
        self.assertIn("Orioleloft-Outcome: not-run", head)
        self.assertEqual(json.loads(body)["code"], code.value)
        self.assertEqual(self.submitted, [])

    @params(
        (b"", "missing"),
        (b"Orioleloft-Service: " + b"x" * 300 + b"\r\n", "at most"),
        (b"Orioleloft-Service: a\r\nOrioleloft-Deadline-Ms: soon\r\n", "milliseconds"),
        (b"Orioleloft-Service: a\r\nOrioleloft-Deadline-Ms: 0\r\n", "milliseconds"),
        (b"Orioleloft-Service: a\r\nOrioleloft-Deadline-Ms: -5\r\n", "milliseconds"),
    )
    @fakes.async_test
    async def test_wrong_headers(self, headers, text):
        """Guards against a request that is passed on with a made-up service or deadline."""
        data = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers + b"\r\n"
        head, body = head_and_body(await fakes.exchange(self.start(), data))
        self.assertIn(" 400 ", head)
        self.assertIn(text, json.loads(body)["message"])
        self.assertEqual(self.submitted, [])


class RequestTest(ServerCase):
    @fakes.async_test
    async def test_passes_on_what_is_meant_for_the_target(self):
        """Guards against hop-by-hop or forged headers that reach a target."""
        headers = (
            b"Orioleloft-Customer: parish",
            b"Orioleloft-Key: k1",
            b"Orioleloft-Deadline-Ms: 99999999",
            b"Connection: close, X-Hop",
            b"X-Hop: 1",
            b"TE: trailers",
            b"Load-Report: incarnation=a",
            b"Deadline-Ms: 1",
            b"X-End: 2",
            b"Content-Length: 3",
        )
        await fakes.exchange(self.start(), post(*headers, body=b"pay"))
        made = self.submitted[0]
        self.assertEqual((made.service, made.customer, made.key), ("ledger", "parish", "k1"))
        self.assertEqual((made.method, made.body, made.deadline), ("POST", b"pay", 130.0))
        self.assertEqual(made.headers, (("X-End", "2"),))

    @params(
        (Reply(200, Outcome.COMPLETE, body=b"hi"), b"GET", b"hi"),
        (Reply(200, Outcome.COMPLETE, headers=(("Content-Length", "9"),)), b"HEAD", b""),
        (Reply(304, Outcome.COMPLETE, headers=(("Content-Length", "9"),)), b"GET", b""),
        (Reply(204, Outcome.COMPLETE), b"DELETE", b""),
    )
    @fakes.async_test
    async def test_answers_keep_the_connection(self, reply, method, body):
        """Guards against an answer with a wrong end, which breaks the next one."""
        self.reply = reply
        first = post(line=method + b" / HTTP/1.1")
        last = post(b"Connection: close", line=b"GET /last HTTP/1.1")
        answer = await fakes.exchange(self.start(), first + last)
        parts = answer.split(b"HTTP/1.1 ")
        self.assertEqual(len(parts), 3)
        self.assertEqual(head_and_body(parts[1])[1], body)
        self.assertIn("Orioleloft-Outcome: complete", head_and_body(parts[1])[0])
        self.assertEqual([made.path for made in self.submitted], ["/", "/last"])

    @params(*Code)
    @fakes.async_test
    async def test_errors_state_code_outcome_and_remedy(self, code):
        """Guards against an error that leaves open whether the request ran."""
        self.reply = error_reply(code, "text")
        head, body = head_and_body(await fakes.exchange(self.start(), post(b"Connection: close")))
        self.assertIn(f" {self.reply.status} ", head)
        document = json.loads(body)
        self.assertEqual(document["outcome"], self.reply.outcome.value)
        self.assertTrue(document["remedy"])
        self.assertIn("Orioleloft-Request-Id: r1", head)

    @fakes.async_test
    async def test_caller_leaves(self):
        """Guards against work that goes on for a caller that is gone."""
        self.reply = None
        _, writer = await asyncio.open_connection("127.0.0.1", self.start())
        writer.write(GET)
        await fakes.until(lambda: self.submitted)
        self.assertEqual(self.left, [])
        writer.close()
        await fakes.until(lambda: self.left)
        self.assertEqual(self.left, ["r1"])

    @fakes.async_test
    async def test_finish_writes_answers_out(self):
        """Guards against a stop that cuts off an answer that a slow caller still reads."""
        self.reply = Reply(200, Outcome.COMPLETE, body=b"x" * 20_000_000)
        port = self.start()
        caller = socket.create_connection(("127.0.0.1", port))
        caller.setblocking(False)
        caller.send(GET)
        await fakes.until(lambda: self.submitted)
        finish = asyncio.create_task(self.server.finish(fakes.ASYNC_TEST_SECONDS))
        reader, writer = await asyncio.open_connection(sock=caller)
        answer = await reader.read()
        await finish
        writer.close()
        self.assertEqual(len(head_and_body(answer)[1]), 20_000_000)


class OwnPathTest(ServerCase):
    @params(
        (
            b"/_orioleloft/addresses?zone=gt-b",
            {
                "keep_ms": 5000,
                "addresses": [{"address": "127.0.0.1:80", "zone": "gt-b", "key_prefix": "p."}],
            },
        ),
        (b"/_orioleloft/status", {"state": "serving"}),
    )
    @fakes.async_test
    async def test_documents(self, path, document):
        """Guards against an address answer without lifetime or key prefixes."""
        data = b"GET " + path + b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        head, body = head_and_body(await fakes.exchange(self.start(), data))
        self.assertEqual(json.loads(body), document)
        self.assertIn("application/json", head)

    @fakes.async_test
    async def test_own_paths_never_reach_targets(self):
        """Guards against a request for the node that is run by a target."""
        data = post(b"Connection: close", line=b"POST /_orioleloft/x HTTP/1.1")
        head, _ = head_and_body(await fakes.exchange(self.start(), data))
        self.assertIn(" 400 ", head)
        self.assertEqual(self.submitted, [])


if __name__ == "__main__":
    unittest.main()
