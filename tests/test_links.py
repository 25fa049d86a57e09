"""Tests of the connections between nodes."""

import socket
import unittest

import zmq
from nose2.tools import params
from tornado import testing

from orioleloft_core import messages
from orioleloft_core.errors import SettingsError
from orioleloft_core.settings import FleetSettings, NodeSettings, OutputSettings, Seat, Settings
from orioleloftd import links
from orioleloftd.metrics import Metrics
from tests.support import fakes

KEYS = tuple(key.decode() for key in zmq.curve_keypair())
FOREIGN_KEYS = tuple(key.decode() for key in zmq.curve_keypair())
NO_KEYS = ("", "")


def free_ports(count):
    """Returns ports on loopback that are free at the moment."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listening.getsockname()[1] for listening in sockets]
    for listening in sockets:
        listening.close()
    return ports


class LinksTest(testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.ports = free_ports(2)
        self.open = []
        self.received = []
        self.strangers = []

    def tearDown(self):
        for opened in self.open:
            opened.close()
        super().tearDown()

    def links(self, name, keys=NO_KEYS, incarnation="ab", starts=True):
        """Returns started links of a seat."""
        seats = tuple(
            Seat(f"entry-0{index}", "gt-a", f"127.0.0.1:{port}")
            for index, port in enumerate(self.ports, 1)
        )
        settings = Settings(NodeSettings(name, "gt-a"), FleetSettings(seats, *keys))
        counts = Metrics(OutputSettings())
        made = links.Links(
            settings, incarnation, lambda *pair: self.received.append((name, *pair)), counts
        )
        made.counts = counts
        if starts:
            made.start()
            self.open.append(made)
        return made

    def dealer(self, identity, *keys):
        """Returns a socket of a stranger that is connected to the first seat."""
        context = zmq.Context()
        dealer = context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.IDENTITY, identity)
        if keys:
            dealer.setsockopt(zmq.CURVE_SERVERKEY, KEYS[0].encode())
            dealer.setsockopt(zmq.CURVE_PUBLICKEY, keys[0].encode())
            dealer.setsockopt(zmq.CURVE_SECRETKEY, keys[1].encode())
        dealer.connect(f"tcp://127.0.0.1:{self.ports[0]}")
        self.strangers.append(dealer)
        self.addCleanup(context.destroy)
        return dealer

    @params(NO_KEYS, KEYS)
    @fakes.async_test
    async def test_both_ways(self, *keys):
        """Guards against messages that are lost or attributed to another seat."""
        first, second = self.links("entry-01", keys), self.links("entry-02", keys)
        await fakes.until(lambda: first.send("entry-02", messages.Queued("a1")))
        await fakes.until(lambda: second.send("entry-01", messages.Queued("a2")))
        await fakes.until(lambda: len(self.received) == 2)
        expected = {
            ("entry-02", "entry-01", messages.Queued("a1")),
            ("entry-01", "entry-02", messages.Queued("a2")),
        }
        self.assertEqual(set(self.received), expected)

    @fakes.async_test
    async def test_replaced_peer_is_heard(self):
        """Guards against a replacement VM that its predecessor's connection locks out."""
        self.links("entry-01")
        for incarnation in ("ab", "cd", "cd"):
            second = self.links("entry-02", incarnation=incarnation)
            count = len(self.received)
            await fakes.until(lambda second=second: second.send("entry-01", messages.Queued("a")))
            await fakes.until(lambda count=count: len(self.received) > count)
            self.open.remove(second)
            second.close()

    @fakes.async_test
    async def test_reconnected_peer_is_heard(self):
        """Guards against a peer that its own old connection, not yet closed, locks out."""
        self.links("entry-01")
        for count in (1, 2):
            self.dealer(b"entry-02 ab").send(messages.encode(messages.Queued("a")))
            await fakes.until(lambda count=count: len(self.received) == count)

    @params(
        ((b"entry-02 ab",), (b"nonsense",), "undecodable"),
        ((b"entry-02 ab",), (messages.encode(messages.Queued("a")), b"more"), "undecodable"),
        ((b"entry-99 ab",), (messages.encode(messages.Queued("a")),), "unknown-seat"),
        ((b"entry-01 ab",), (messages.encode(messages.Queued("a")),), "unknown-seat"),
        ((b"\xff\xfe",), (messages.encode(messages.Queued("a")),), "unknown-seat"),
    )
    @fakes.async_test
    async def test_foreign_frames_are_dropped(self, identity, frames, reason):
        """Guards against a stranger's bytes that stop the node or pass as a member's message."""
        first = self.links("entry-01")
        self.dealer(*identity).send_multipart(frames)
        await fakes.until(lambda: first.counts.total(f"messages.dropped.{reason}"))
        self.assertEqual(self.received, [])

    @fakes.async_test
    async def test_foreign_key_is_refused(self):
        """Guards against a stranger with a key of its own that talks to the fleet."""
        first = self.links("entry-01", KEYS)
        self.dealer(b"entry-02 ab", *FOREIGN_KEYS).send(messages.encode(messages.Queued("a")))
        await fakes.until(lambda: first.counts.total("messages.dropped.foreign-key"))
        second = self.links("entry-02", KEYS)
        await fakes.until(lambda: second.send("entry-01", messages.Queued("member")))
        await fakes.until(lambda: self.received)
        self.assertEqual(self.received[0][2], messages.Queued("member"))

    @fakes.async_test
    async def test_plain_connection_is_refused(self):
        """Guards against a port with keys that also takes connections without encryption."""
        self.links("entry-01", KEYS)
        self.dealer(b"entry-02 ab").send(messages.encode(messages.Queued("stranger")))
        second = self.links("entry-02", KEYS)
        await fakes.until(lambda: second.send("entry-01", messages.Queued("member")))
        await fakes.until(lambda: self.received)
        self.assertEqual([item[2] for item in self.received], [messages.Queued("member")])

    @fakes.async_test
    async def test_send_never_waits(self):
        """Guards against a peer that is gone or reads nothing, and stops this node."""
        first = self.links("entry-01")
        self.assertFalse(first.send("entry-02", messages.Queued("a")))
        self.assertFalse(first.send("entry-99", messages.Queued("a")))
        silent = zmq.Context()
        router = silent.socket(zmq.ROUTER)
        router.setsockopt(zmq.RCVHWM, 1)
        router.bind(f"tcp://127.0.0.1:{self.ports[1]}")
        self.addCleanup(silent.destroy, 0)
        big = messages.CatalogData(1, b"x" * 1_000_000)
        await fakes.until(lambda: first.send("entry-02", big))
        sent = [first.send("entry-02", big) for _ in range(links.QUEUE_MESSAGES + 200)]
        self.assertFalse(all(sent))

    def test_no_keys_off_loopback(self):
        """Guards against a port that any host can reach without a key."""
        settings = Settings(
            NodeSettings("entry-01", "gt-a"),
            FleetSettings((Seat("entry-01", "gt-a", "192.0.2.1:8200"),)),
        )
        with self.assertRaises(SettingsError):
            links.Links(settings, "ab", self.received.append, Metrics(OutputSettings()))


if __name__ == "__main__":
    unittest.main()
