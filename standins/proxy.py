"""TCP proxies on loopback that inject network faults into the connections they forward."""

import asyncio
import contextlib
import enum
import socket
import struct

# Delay of each chunk on a delayed link, in seconds; longer than the timeout of a probe.
DELAY_S = 0.15
CHUNK_BYTES = 65536


class LinkFault(enum.Enum):
    """Faults of a link.

    `DELAY` delays each chunk by `DELAY_S`. `RESET` resets the connections that are open, `REFUSE`
    also each new one. `BLACKHOLE` discards data in both directions on the connections that are
    open. `DROP_UPSTREAM` and `DROP_DOWNSTREAM` discard data in one direction on all connections.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    BLACKHOLE = "silent"
    DROP_UPSTREAM = "cut-there"
    DROP_DOWNSTREAM = "cut-back"


class LinkProxy:
    """Proxy in front of one server.

    Args:
        host: IP address of the proxy and of the server.
        port: port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._fault = LinkFault.NONE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._blackholed: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int) -> None:
        """Starts to accept connections on a port."""
        self._server = await asyncio.start_server(self._proxy_connection, self._host, port)

    def set_fault(self, fault: LinkFault) -> None:
        """Injects a fault in place of the current one, or with `NONE` clears it.

        Connections that are open when `BLACKHOLE` is set never recover, while new ones work.
        """
        self._fault = fault
        match fault:
            case LinkFault.RESET | LinkFault.REFUSE:
                for writer in list(self._writers):
                    _reset_connection(writer)
            case LinkFault.BLACKHOLE:
                self._blackholed |= self._writers

    async def _proxy_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.REFUSE:
            _reset_connection(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            _reset_connection(writer)
            return
        self._writers |= {writer, upstream_writer}
        upstream = self._forward(reader, upstream_writer, LinkFault.DROP_UPSTREAM)
        downstream = self._forward(upstream_reader, writer, LinkFault.DROP_DOWNSTREAM)
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(upstream, downstream)
        finally:
            for each in (writer, upstream_writer):
                self._writers.discard(each)
                self._blackholed.discard(each)
                each.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, drop_fault: LinkFault
    ) -> None:
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                is_dropped = writer in self._blackholed or self._fault is drop_fault
                if not chunk and not is_dropped and writer.can_write_eof():
                    writer.write_eof()
                if not chunk:
                    return
                if is_dropped:
                    continue
                if self._fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, OSError):
            _reset_connection(writer)

    async def close(self) -> None:
        """Stops to accept connections and resets those that are open."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset_connection(writer)


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
