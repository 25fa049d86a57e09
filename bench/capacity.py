"""Slopes behind docs/CAPACITY.md: `python -m bench.capacity` prints one line a figure."""

import dataclasses
import gc
import itertools
import os
import time
import tracemalloc
import zlib
from collections.abc import Callable, Iterable, Sequence

import msgpack

from bench.figures import Figure
from bench.fleet import BOLETERIA, Fleet, catalog_of
from bench.slopes import slope_of
from bench.solo import OWN, TARGET_SIZES, WARM, Solo, catalogs, shape_of
from orioleloft_core import effects, events, head
from orioleloft_core.catalog import Catalog
from orioleloft_core.errors import Outcome
from orioleloft_core.idempotency import KeyTable
from orioleloft_core.messages import (
    Ask,
    AssignmentData,
    CatalogData,
    Granted,
    Message,
    NodeFacts,
    Ping,
    Release,
    TargetReport,
    decode,
    encode,
)
from orioleloft_core.request import DispatchResult, Ending, Reply, Request
from orioleloft_core.settings import FleetSettings, NodeSettings, RoutingMode, Seat, Settings

SEAT_SIZES = (5, 17, 40, 60, 100)
FLEET_SIZES = (5, 19, 60)
KEY_SIZES = (1000, 5000, 20000)
# Targets held by the node whose requests are timed.
HELD_SIZES = ((12, 1), (120, 5), (1200, 42))
SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 5.0
FLEET_SETTLE_SECONDS = 15.0
FLEET_SECONDS = 10.0
RELEASES = 10
REQUESTS = 2000
MESSAGES = 3000
MS = 1000.0


def figures() -> list[Figure]:
    """Measures everything; takes about two minutes of processor time."""
    parts: tuple[Callable[[], Iterable[Figure]], ...] = (
        control_by_seats,
        control_by_targets,
        memory,
        catalog_sizes,
        codec,
        requests,
        keys,
        fleets,
    )
    return [figure for part in parts for figure in part()]


def control_by_seats() -> list[Figure]:
    """Control work of one node against the number of seats, at the current number of targets."""
    catalog = catalog_of(shape_of(36, 3))
    made, core, codec_time, sent = [], [], [], []
    for seats in SEAT_SIZES:
        solo = _settled(seats, catalog)
        measured = _control(f"seats.{seats}", solo)
        made += measured
        for points, figure in zip((core, codec_time, sent), measured, strict=False):
            points.append((seats, figure.value))
    made += slope_of("control.core.seats", "ms/s", core)
    made += slope_of("control.codec.seats", "ms/s", codec_time)
    return made + slope_of("control.sent.seats", "B/s", sent)


def control_by_targets() -> list[Figure]:
    """Control work of one node against the number of targets, at 17 and at 60 seats."""
    made = []
    for seats in (17, 60):
        points = []
        for targets, catalog in catalogs().items():
            measured = _control(f"seats.{seats}.targets.{targets}", _settled(seats, catalog))
            made += measured
            points.append((targets, measured[0].value))
        made += slope_of(f"control.core.seats.{seats}.targets", "ms/s", points)
    return made


def memory() -> list[Figure]:
    """Python memory of one node in calm, catalog included."""
    by_seats = [(seats, _node_kib(seats, 36, 3)) for seats in SEAT_SIZES]
    by_targets = [(targets, _node_kib(60, targets, services)) for targets, services in TARGET_SIZES]
    made = [Figure(f"memory.seats.{seats}", value, "KiB") for seats, value in by_seats]
    made += [Figure(f"memory.targets.{targets}", value, "KiB") for targets, value in by_targets]
    made += slope_of("memory.seats", "KiB", by_seats)
    return made + slope_of("memory.targets", "KiB", by_targets)


