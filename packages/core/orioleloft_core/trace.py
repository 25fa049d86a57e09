"""Recording and replay of a node's events and effects as JSON lines.

The first line names the node and carries its settings, later lines hold one event each:

    {"trace": 1, "incarnation": ..., "started_ms": ..., "seed": ..., "settings": [...]}
    {"now": 12.25, "event": ["Tick"], "effects": [["Probe", "ledger/l-01"]]}

Data classes are written in the form of `packing`.
"""

import dataclasses
import json
import random
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

from orioleloft_core import packing
from orioleloft_core.effects import Effect
from orioleloft_core.errors import TraceError
from orioleloft_core.events import Event
from orioleloft_core.node import Node
from orioleloft_core.settings import Settings

TRACE_VERSION = 1

_EVENTS = packing.classes_of(Event)


@dataclasses.dataclass(frozen=True)
class Difference:
    """A line of a trace whose replay gave other effects.

    Attributes:
        line: line number in the trace, the header being line 1.
        recorded: effects in the trace, in plain form.
        replayed: effects of the replay, in plain form.
    """

    line: int
    recorded: list[Any]
    replayed: list[Any]


class Recorder:
    """Writes a node's events and their effects to a file."""

    def __init__(self, node: Node, seed: int, file: TextIO) -> None:
        """Writes the header.

        Args:
            node: the node to record, built with `random.Random(seed)` and not used yet.
            seed: seed of the node's random source.
            file: file open for writing text.
        """
        self._file = file
        header = {
            "trace": TRACE_VERSION,
            "incarnation": node.incarnation,
            "started_ms": node.started_ms,
            "seed": seed,
            "settings": packing.to_plain(node.settings, text_only=True),
        }
        self._write(header)

    def record(self, now: float, event: Event, effects: Iterable[Effect]) -> None:
        """Writes one event that the node has handled, with what it returned."""
        self._write(
            {
                "now": now,
                "event": packing.to_tagged(event, text_only=True),
                "effects": _plain_effects(effects),
            }
        )

    def _write(self, line: dict[str, Any]) -> None:
        self._file.write(json.dumps(line, separators=(",", ":")) + "\n")


def replay(lines: Iterable[str]) -> Iterator[Difference]:
    """Feeds the events of a trace to a new node and yields each line that differs.

    Raises:
        TraceError: the trace cannot be read.
    """
    numbered = enumerate(lines, start=1)
    _, first = next(numbered, (1, ""))
    node = _node_of(_parsed(1, first))
    for number, text in numbered:
        line = _parsed(number, text)
        event = _event_of(number, line)
        replayed = _plain_effects(node.handle(line["now"], event))
        if replayed != line["effects"]:
            yield Difference(number, line["effects"], replayed)


def _plain_effects(effects: Iterable[Effect]) -> list[Any]:
    return [packing.to_tagged(effect, text_only=True) for effect in effects]


def _parsed(number: int, text: str) -> dict[str, Any]:
    try:
        line = json.loads(text)
    except ValueError as error:
        raise TraceError(f"line {number} is not JSON.", "Record the trace again.") from error
    if not isinstance(line, dict):
        raise TraceError(f"line {number} is not an object.", "Record the trace again.")
    return line


def _node_of(header: dict[str, Any]) -> Node:
    if header.get("trace") != TRACE_VERSION:
        raise TraceError("line 1 is no header of this version.", "Record the trace again.")
    try:
        settings = packing.from_plain(Settings, header["settings"])
    except (KeyError, ValueError) as error:
        raise TraceError(f"settings in line 1: {error}", "Record the trace again.") from error
    rng = random.Random(header["seed"])
    return Node(settings, header["incarnation"], header["started_ms"], rng)


def _event_of(number: int, line: dict[str, Any]) -> Event:
    try:
        return packing.from_tagged(_EVENTS, line["event"])
    except (KeyError, ValueError) as error:
        raise TraceError(f"event in line {number}: {error}", "Record the trace again.") from error
