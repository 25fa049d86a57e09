"""TCP proxies on loopback that delay, reset, silence or cut the connections through them."""

import asyncio
import contextlib
import enum
import socket
import struct

# Delay of each piece of data on a delayed link, in seconds; longer than a probe may take.
DELAY_S = 0.15
PIECE_BYTES = 65536


class LinkFault(enum.Enum):
    """What a link does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    SILENT = "silent"
    CUT_THERE = "cut-there"
    CUT_BACK = "cut-back"


class Link:
    """One proxied address.

    Args:
        host: IP address to listen on and to connect to.
        port: port to connect to.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._fault = LinkFault.NONE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int) -> None:
        """Accepts connections."""
        self._server = await asyncio.start_server(self._serve, self._host, port)

    def set_fault(self, fault: LinkFault) -> None:
        """Changes what happens to data from now on.

        Connections that are open at a silence stay silent for good, while new ones work.
        """
        self._fault = fault
        match fault:
            case LinkFault.RESET | LinkFault.REFUSE:
                for writer in list(self._writers):
                    _reset(writer)
            case LinkFault.SILENT:
                self._silenced |= self._writers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._fault is LinkFault.REFUSE:
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, far_writer}
        there = self._copy(reader, far_writer, LinkFault.CUT_THERE)
        back = self._copy(far_reader, writer, LinkFault.CUT_BACK)
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(there, back)
        finally:
            for each in (writer, far_writer):
                self._writers.discard(each)
                self._silenced.discard(each)
                each.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: LinkFault
    ) -> None:
        try:
            while True:
                piece = await reader.read(PIECE_BYTES)
                is_lost = writer in self._silenced or self._fault is cut
                if not piece and not is_lost and writer.can_write_eof():
                    writer.write_eof()
                if not piece:
                    return
                if is_lost:
                    continue
                if self._fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(piece)
                await writer.drain()
        except (ConnectionError, OSError):
            _reset(writer)

    async def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
