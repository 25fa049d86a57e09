"""Traffic between nodes: datagrams for pings and signs, HTTP for the shared state.

A datagram needs no connection, so there is none that can fall silent; one that is lost is made
good by the next ping. ZeroMQ would add a connection and a socket for each pair of nodes.
"""

import asyncio
import base64
import dataclasses
import json
import logging
from collections.abc import Callable

import msgpack

from orioleloft_core import fleet, packing
from orioleloft_core.fleet import Datagram, Knowledge, Outgoing
from orioleloft_core.registry import ClosedZones, ContentVersion, TargetList
from orioleloft_core.routes import RouteTable
from orioleloftd.connections import ExchangeError, HttpClient
from orioleloftd.frontend import Document
from orioleloftd.logs import log_event

STATE_PATH = "/state"
# Time for a node to hand over the shared state, in seconds; a table of 1 MB takes 50 ms.
STATE_TIMEOUT_S = 0.8

_log = logging.getLogger(__name__)


class DatagramPort(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Args:
        port: UDP port of all nodes.
        receive: takes each datagram that can be read.
    """

    def __init__(self, port: int, receive: Callable[[Datagram], None]) -> None:
        self._port = port
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str) -> None:
        """Binds the port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, self._port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the transport; called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Reads a datagram; called by asyncio."""
        try:
            datagram = fleet.unpack(msgpack.unpackb(data))
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log_event(_log, "datagram unreadable", sender=address[0], reason=str(error))
            return
        self._receive(datagram)

    def error_received(self, error: OSError) -> None:
        """Takes an error of the network; pings show whether a node is reached."""
        log_event(_log, "datagram not sent", logging.DEBUG, reason=str(error))

    def send(self, outgoing: list[Outgoing]) -> None:
        """Sends datagrams; equal ones are packed once."""
        packed: dict[int, bytes] = {}
        for item in outgoing:
            key = id(item.datagram)
            if key not in packed:
                packed[key] = msgpack.packb(fleet.pack(item.datagram))
            self._transport.sendto(packed[key], (item.host, self._port))

    def close(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()


class StateExchange:
    """Hands the shared state to other nodes and fetches it from them.

    Args:
        client: makes the calls.
        port: TCP port of all nodes.
    """

    def __init__(self, client: HttpClient, port: int) -> None:
        self._client = client
        self._port = port

    def answer(
        self,
        query: dict[str, str],
        table: RouteTable | None,
        targets: TargetList,
        closed: ClosedZones,
        nodes: list[tuple[str, str, str]],
    ) -> Document:
        """Returns the parts of the state that are newer than those of the asking node."""
        try:
            known = _read_versions(query.get("known", ""))
        except ValueError as error:
            return 400, "text/plain", f"unreadable versions: {error}".encode()
        is_table_newer = table is not None and table.version > known.table
        document = [
            packing.to_plain(table) if is_table_newer else None,
            packing.to_plain(targets) if targets.version > known.targets else None,
            packing.to_plain(closed) if closed.version > known.closed_zones else None,
            [list(node) for node in nodes],
        ]
        return 200, "application/msgpack", msgpack.packb(document)

    async def fetch(self, host: str, known: Knowledge) -> "SharedState":
        """Gets what another node holds and this one does not.

        Raises:
            ExchangeError: the node gave no readable state.
        """
        path = f"{STATE_PATH}?known={_write_versions(known)}"
        answer = await self._client.call(host, self._port, "GET", path, timeout=STATE_TIMEOUT_S)
        if answer.status != 200:
            raise ExchangeError(f"{host} answered {answer.status}", was_sent=True)
        try:
            table, targets, closed, nodes = msgpack.unpackb(answer.body)
            return SharedState(
                None if table is None else packing.from_plain(RouteTable, table),
                None if targets is None else packing.from_plain(TargetList, targets),
                None if closed is None else packing.from_plain(ClosedZones, closed),
                [(str(name), str(address), str(zone)) for name, address, zone in nodes],
            )
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise ExchangeError(f"{host} sent no readable state: {error}", True) from error


@dataclasses.dataclass(frozen=True)
class SharedState:
    """Parts of the shared state that a node has handed over; None where it had nothing newer.

    Attributes:
        table: route table.
        targets: registered targets.
        closed_zones: availability zones that are out.
        nodes: name, address and zone of the nodes that it knows.
    """

    table: RouteTable | None
    targets: TargetList | None
    closed_zones: ClosedZones | None
    nodes: list[tuple[str, str, str]]


def _write_versions(known: Knowledge) -> str:
    text = json.dumps(packing.to_plain(known))
    return base64.urlsafe_b64encode(text.encode()).decode()


def _read_versions(text: str) -> Knowledge:
    if not text:
        return Knowledge(0, ContentVersion(), ContentVersion())
    return packing.from_plain(Knowledge, json.loads(base64.urlsafe_b64decode(text)))
