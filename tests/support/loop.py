"""Helpers for tests that use the event loop and loopback sockets."""

import asyncio
import functools
import socket
import struct
from collections.abc import Awaitable, Callable

# Timeout of a test that hangs, in seconds; no assertion depends on it.
TEST_TIMEOUT_S = 30.0


def async_test(method: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Makes an async test method run in a new event loop, limited to `TEST_TIMEOUT_S`."""

    @functools.wraps(method)
    def run(self, *args: object) -> None:
        async def run_with_timeout() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await method(self, *args)

        asyncio.run(run_with_timeout())

    return run


async def send_and_receive(port: int, data: bytes, host: str = "127.0.0.1") -> bytes:
    """Sends bytes on a new connection and returns all bytes received until it is closed.

    Returns nothing if the connection is reset.
    """
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


class ScriptedServer:
    """Server that answers the requests of each connection with a fixed sequence of bytes.

    Args:
        responses: response bytes in the order of requests; None closes the connection instead, and
            an empty value sends nothing.
        resets: whether connections are reset instead of closed.

    Attributes:
        requests: heads of all received requests.
        connections: number of accepted connections.
    """

    def __init__(self, *responses: bytes | None, resets: bool = False) -> None:
        self._responses = responses
        self._resets = resets
        self.requests: list[bytes] = []
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Starts to accept connections on a free port; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            for response in self._responses:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The end of the event loop cancels this task, which asyncio would report as an error.
            return
        finally:
            if self._resets:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.close()

    def close(self) -> None:
        """Stops to listen; open connections stay open."""
        self._server.close()
