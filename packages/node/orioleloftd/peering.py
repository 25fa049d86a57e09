"""Transports between nodes: UDP datagrams, and HTTP for transfers of the shared state.

UDP needs no connection that can stall silently; the next ping compensates for a lost datagram.
ZeroMQ would add a connection and a socket for each pair of nodes.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import logging
from collections.abc import Callable
from typing import Any

from orioleloft_core import messages, packing
from orioleloft_core.crashes import CrashRecord
from orioleloft_core.messages import Datagram, NodeState, OutgoingDatagram, StateVersions
from orioleloft_core.registry import StateVersion
from orioleloft_core.updates import StateUpdate
from orioleloftd import codec
from orioleloftd.connections import (
    CONTROL_RESPONSE_LIMITS,
    ExchangeError,
    HttpClient,
    HttpResponse,
)
from orioleloftd.controlserver import ControlResponse
from orioleloftd.logs import log_event

STATE_PATH = "/state"
CRASHES_PATH = "/crashes"
CONTENT_TYPE = "application/octet-stream"
# Maximum size of a datagram, in bytes. Larger ones are fragmented, and losing one fragment loses
# the whole datagram.
MAX_DATAGRAM_BYTES = 1400
# Maximum decompressed size of a datagram, in bytes.
MAX_DECOMPRESSED_BYTES = 64 * 1024
# Number of encoded transfers that are cached: nodes that miss the same change request it at the
# same time.
MAX_CACHED_TRANSFERS = 8
# Timeout for fetching the shared state from a node, in seconds; a table of 1 MB takes 50 ms.
FETCH_TIMEOUT_S = 0.8

_log = logging.getLogger(__name__)


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one UDP port.

    Args:
        port: UDP port that all nodes use.
        receive: called with each decoded datagram.
    """

    def __init__(self, port: int, receive: Callable[[Datagram], None]) -> None:
        self._port = port
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str) -> None:
        """Binds the port on the given local IP address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, self._port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport; called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Decodes a datagram and hands it to `receive`; malformed ones are logged and dropped."""
        try:
            datagram = messages.unpack(codec.decode(data, MAX_DECOMPRESSED_BYTES))
        except (ValueError, TypeError) as error:
            log_event(_log, "datagram unreadable", sender=address[0], reason=str(error))
            return
        self._receive(datagram)

    def error_received(self, error: OSError) -> None:
        """Logs a network error and ignores it; failure detection relies on pings alone."""
        log_event(_log, "datagram not sent", logging.DEBUG, reason=str(error))

    def send(self, outgoing: list[OutgoingDatagram]) -> bool:
        """Sends datagrams; a message that goes to several nodes is encoded once.

        Returns:
            False if any message exceeds the datagram size or cannot be encoded; such messages are
            not sent.
        """
        encoded: dict[int, bytes | None] = {}
        for message in outgoing:
            key = id(message.datagram)
            if key not in encoded:
                encoded[key] = _encode_datagram(message.datagram)
            if encoded[key] is not None:
                self._transport.sendto(encoded[key], (message.host, self._port))
        return None not in encoded.values()

    def close(self) -> None:
        """Closes the socket, if it is open."""
        if self._transport is not None:
            self._transport.close()


def _encode_datagram(datagram: Datagram) -> bytes | None:
    """Encodes a datagram; returns None if it is too large or cannot be encoded, which is logged."""
    try:
        data = codec.encode(messages.pack(datagram))
    except (ValueError, TypeError, OverflowError):
        _log.exception("datagram not encoded")
        return None
    return data if len(data) <= MAX_DATAGRAM_BYTES else None


