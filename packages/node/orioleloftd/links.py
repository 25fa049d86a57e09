"""Messages between nodes: one ZeroMQ ROUTER that receives and one DEALER that sends to each peer.

A message can be lost. Sending never waits: a message to a peer without an open connection or with
a full queue is dropped and counted.
"""

import ipaddress
import logging
from collections.abc import Callable

import zmq
import zmq.auth.asyncio
from zmq.eventloop import zmqstream

from orioleloft_core import messages
from orioleloft_core.errors import MessageError, SettingsError
from orioleloft_core.settings import Seat, Settings
from orioleloftd import metrics
from orioleloftd.logs import log_event

QUEUE_MESSAGES = 1000
ZAP_DOMAIN = "fleet"
# ZeroMQ's own heartbeat closes connections to peers that vanished without closing them.
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
HANDSHAKE_MS = 2000

_log = logging.getLogger(__name__)


class Links:
    """Connections to the other seats.

    Args:
        settings: seats, keys and the own name.
        incarnation: incarnation of the node.
        on_message: called with the sender's seat and each message that decodes.
        counts: where sent, received and dropped messages are counted.

    Raises:
        SettingsError: the own address is not on loopback and there are no keys.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        on_message: Callable[[str, messages.Message], None],
        counts: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._on_message = on_message
        self._counts = counts
        self._seats = {seat.name: seat for seat in settings.fleet.seats}
        self._identity = f"{settings.node.name} {incarnation}".encode()
        self._context = zmq.Context()
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self._router: zmqstream.ZMQStream | None = None
        self._dealers: dict[str, zmq.Socket] = {}
        check_keys(settings)

    def start(self) -> None:
        """Binds the own address and connects to all other seats."""
        if self._settings.fleet.public_key:
            # Without a running authenticator ZeroMQ accepts every CURVE key.
            self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
            self._authenticator.start()
            allowed = _FleetKey(self._settings.fleet.public_key.encode(), self._counts)
            self._authenticator.configure_curve_callback(ZAP_DOMAIN, allowed)
        own = self._settings.node.name
        self._bind(self._seats[own])
        for name, seat in self._seats.items():
            if name != own:
                self._dealers[name] = self._connect(seat)

    def send(self, seat: str, message: messages.Message) -> bool:
        """Queues a message; returns False if it was dropped."""
        dealer = self._dealers.get(seat)
        if dealer is None:
            self._drop("unknown-seat")
            return False
        try:
            dealer.send(messages.encode(message), zmq.NOBLOCK)
        except zmq.Again:
            self._drop("not-sent")
            return False
        self._counts.count(metrics.MESSAGES_SENT)
        return True

    def close(self) -> None:
        """Closes all connections; messages that are queued are dropped."""
        for dealer in self._dealers.values():
            dealer.close()
        self._dealers.clear()
        if self._router is not None:
            self._router.close()
            self._router = None
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None
        self._context.term()

    def _bind(self, seat: Seat) -> None:
        socket = self._socket(zmq.ROUTER)
        # A peer that reconnects keeps its identity, also when the old connection is not closed yet.
        socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        if self._settings.fleet.public_key:
            socket.setsockopt(zmq.CURVE_SERVER, 1)
            socket.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN.encode())
        socket.bind(f"tcp://{seat.peer_address}")
        self._router = zmqstream.ZMQStream(socket)
        self._router.on_recv(self._received)

    def _connect(self, seat: Seat) -> zmq.Socket:
        socket = self._socket(zmq.DEALER)
        socket.setsockopt(zmq.IDENTITY, self._identity)
        # Only open connections get a queue, so that a peer that returns receives nothing old.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        if self._settings.fleet.public_key:
            socket.setsockopt(zmq.CURVE_SERVERKEY, self._settings.fleet.public_key.encode())
        socket.connect(f"tcp://{seat.peer_address}")
        return socket

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, messages.MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        if self._settings.fleet.public_key:
            socket.setsockopt(zmq.CURVE_PUBLICKEY, self._settings.fleet.public_key.encode())
            socket.setsockopt(zmq.CURVE_SECRETKEY, self._settings.fleet.secret_key.encode())
        return socket

    def _received(self, frames: list[bytes]) -> None:
        seat = frames[0].partition(b" ")[0].decode("latin1")
        if seat not in self._seats or seat == self._settings.node.name:
            self._drop("unknown-seat")
            return
        try:
            if len(frames) != 2:
                raise MessageError(f"{len(frames)} frames instead of 2.")
            message = messages.decode(frames[1])
        except MessageError as error:
            self._drop("undecodable")
            _log.debug("message from %s dropped: %s", seat, error)
            return
        self._counts.count(metrics.MESSAGES_RECEIVED)
        self._on_message(seat, message)

    def _drop(self, reason: str) -> None:
        self._counts.count(metrics.MESSAGES_DROPPED, reason)


class _FleetKey:
    """Accepts connections with the fleet's public key only."""

    def __init__(self, public_key: bytes, counts: metrics.Metrics) -> None:
        self._public_key = public_key
        self._counts = counts

    def callback(self, domain: str, key: bytes) -> bool:
        """Tells whether a client key is accepted; called for each handshake."""
        if key == self._public_key:
            return True
        self._counts.count(metrics.MESSAGES_DROPPED, "foreign-key")
        log_event(_log, "peer-refused", key=key.decode("latin1"))
        return False


def check_keys(settings: Settings) -> None:
    """Checks that the keys belong together, and that a port without keys is on loopback.

    Raises:
        SettingsError: one of both does not hold.
    """
    fleet = settings.fleet
    if not fleet.public_key:
        own = next(seat for seat in fleet.seats if seat.name == settings.node.name)
        if not is_loopback(own.peer_address):
            raise SettingsError(
                f"{own.peer_address} is not a loopback address and the fleet has no keys.",
                "Set public_key and secret_key in [fleet].",
            )
    elif zmq.curve_public(fleet.secret_key.encode()) != fleet.public_key.encode():
        raise SettingsError(
            "[fleet] public_key: it does not belong to secret_key.",
            "Copy both keys from the same run of the command in docs/operators.md.",
        )


def is_loopback(address: str) -> bool:
    """Tells whether the host of `host:port` is a loopback IP number."""
    host = address.rpartition(":")[0].strip("[]")
    return ipaddress.ip_address(host).is_loopback
