"""Recording and replay of what a node was told and what it answered, as JSON lines.

The first line names the node and carries its settings without the fleet's keys. Each later line
holds one call of the node, in the order of the calls:

    {"trace": 2, "incarnation": ..., "started_ms": ..., "seed": ..., "settings": [...]}
    {"now": 12.25, "event": ["Tick"], "effects": [["Probe", "ledger/l-01"]]}
    {"now": 12.26, "may_start": "d7", "allowed": true}
    {"now": 12.27, "addresses": "gt-a", "listed": [["127.0.0.1:8080", "gt-a", "entry-01.ab.3."]]}

`may_start` and `addresses` are calls with consequences: the first can deny a dispatch for good, the
second draws from the node's random source. An event on which the node failed has `"error"` with
the name of the exception in place of `"effects"`. Data classes are written in the form of
`packing`.
"""

import dataclasses
import json
import random
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

from orioleloft_core import packing
from orioleloft_core.addresses import EntryAddress
from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import Effect
from orioleloft_core.errors import TraceError
from orioleloft_core.events import Event
from orioleloft_core.node import Node
from orioleloft_core.settings import Settings
from orioleloft_core.status import NodeStatus

TRACE_VERSION = 2

EVENT, MAY_START, ADDRESSES = "event", "may_start", "addresses"
EFFECTS, ALLOWED, LISTED, ERROR = "effects", "allowed", "listed", "error"

_EVENTS = packing.classes_of(Event)


@dataclasses.dataclass(frozen=True)
class Difference:
    """A line of a trace whose replay gave another result.

    Attributes:
        line: line number in the trace, the header being line 1.
        recorded: result in the trace, in plain form.
        replayed: result of the replay, in plain form.
    """

    line: int
    recorded: dict[str, Any]
    replayed: dict[str, Any]


class Recorder:
    """A node that writes each call and its result to a file; used in place of the node.

    Args:
        node: the node to record, built with `random.Random(seed)` and not used yet.
        seed: seed of the node's random source.
        file: file open for writing text; its first line is written at once.
    """

    def __init__(self, node: Node, seed: int, file: TextIO) -> None:
        self._node = node
        self._file = file
        header = {
            "trace": TRACE_VERSION,
            "incarnation": node.incarnation,
            "started_ms": node.started_ms,
            "seed": seed,
            "settings": packing.to_plain(_without_keys(node.settings), text_only=True),
        }
        self._write(header)

    @property
    def state(self) -> str:
        """Lifecycle state of the node."""
        return self._node.state

    @property
    def catalog(self) -> Catalog:
        """Catalog in force on the node."""
        return self._node.catalog

    def holder_seat(self, group: str) -> str | None:
        """Returns the seat that holds the group as far as the node knows."""
        return self._node.holder_seat(group)

    def status(self, now: float) -> NodeStatus:
        """Returns the node's state for operators; it has no consequences and is not recorded."""
        return self._node.status(now)

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Passes an event to the node and records it."""
        call = {"now": now, EVENT: packing.to_tagged(event, text_only=True)}
        try:
            effects = self._node.handle(now, event)
        except Exception as error:
            self._write({**call, ERROR: type(error).__name__})
            raise
        self._write({**call, EFFECTS: _plain_effects(effects)})
        return effects

    def may_start(self, now: float, dispatch_id: str) -> bool:
        """Asks the node and records the answer."""
        allowed = self._node.may_start(now, dispatch_id)
        self._write({"now": now, MAY_START: dispatch_id, ALLOWED: allowed})
        return allowed

    def addresses(self, now: float, zone: str) -> tuple[EntryAddress, ...]:
        """Asks the node and records the answer."""
        listed = self._node.addresses(now, zone)
        self._write({"now": now, ADDRESSES: zone, LISTED: _plain_addresses(listed)})
        return listed

    def _write(self, line: dict[str, Any]) -> None:
        self._file.write(json.dumps(line, separators=(",", ":")) + "\n")


def replay(lines: Iterable[str]) -> Iterator[Difference]:
    """Repeats the calls of a trace on a new node and yields each line whose result differs.

    Raises:
        TraceError: the trace cannot be read.
    """
    numbered = enumerate(lines, start=1)
    _, first = next(numbered, (1, ""))
    node = _node_of(_parsed(1, first))
    for number, text in numbered:
        line = _parsed(number, text)
        replayed = _repeat(node, number, line)
        recorded = {name: line.get(name) for name in (EFFECTS, ALLOWED, LISTED, ERROR)}
        recorded = {name: value for name, value in recorded.items() if value is not None}
        if replayed != recorded:
            yield Difference(number, recorded, replayed)


def _repeat(node: Node, number: int, line: dict[str, Any]) -> dict[str, Any]:
    now = line.get("now")
    if type(now) not in (int, float):
        raise _broken(f"line {number} has no time.")
    match line:
        case {"event": _}:
            return _repeat_event(node, now, _event_of(number, line))
        case {"may_start": str(dispatch_id)}:
            return {ALLOWED: node.may_start(now, dispatch_id)}
        case {"addresses": str(zone)}:
            return {LISTED: _plain_addresses(node.addresses(now, zone))}
    raise _broken(f"line {number} holds no call that is known.")


def _repeat_event(node: Node, now: float, event: Event) -> dict[str, Any]:
    try:
        return {EFFECTS: _plain_effects(node.handle(now, event))}
    except Exception as error:
        return {ERROR: type(error).__name__}


def _plain_addresses(listed: Iterable[EntryAddress]) -> list[Any]:
    return [packing.to_plain(address) for address in listed]


def _plain_effects(effects: Iterable[Effect]) -> list[Any]:
    return [packing.to_tagged(effect, text_only=True) for effect in effects]


def _without_keys(settings: Settings) -> Settings:
    # Traces are passed on; the decisions need no keys.
    fleet = dataclasses.replace(settings.fleet, public_key="", secret_key="")
    return dataclasses.replace(settings, fleet=fleet)


def _parsed(number: int, text: str) -> dict[str, Any]:
    try:
        line = json.loads(text)
    except ValueError as error:
        raise _broken(f"line {number} is not JSON.") from error
    if not isinstance(line, dict):
        raise _broken(f"line {number} is not an object.")
    return line


def _node_of(header: dict[str, Any]) -> Node:
    if header.get("trace") != TRACE_VERSION:
        raise _broken("line 1 is no header of this version.")
    match header:
        case {"incarnation": str(incarnation), "started_ms": int(started_ms), "seed": int(seed)}:
            return Node(_settings_of(header), incarnation, started_ms, random.Random(seed))
    raise _broken("line 1 lacks the node's incarnation, start or seed.")


def _settings_of(header: dict[str, Any]) -> Settings:
    try:
        return packing.from_plain(Settings, header["settings"])
    except (KeyError, TypeError, ValueError) as error:
        raise _broken(f"settings in line 1: {error}") from error


def _event_of(number: int, line: dict[str, Any]) -> Event:
    try:
        return packing.from_tagged(_EVENTS, line[EVENT])
    except (TypeError, ValueError) as error:
        raise _broken(f"event in line {number}: {error}") from error


def _broken(message: str) -> TraceError:
    return TraceError(message, "Record the trace again.")