class StateExchange:
    """Server and client side of shared-state transfers between nodes.

    Args:
        client: HTTP client for requests to other nodes.
        port: TCP port that all nodes use.
    """

    def __init__(self, client: HttpClient, port: int) -> None:
        self._client = client
        self._port = port
        self._encoded: collections.OrderedDict[tuple[StateVersions, StateVersions], bytes]
        self._encoded = collections.OrderedDict()

    def answer(
        self,
        query: dict[str, str],
        own_versions: StateVersions,
        update_since: Callable[[StateVersions], StateUpdate],
        nodes: tuple[NodeState, ...],
    ) -> ControlResponse:
        """Answers a request for the shared state with what is newer than the given versions.

        Args:
            query: query parameters; `known` has the requester's versions, `nodes` asks for members.
            own_versions: versions that this node holds.
            update_since: returns the update from the given versions to those held.
            nodes: states of this node and of the members that it considers alive.
        """
        try:
            known = _decode_versions(query.get("known", ""))
        except (ValueError, RecursionError) as error:
            return 400, "text/plain", f"unreadable versions: {error}".encode()
        if "nodes" in query:
            return 200, CONTENT_TYPE, _encode_transfer(StateTransfer(update_since(known), nodes))
        key = known, own_versions
        if key not in self._encoded:
            self._encoded[key] = _encode_transfer(StateTransfer(update_since(known), ()))
            while len(self._encoded) > MAX_CACHED_TRANSFERS:
                self._encoded.popitem(last=False)
        return 200, CONTENT_TYPE, self._encoded[key]

    async def fetch(
        self, host: str, known: StateVersions, includes_members: bool
    ) -> "FetchedState":
        """Requests from another node everything newer than this node's versions.

        Args:
            host: IP address of the node.
            known: versions that this node holds.
            includes_members: whether the answer should include the node's member list.

        Raises:
            ExchangeError: the request failed or its answer could not be decoded.
        """
        path = (
            f"{STATE_PATH}?known={_encode_versions(known)}{'&nodes=1' if includes_members else ''}"
        )
        answer = await self._client.call(host, self._port, "GET", path, timeout=FETCH_TIMEOUT_S)
        return FetchedState(_decode_transfer(StateTransfer, host, answer), len(answer.body))

    def answer_crashes(self, records: tuple[CrashRecord, ...]) -> ControlResponse:
        """Answers a request for the evidence on requests that crash targets."""
        return 200, CONTENT_TYPE, codec.encode(packing.to_plain(CrashTransfer(records)))

    async def fetch_crashes(self, host: str) -> tuple[CrashRecord, ...]:
        """Requests from another node its evidence on requests that crash targets.

        Args:
            host: IP address of the node.

        Raises:
            ExchangeError: the request failed or its answer could not be decoded.
        """
        answer = await self._client.call(
            host, self._port, "GET", CRASHES_PATH, timeout=FETCH_TIMEOUT_S
        )
        if answer.status == 404:
            # A node of an earlier build.
            return ()
        return _decode_transfer(CrashTransfer, host, answer).records


@dataclasses.dataclass(frozen=True)
class StateTransfer:
    """Answer to a request for the shared state.

    Attributes:
        update: parts or deltas that the requester does not have.
        nodes: states of the members that the sender considers alive, for a node that has just
            started; otherwise empty.
    """

    update: StateUpdate
    nodes: tuple[NodeState, ...]


@dataclasses.dataclass(frozen=True)
class FetchedState:
    """A transfer that was fetched.

    Attributes:
        transfer: the transfer.
        size: its size as it was sent, in bytes.
    """

    transfer: StateTransfer
    size: int

    @property
    def exceeds_datagram(self) -> bool:
        """Whether no datagram could have carried it."""
        return self.size > MAX_DATAGRAM_BYTES


@dataclasses.dataclass(frozen=True)
class CrashTransfer:
    """Answer to a request for the evidence on requests that crash targets."""

    records: tuple[CrashRecord, ...]


def _decode_transfer(cls: type, host: str, answer: HttpResponse) -> Any:
    """Decodes an answer with an instance of `cls`.

    Raises:
        ExchangeError: the answer has another status or cannot be decoded.
    """
    if answer.status != 200:
        raise ExchangeError(f"{host} answered {answer.status}", was_request_sent=True)
    try:
        return packing.from_plain(cls, codec.decode(answer.body, CONTROL_RESPONSE_LIMITS.body))
    except (ValueError, TypeError) as error:
        raise ExchangeError(f"{host} sent no readable state: {error}", True) from error


def _encode_transfer(transfer: StateTransfer) -> bytes:
    return codec.encode(packing.to_plain(transfer))


def _encode_versions(known: StateVersions) -> str:
    text = json.dumps(packing.to_plain(known))
    return base64.urlsafe_b64encode(text.encode()).decode()


def _decode_versions(text: str) -> StateVersions:
    if not text:
        return StateVersions(0, StateVersion(), StateVersion())
    return packing.from_plain(StateVersions, json.loads(base64.urlsafe_b64decode(text)))
