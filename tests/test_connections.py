"""Tests of exchanges on one connection: responses that are late, truncated, early or stale."""

import asyncio
import unittest

from nose2.tools import params
from tornado import httputil

from orioleloft_core.memory import MemoryAccount
from orioleloftd.connections import ConnectionPool, ExchangeError, HttpClient, connect
from tests.support.loop import ScriptedServer, async_test


def memory():
    return MemoryAccount(1_000_000)


def response(request_id, body=b"hi", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
    return head % (request_id, len(body), extra) + body


# The refusal of an earlier request.
REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Id: old\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


async def exchange(port, body=b""):
    connection = await connect("127.0.0.1", port, 0.0, 1.0, memory())
    headers = httputil.HTTPHeaders({"Host": "a", "Content-Length": str(len(body))})
    result = await connection.exchange(
        "POST", "/", headers, body, lambda status, headers: headers.get("X-Id") == "me"
    )
    return connection, result


class ConnectionTest(unittest.TestCase):
    @params(
        (response(b"me"), b"hi", True),
        (response(b"old", b"late") + response(b"me"), b"hi", True),
        (response(b"old") + response(b"older") + response(b"me"), b"hi", True),
        (response(b"me") + response(b"me", b"twice"), b"hi", False),
        (response(b"me") + b"junk", b"hi", False),
        (response(b"me", extra=b"Connection: close\r\n"), b"hi", False),
        (
            b"HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\n\r\n",
            b"hi",
            True,
        ),
    )
    @async_test
    async def test_own_answer(self, sent, body, is_usable):
        """Guards against stale responses, and against reuse of a connection in uncertain state."""
        server = ScriptedServer(sent)
        connection, result = await exchange(await server.listen())
        self.assertEqual((result.status, result.body), (200, body))
        self.assertEqual(connection.is_usable, is_usable)
        connection.close()
        server.close()

    @params(
        (None,),
        (b"HTTP/1.1 200 OK\r\nX-Id: me\r\nContent-Length: 9\r\n\r\nhi", None),
        (b"HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi", None),
        (b"\x00\x01 what\r\n\r\n", None),
        (response(b"old") * 3, None),
        (response(b"old"), None),
    )
    @async_test
    async def test_incomplete_response(self, *responses):
        """Guards against a truncated response that passes as complete, and an endless wait."""
        server = ScriptedServer(*responses)
        port = await server.listen()
        with self.assertRaises(ExchangeError) as raised:
            connection = await connect("127.0.0.1", port, 0.0, 1.0, memory())
            headers = httputil.HTTPHeaders({"Host": "a"})
            task = connection.exchange(
                "GET", "/", headers, b"", lambda status, headers: headers.get("X-Id") == "me"
            )
            if len(responses) == 2:
                # The second request makes the server close the connection.
                connection._stream.write(b"GET / HTTP/1.1\r\n\r\n")
            await task
        self.assertTrue(raised.exception.was_request_sent)
        self.assertFalse(connection.is_usable)
        server.close()

    @params(
        b"HTTP/1.1 200 OK\r\nX-Id: me\r\nX-Signature: s\r\nContent-Length: 12\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\nX-Signature: s\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: me\r\nConnection: close\r\nX-Signature: s\r\n\r\n",
    )
    @async_test
    async def test_answer_that_ends_within_its_head(self, head):
        """Guards against a success with a short body where a target closes within the head."""
        for length in range(len(head)):
            server = ScriptedServer(head[:length], None)
            port = await server.listen()
            connection = await connect("127.0.0.1", port, 0.0, 1.0, memory())
            task = asyncio.get_running_loop().create_task(
                connection.exchange(
                    "POST",
                    "/",
                    httputil.HTTPHeaders({"Host": "a", "Content-Length": "0"}),
                    b"",
                    lambda *_: True,
                )
            )
            while not server.requests:
                await asyncio.sleep(0)
            # At the second request the server ends the connection.
            connection._stream.write(b"GET / HTTP/1.1\r\n\r\n")
            with self.assertRaises(ExchangeError) as raised:
                await task
            self.assertTrue(raised.exception.was_request_sent)
            server.close()

    @params(
        (REFUSAL + response(b"me"), (200, b"hi"), True),
        (REFUSAL * 2 + response(b"me"), (200, b"hi"), True),
        (response(b"me") + REFUSAL, (200, b"hi"), False),
        (REFUSAL * 3 + response(b"me"), None, False),
    )
    @async_test
    async def test_refusal_that_is_written_again(self, sent, answer, is_usable):
        """Guards against "not run" for a request that runs, by the refusal of an earlier one."""
        server = ScriptedServer(REFUSAL, sent)
        port = await server.listen()
        connection = await connect("127.0.0.1", port, 0.0, 1.0, memory())
        headers = httputil.HTTPHeaders({"Host": "a", "Content-Length": "0"})
        first = await connection.exchange(
            "POST", "/", headers, b"", lambda _, headers: headers.get("X-Id") == "old"
        )
        self.assertEqual(first.status, 503)
        task = connection.exchange(
            "POST", "/", headers, b"", lambda _, headers: headers.get("X-Id") == "me"
        )
        if answer is None:
            with self.assertRaises(ExchangeError) as raised:
                await task
            self.assertTrue(raised.exception.was_request_sent)
        else:
            second = await task
            self.assertEqual((second.status, second.body), answer)
        self.assertEqual(connection.is_usable, is_usable)
        connection.close()
        server.close()

    @params(("closed", None), ("late answer", response(b"old")))
    @async_test
    async def test_connection_that_ended_while_idle(self, name, sent):
        """Guards against an uncertain outcome of a payment of which no byte was sent."""
        server = ScriptedServer(sent)
        port = await server.listen()
        connection = await connect("127.0.0.1", port, 0.0, 1.0, memory())
        connection._stream.write(b"GET / HTTP/1.1\r\n\r\n")
        while connection.is_usable:
            await asyncio.sleep(0.005)
        with self.assertRaises(ExchangeError) as raised:
            await connection.exchange("POST", "/", httputil.HTTPHeaders(), b"", lambda *_: True)
        self.assertFalse(raised.exception.was_request_sent)
        server.close()

    @params((False, True), (True, False))
    @async_test
    async def test_answer_that_ends_with_its_connection(self, resets, is_whole):
        """Guards against a reset that passes as the end of a response without a length."""
        head = b"HTTP/1.1 200 OK\r\nX-Id: me\r\nConnection: close\r\n\r\n"
        server = ScriptedServer(head + b"whole", None, resets=resets)
        connection = await connect("127.0.0.1", await server.listen(), 0.0, 1.0, memory())
        task = asyncio.get_running_loop().create_task(
            connection.exchange(
                "GET", "/", httputil.HTTPHeaders({"Host": "a"}), b"", lambda *_: True
            )
        )
        while not connection._stream.reading() or not server.requests:
            await asyncio.sleep(0.01)
        # At the second request the server ends the connection.
        connection._stream.write(b"GET / HTTP/1.1\r\n\r\n")
        if is_whole:
            self.assertEqual((await task).body, b"whole")
        else:
            with self.assertRaises(ExchangeError):
                await task
        self.assertFalse(connection.is_usable)
        server.close()

    @async_test
    async def test_refused_connection_was_not_sent(self):
        """Guards against `was_request_sent` where a connection was never established."""
        server = ScriptedServer()
        port = await server.listen()
        server.close()
        with self.assertRaises(ExchangeError) as raised:
            await connect("127.0.0.1", port, 0.0, 1.0, memory())
        self.assertFalse(raised.exception.was_request_sent)

    @params((0.0, 1), (3.9, 1), (4.1, 2))
    @async_test
    async def test_idle_time(self, age, connections):
        """Guards against reuse of a connection that its target is about to close."""
        now = [0.0]
        server = ScriptedServer(response(b"me"), response(b"me"))
        port = await server.listen()
        pool = ConnectionPool(lambda: now[0], lambda: None, memory())
        first = await pool.acquire("k", "127.0.0.1", port)
        first.set_idle_timeout(5.0)
        pool.release("k", first)
        now[0] = age
        second = await pool.acquire("k", "127.0.0.1", port)
        self.assertEqual(second is first, connections == 1)
        first.close()
        second.close()
        server.close()

    @async_test
    async def test_client_does_not_send_twice(self):
        """Guards against a write that is sent and executed again after its response was lost."""
        server = ScriptedServer(None)
        port = await server.listen()
        client = HttpClient(lambda: 0.0)
        with self.assertRaises(ExchangeError):
            await client.call("127.0.0.1", port, "POST", "/", body=b"x", timeout=5.0)
        self.assertEqual(len(server.requests), 1)
        server.close()