def catalog_sizes() -> list[Figure]:
    """Sizes of the documents and time to adopt a catalog from a peer."""
    made, data_points, adopt_points, head_points = [], [], [], []
    for targets, catalog in catalogs().items():
        data = _catalog_data(dataclasses.replace(catalog, version=2))
        head_bytes, part_bytes = _document_sizes(catalog)
        solo = _settled(17, catalog)
        begin = time.process_time()
        solo.node.handle(solo.now, events.MessageArrived("entry-001", data))
        solo.node.handle(solo.now + 0.01, events.Tick())
        adopt = (time.process_time() - begin) * MS
        made += [
            Figure(f"catalog.head.targets.{targets}", head_bytes, "B"),
            Figure(f"catalog.largest_part.targets.{targets}", part_bytes, "B"),
            Figure(f"catalog.data.targets.{targets}", len(data.document), "B"),
            Figure(f"catalog.adopt.targets.{targets}", adopt, "ms"),
        ]
        assigned = len(encode(AssignmentData(1, solo.holders)))
        made.append(Figure(f"assignment.data.targets.{targets}", assigned, "B"))
        head_points.append((targets, head_bytes))
        data_points.append((targets, len(data.document)))
        adopt_points.append((targets, adopt))
    made += slope_of("catalog.head.targets", "B", head_points)
    made += slope_of("catalog.data.targets", "B", data_points)
    return made + slope_of("catalog.adopt.targets", "ms", adopt_points)


def codec() -> list[Figure]:
    """Size and processor time of one message."""
    facts = NodeFacts("entry-001", "0" * 16, 1, "serving", "a-1", "127.0.0.1:8080", 9, 9, 9, 9, 9)
    report = TargetReport("service-000/se-00", "answered", 5.25, "i0", 3, "warm")
    grant_id = "service-000#0.entry-001.1f.1000"
    samples = (
        Ping(1000, facts),
        Ask("0" * 16 + "-1000", "service-000#0", "customer", 2000, "0" * 32),
        Granted("0" * 16 + "-1000", grant_id, report.target_id, False),
        Release(grant_id, report),
    )
    made = []
    for message in samples:
        name = type(message).__name__.lower()
        data = encode(message)
        made += [
            Figure(f"message.{name}.size", len(data), "B"),
            Figure(f"message.{name}.encode", _micros(encode, message), "us"),
            Figure(f"message.{name}.decode", _micros(decode, data), "us"),
        ]
    return made


def requests() -> list[Figure]:
    """Processor time of one request in the core, against the targets that the node holds."""
    made, at_holder, at_requester = [], [], []
    for targets, services in HELD_SIZES:
        catalog = catalog_of(shape_of(targets, services))
        holder = _holder_micros(catalog)
        requester = _requester_micros(catalog)
        own = _own_micros(catalog)
        at_holder.append((targets, holder))
        at_requester.append((targets, requester))
        made += [
            Figure(f"request.holder.targets.{targets}", holder, "us"),
            Figure(f"request.requester.targets.{targets}", requester, "us"),
            Figure(f"request.own_lease.targets.{targets}", own, "us"),
        ]
    made += _message_counts()
    made += slope_of("request.holder.targets", "us", at_holder)
    return made + slope_of("request.requester.targets", "us", at_requester)


def keys() -> list[Figure]:
    """Memory of the records of idempotency keys, without stored answers' bodies."""
    points = [(count, _keys_kib(count)) for count in KEY_SIZES]
    made = [Figure(f"keys.memory.records.{count}", value, "KiB") for count, value in points]
    return made + slope_of("keys.memory.records", "KiB", points)


def fleets() -> list[Figure]:
    """Whole fleets in the driver: platform calls in calm, releases, and the death of a holder."""
    made, calls, releases, takeovers = [], [], [], []
    for seats in FLEET_SIZES:
        fleet = Fleet(BOLETERIA, seats, RoutingMode.GRANTS, 1)
        fleet.run_until(FLEET_SETTLE_SECONDS)
        before = fleet.platform_calls
        fleet.run_until(FLEET_SETTLE_SECONDS + FLEET_SECONDS)
        calls.append((seats, (fleet.platform_calls - before) / FLEET_SECONDS))
        releases.append((seats, max(_adoption_ms(fleet) for _ in range(RELEASES))))
        takeovers.append((seats, _takeover_ms(fleet)))
    parts = (
        ("platform.calm.seats", "calls/s", calls),
        ("release.slowest.seats", "ms", releases),
        ("takeover.seats", "ms", takeovers),
    )
    for name, unit, points in parts:
        made += [Figure(f"{name}.{seats}", value, unit) for seats, value in points]
        made += slope_of(name, unit, points)
    return made


