"""Helpers for tests that use the event loop and loopback sockets."""

import asyncio
import functools
import socket
import struct
from collections.abc import Awaitable, Callable

# Bounds a test that hangs; no assertion depends on it. Seconds.
HANG_S = 30.0


def async_test(method: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Runs an async test method on a loop of its own."""

    @functools.wraps(method)
    def run(self, *args: object) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(HANG_S):
                await method(self, *args)

        asyncio.run(bounded())

    return run


async def exchange(port: int, data: bytes, host: str = "127.0.0.1") -> bytes:
    """Sends bytes on a new connection and returns all that comes until it is closed."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


class RawServer:
    """Answers each request on a connection with the next of the given bytes.

    Args:
        answers: bytes for each request of a connection; None closes the connection instead, and
            an empty value sends nothing.
        resets: whether connections are reset instead of closed.
    """

    def __init__(self, *answers: bytes | None, resets: bool = False) -> None:
        self._answers = answers
        self._resets = resets
        self.requests: list[bytes] = []
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Accepts connections; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            for answer in self._answers:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the loop; asyncio would report it as an error.
            return
        finally:
            if self._resets:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.close()

    def close(self) -> None:
        """Closes the port."""
        self._server.close()
