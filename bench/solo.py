"""One real node among seats that only answer heartbeats, to measure the node by itself."""

import collections
import itertools
import random
import time
from collections.abc import Iterable, Sequence

from bench.fleet import Shape, catalog_of
from orioleloft_core import effects, events
from orioleloft_core.catalog import Catalog, Service
from orioleloft_core.effects import Effect
from orioleloft_core.messages import Message, NodeFacts, Ping, Pong, decode, encode
from orioleloft_core.node import TICK_SECONDS, Node
from orioleloft_core.request import LoadReport, Warmth
from orioleloft_core.settings import FleetSettings, NodeSettings, Seat, Settings

ZONES = ("a-1", "a-2", "a-3", "b-1", "b-2", "b-3")
# Sizes of targets and of the services that they belong to; the last is that of section 1.4.
TARGET_SIZES = ((36, 3), (600, 21), (2400, 84), (6600, 230))
OWN = "entry-000"
WARM = LoadReport("i0", 0, Warmth.WARM)


def shape_of(targets: int, services: int) -> Shape:
    """Returns a deployment with targets dealt evenly to services."""
    counts = tuple(targets // services + (index < targets % services) for index in range(services))
    named = tuple(Service(f"service-{index:03d}", 6, overlap=4) for index in range(services))
    return Shape("capacity", ZONES, named, counts)


class Solo:
    """Drives one node; the other seats are serving peers without decisions of their own.

    Args:
        seats: number of configured seats.
        catalog: catalog that the platform holds.
        held_by: indices of the seats that hold the groups in turn; all seats if empty.
        has_codec: whether each message is encoded and decoded, for its size and time.
    """

    def __init__(
        self, seats: int, catalog: Catalog, held_by: Sequence[int] = (), has_codec: bool = True
    ) -> None:
        names = [f"entry-{index:03d}" for index in range(seats)]
        configured = tuple(
            Seat(name, ZONES[index % len(ZONES)], f"127.0.0.1:{30000 + index}")
            for index, name in enumerate(names)
        )
        settings = Settings(NodeSettings(OWN, ZONES[0]), FleetSettings(configured))
        self.now = 0.0
        self.catalog = catalog
        self.node = Node(settings, f"{0:016x}", 1, random.Random(1))
        self.core_seconds = 0.0
        self.codec_seconds = 0.0
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes = 0
        self.messages = 0
        self.probes = 0
        self._has_codec = has_codec
        self._peers = configured[1:]
        self._sent_at: dict[int, float] = {}
        self._seq = 0
        in_turn = itertools.cycle(held_by or range(seats))
        self.holders = tuple(
            (group, names[index], f"{index:016x}")
            for group, index in zip(sorted(catalog.groups), in_turn, strict=False)
        )
        self._watch_until = 0.0

    def run(self, seconds: float) -> None:
        """Lets simulated time pass; each peer sends one ping a second."""
        ticks = round(seconds / TICK_SECONDS)
        for _ in range(ticks):
            self.now += TICK_SECONDS
            self._seq += 1
            self.feed(events.Tick())
            self._ping()
            if self._watch_until and self.now >= self._watch_until:
                self._watch_until = 0.0
                self.feed(events.HeadRead(None, True, self.now - 2.0))

    def reset(self) -> None:
        """Sets the measured sums to zero."""
        self.core_seconds = self.codec_seconds = 0.0
        self.sent_bytes.clear()
        self.received_bytes = self.messages = self.probes = 0

    def receive(self, seat: str, message: Message) -> list[Effect]:
        """Delivers a message of a peer."""
        if self._has_codec:
            data = encode(message)
            self.received_bytes += len(data)
            begin = time.process_time()
            message = decode(data)
            self.codec_seconds += time.process_time() - begin
        self.messages += 1
        return self.feed(events.MessageArrived(seat, message))

    def feed(self, event: events.Event) -> list[Effect]:
        """Passes an event to the node, answers its control effects and returns all effects."""
        begin = time.process_time()
        made = self.node.handle(self.now, event)
        self.core_seconds += time.process_time() - begin
        for effect in made:
            self._carry_out(effect)
        return made

    def _ping(self) -> None:
        """Sends the pings of the peers whose turn this tick is."""
        period = round(1 / TICK_SECONDS)
        for index, seat in enumerate(self._peers):
            if (self._seq + index) % period == 0:
                self.receive(seat.name, Ping(self._seq, self._facts(seat, index + 1)))

    def _facts(self, seat: Seat, index: int) -> NodeFacts:
        return NodeFacts(
            seat.name,
            f"{index:016x}",
            1,
            "serving",
            seat.zone,
            f"127.0.0.1:{40000 + index}",
            self.node.catalog.version,
            1000,
            1,
            0,
            500,
        )

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case effects.Send(seat, message):
                self._send(seat, message)
            case effects.Probe(target_id):
                self.probes += 1
                self.feed(events.ProbeFinished(target_id, WARM))
            case effects.ReadHead(wait_for):
                if wait_for and wait_for >= self.catalog.version:
                    self._watch_until = self.now + 2.0
                    return
                self.feed(events.HeadRead(self.catalog, True, self.now))
            case effects.ReadAssignment() | effects.WriteAssignment():
                self.feed(events.AssignmentRead(1, self.holders, True, self.now))

    def _send(self, seat: str, message: Message) -> None:
        self.messages += 1
        if self._has_codec:
            begin = time.process_time()
            data = encode(message)
            self.codec_seconds += time.process_time() - begin
            self.sent_bytes[type(message).__name__] += len(data)
        if isinstance(message, Ping):
            index = int(seat.rpartition("-")[2])
            facts = self._facts(self._peers[index - 1], index)
            self.receive(seat, Pong(message.seq, message.facts.incarnation, facts))


def catalogs(sizes: Iterable[tuple[int, int]] = TARGET_SIZES) -> dict[int, Catalog]:
    """Returns a catalog for each number of targets."""
    return {targets: catalog_of(shape_of(targets, services)) for targets, services in sizes}