def _settled(seats: int, catalog: Catalog, held_by: Sequence[int] = (), codec: bool = True) -> Solo:
    solo = Solo(seats, catalog, held_by, codec)
    solo.run(SETTLE_SECONDS)
    if solo.node.state != "serving":
        raise RuntimeError(f"the node is {solo.node.state} after {SETTLE_SECONDS} s.")
    # Garbage of an earlier measurement would be collected within this one.
    gc.collect()
    solo.reset()
    return solo


def _control(name: str, solo: Solo) -> list[Figure]:
    solo.run(MEASURED_SECONDS)
    second = MEASURED_SECONDS
    return [
        Figure(f"control.core.{name}", solo.core_seconds * MS / second, "ms/s"),
        Figure(f"control.codec.{name}", solo.codec_seconds * MS / second, "ms/s"),
        Figure(f"control.sent.{name}", sum(solo.sent_bytes.values()) / second, "B/s"),
        Figure(f"control.messages.{name}", solo.messages / second, "1/s"),
        Figure(f"control.probes.{name}", solo.probes / second, "1/s"),
    ]


def _node_kib(seats: int, targets: int, services: int) -> float:
    document = catalog_of(shape_of(targets, services)).to_document()
    # The first node loads the state charts, which all nodes of a process share.
    _settled(5, catalog_of(shape_of(36, 3)), codec=False)
    gc.collect()
    tracemalloc.start()
    solo = Solo(seats, Catalog.from_document(document), has_codec=False)
    solo.run(SETTLE_SECONDS)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def _catalog_data(catalog: Catalog) -> CatalogData:
    return CatalogData(catalog.version, zlib.compress(msgpack.packb(catalog.to_document())))


def _document_sizes(catalog: Catalog) -> tuple[int, int]:
    """Returns the bytes of the head with a full history, and of the largest part."""
    parts = [
        head.Part(
            service,
            tuple(target for target in catalog.targets if target.service == service.name),
        )
        for service in catalog.services
    ]
    names = tuple((part.service.name, part.object_name("note-0001-0123456789")) for part in parts)
    entries = tuple(
        head.Entry(version, f"note-{version:04d}-0123456789", "operator", 1, version - 1, ("a/b",))
        for version in range(1, head.MAX_HISTORY_ENTRIES + 1)
    )
    document = head.Head(1, catalog.zones, catalog.customers, names, entries).to_document()
    largest = max(head.document_bytes(part.to_document()) for part in parts)
    return head.document_bytes(document), largest


def _micros(call: Callable[[object], object], value: Message | bytes) -> float:
    begin = time.process_time()
    for _ in range(MESSAGES):
        call(value)
    return (time.process_time() - begin) / MESSAGES * 1e6


def _holder_micros(catalog: Catalog) -> float:
    """Ask, grant and release at a holder for a requester on another seat."""
    solo = _settled(17, catalog, held_by=(0,), codec=False)
    group = next(iter(catalog.groups))
    for number in range(REQUESTS):
        if number == REQUESTS // 4:
            solo.reset()
        solo.now += 1e-4
        ask = Ask(f"a-{number}", group, "small", 2000, "0" * 32)
        granted = _sent(solo.receive("entry-001", ask), Granted)
        report = TargetReport(granted.target_id, "answered", 5.0, "i0", 0, "warm")
        solo.receive("entry-001", Release(granted.grant_id, report))
    return solo.core_seconds / (REQUESTS - REQUESTS // 4) * 1e6


def _requester_micros(catalog: Catalog) -> float:
    """Submit, grant, dispatch and answer at a requester whose holder is another seat."""
    solo = _settled(17, catalog, held_by=(1,), codec=False)
    group = next(iter(catalog.groups))
    holder = solo.node.holder_seat(group)
    service, target = group.partition("#")[0], catalog.groups[group][0].id
    solo.reset()
    done = 0
    for number in range(REQUESTS):
        if number == REQUESTS // 4:
            solo.reset()
            done = 0
        solo.now += 1e-4
        made = solo.feed(events.RequestArrived(_request(number, service, solo.now)))
        sends = [each for each in made if isinstance(each, effects.Send)]
        if not sends:
            continue
        ask_id = sends[0].message.ask_id
        granted = Granted(ask_id, f"{group}.{holder}.0.{number}", target, True)
        made = solo.receive(sends[0].seat, granted)
        done += _finish(solo, made)
    return solo.core_seconds / max(1, done) * 1e6


def _message_counts() -> list[Figure]:
    """Messages between nodes for one call whose holder is another seat, counted in the driver."""
    catalog = catalog_of(shape_of(*HELD_SIZES[0]))
    solo = _settled(17, catalog, held_by=(1,), codec=False)
    service, group = catalog.services[0].name, next(iter(catalog.groups))
    solo.feed(events.RequestArrived(_request(0, service, solo.now)))
    granted = Granted(f"{'0' * 16}-1", f"{group}.entry-001.0.1", catalog.targets[0].id, True)
    made = solo.receive("entry-001", granted)
    done = _finish(solo, made)
    return [Figure("request.messages", solo.messages / done, "1/call")]


def _own_micros(catalog: Catalog) -> float:
    """A whole request at a node that holds the group itself."""
    solo = _settled(17, catalog, held_by=(0,), codec=False)
    service = next(iter(catalog.groups)).partition("#")[0]
    done = 0
    for number in range(REQUESTS):
        if number == REQUESTS // 4:
            solo.reset()
            done = 0
        solo.now += 1e-4
        made = solo.feed(events.RequestArrived(_request(number, service, solo.now)))
        done += _finish(solo, made)
    return solo.core_seconds / max(1, done) * 1e6


def _finish(solo: Solo, made: list) -> int:
    for effect in made:
        if isinstance(effect, effects.Dispatch) and solo.node.may_start(
            solo.now, effect.dispatch_id
        ):
            result = DispatchResult(Ending.ANSWERED, 200, (), b"", WARM, 5.0, True)
            solo.feed(events.DispatchFinished(effect.dispatch_id, result))
            return 1
    return 0


def _request(number: int, service: str, now: float) -> Request:
    return Request(f"r-{number}", service, "small", "GET", f"/{number}", now + 2.0)


def _sent(made: list, kind: type) -> Granted:
    return next(
        each.message
        for each in made
        if isinstance(each, effects.Send) and isinstance(each.message, kind)
    )


def _keys_kib(count: int) -> float:
    seats = (Seat(OWN, "a-1", "127.0.0.1:30000"),)
    settings = Settings(NodeSettings(OWN, "a-1"), FleetSettings(seats))
    table = KeyTable(settings, OWN, "0" * 16)
    gc.collect()
    tracemalloc.start()
    for number in range(count):
        key = f"{OWN}.{'0' * 16}.0.{number:032d}"
        request = Request(f"r-{number}", "s", "", "POST", f"/{number}", 2.0, key, (), b"body")
        table.begin(0.0, request, lambda seat: None)
        table.finish(0.0, request.id, Reply(200, Outcome.COMPLETE))
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def _adoption_ms(fleet: Fleet) -> float:
    """Time from acceptance to the last node's adoption of a release."""
    fleet.run_until(fleet.now + 0.9 + 0.3 * fleet.rng.random())
    accepted = fleet.now
    version = fleet.catalog.version + 1
    fleet.publish(dataclasses.replace(fleet.catalog, version=version))
    return _wait_ms(
        fleet,
        accepted,
        lambda: all(node.catalog.version >= version for node in fleet.nodes.values()),
    )


def _takeover_ms(fleet: Fleet) -> float:
    """Time from the death of a group's holder until another seat grants for the group."""
    group = next(iter(fleet.catalog.groups))
    dead = next(iter(fleet.nodes.values())).holder_seat(group)
    del fleet.nodes[dead]
    numbers = itertools.count()
    asking = next(iter(fleet.nodes))

    def is_granted() -> bool:
        seat = fleet.nodes[asking].holder_seat(group)
        if seat == dead or seat is None:
            return False
        ask = Ask(f"capacity-{next(numbers)}", group, "", 1000, "")
        made = fleet.nodes[seat].handle(fleet.now, events.MessageArrived("entry-x", ask))
        return any(
            isinstance(each, effects.Send) and isinstance(each.message, Granted) for each in made
        )

    return _wait_ms(fleet, fleet.now, is_granted)


def _wait_ms(fleet: Fleet, since: float, is_done: Callable[[], bool]) -> float:
    while not is_done():
        fleet.run_until(fleet.now + 0.005)
        if fleet.now > since + 30:
            raise RuntimeError("not done within 30 s of simulated time.")
    return (fleet.now - since) * MS


def main() -> None:
    print(f"# load average {os.getloadavg()[0]:.2f}")
    for figure in figures():
        print(figure.line(), flush=True)


if __name__ == "__main__":
    main()
