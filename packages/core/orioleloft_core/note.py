"""Release notes: declarations in INI of what is added, changed or withdrawn.

`docs/notes.md` describes the format for operators. `parse` checks a note by itself, `apply` checks
it against the configuration in force.
"""

import configparser
import dataclasses
import enum
import re
from collections.abc import Callable, Mapping

from orioleloft_core import hashing
from orioleloft_core.errors import NoteError, ReleaseRefusedError
from orioleloft_core.routes import (
    FIRST_LIMITS,
    Route,
    RoutedService,
    RouteKind,
    RouteShare,
    RouteTable,
)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(ms|s)")


class Change(enum.StrEnum):
    """What a section does."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


@dataclasses.dataclass(frozen=True)
class ServiceEdit:
    """Adds, changes or withdraws a service."""

    name: str
    change: Change
    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True)
class RouteEdit:
    """Adds, changes or withdraws a route."""

    name: str
    change: Change
    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True)
class LimitsEdit:
    """Changes the limits of callers."""

    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True)
class ZoneEdit:
    """Takes an availability zone out or brings it back."""

    name: str
    is_closed: bool


Edit = ServiceEdit | RouteEdit | LimitsEdit | ZoneEdit


@dataclasses.dataclass(frozen=True)
class Note:
    """A release note without faults of its own.

    Attributes:
        name: name of the note.
        author: who wrote it.
        description: what it is for.
        edits: its sections in the order of the text.
        digest: digest of the text; a note that is sent again has the same one.
    """

    name: str
    author: str
    description: str
    edits: tuple[Edit, ...]
    digest: str

    @property
    def has_table_edits(self) -> bool:
        """Whether the note changes the route table."""
        return any(not isinstance(edit, ZoneEdit) for edit in self.edits)


def _duration(text: str) -> float:
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError("is not a time such as 500 ms or 2 s")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def _whole(text: str) -> int:
    if not text.isdigit():
        raise ValueError("is not a whole number")
    return int(text)


def _positive(text: str) -> int:
    if _whole(text) == 0:
        raise ValueError("is not above 0")
    return int(text)


def _prefix(text: str) -> str:
    if not (text.startswith("/") and text.endswith("/")):
        raise ValueError("does not start and end with a slash")
    return text


def _shares(text: str) -> tuple[RouteShare, ...]:
    shares = []
    for part in text.split(","):
        name, _, weight = part.strip().partition(":")
        if not _NAME.fullmatch(name):
            raise ValueError(f"names no service in {part.strip()!r}")
        shares.append(RouteShare(name, float(_positive(weight.strip() or "1"))))
    return tuple(shares)


_Readers = Mapping[str, Callable[[str], object]]
_SERVICE: _Readers = {
    "health_path": str,
    "max_connections": _positive,
    "cold_per_s": float,
    "cold_start": _duration,
}
_ROUTE: _Readers = {
    "host": str.lower,
    "path_prefix": _prefix,
    "kind": RouteKind,
    "timeout": _duration,
    "target_latency": _duration,
    "priority": _whole,
    "attempts": _positive,
    "services": _shares,
}
_LIMITS: _Readers = {
    "max_header_bytes": _positive,
    "max_body_bytes": _positive,
    "header_timeout": _duration,
    "idle_timeout": _duration,
}
# The note says `services`, as operators do; the route holds the shares.
_RENAMED = {"services": "shares"}


def parse(text: str) -> Note:
    """Reads a note.

    Raises:
        NoteError: the text has faults; the message names all of them.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise NoteError(f"the note is no INI text: {error}.", "Correct the named line.") from error
    faults: list[str] = []
    edits = [
        edit
        for section in parser.sections()
        if section != "note" and (edit := _edit(section, dict(parser[section]), faults))
    ]
    head = dict(parser["note"]) if parser.has_section("note") else {}
    for key in ("name", "author"):
        if not head.get(key):
            faults.append(f"[note] has no {key}.")
    if not edits and not faults:
        faults.append("the note changes nothing.")
    if faults:
        raise NoteError("\n".join(faults), "docs/notes.md has the format.")
    digest = hashing.fingerprint(text.replace("\r\n", "\n").encode())[:12]
    return Note(head["name"], head["author"], head.get("description", ""), tuple(edits), digest)


def _edit(section: str, values: dict[str, str], faults: list[str]) -> Edit | None:
    kind, _, name = section.partition(" ")
    match kind:
        case "limits":
            return LimitsEdit(_fields(section, values, _LIMITS, faults))
        case "zone" if _NAME.fullmatch(name):
            state = values.get("state", "")
            if state not in ("open", "closed"):
                faults.append(f"[{section}] needs state = open or state = closed.")
            return ZoneEdit(name, state == "closed")
        case "service" | "route" if _NAME.fullmatch(name):
            return _named(kind, section, name, values, faults)
    faults.append(f"[{section}] is no known section.")
    return None


def _named(
    kind: str, section: str, name: str, values: dict[str, str], faults: list[str]
) -> Edit | None:
    word = values.pop("change", "")
    if word not in Change.__members__.values():
        faults.append(f"[{section}] needs change = add, change or withdraw.")
        return None
    change = Change(word)
    readers = _SERVICE if kind == "service" else _ROUTE
    fields = _fields(section, values, readers, faults)
    missing = sorted(set(readers) - set(values)) if change is Change.ADD else []
    if missing:
        faults.append(f"[{section}] lacks {', '.join(missing)}.")
    return (ServiceEdit if kind == "service" else RouteEdit)(name, change, fields)


def _fields(
    section: str, values: dict[str, str], readers: _Readers, faults: list[str]
) -> tuple[tuple[str, object], ...]:
    fields = []
    for key, text in values.items():
        if key not in readers:
            faults.append(f"[{section}] has the unknown key {key}.")
            continue
        try:
            fields.append((_RENAMED.get(key, key), readers[key](text.strip())))
        except ValueError as error:
            faults.append(f"[{section}] {key}: {text!r} {error}.")
    return tuple(fields)


def apply(table: RouteTable | None, note: Note) -> RouteTable:
    """Returns the table after a note, with the next version.

    Raises:
        ReleaseRefusedError: the note does not fit the table in force.
    """
    services = {service.name: service for service in table.services} if table else {}
    routes = {route.name: route for route in table.routes} if table else {}
    limits = table.limits if table else FIRST_LIMITS
    for edit in note.edits:
        match edit:
            case ServiceEdit():
                _apply(services, edit, RoutedService, "service")
            case RouteEdit():
                _apply(routes, edit, Route, "route")
            case LimitsEdit(fields=fields):
                limits = dataclasses.replace(limits, **dict(fields))
    new = RouteTable(
        (table.version if table else 0) + 1,
        tuple(routes.values()),
        tuple(services.values()),
        limits,
    )
    _check(new)
    return new


def _apply(known: dict, edit: ServiceEdit | RouteEdit, cls: type, kind: str) -> None:
    is_known = edit.name in known
    if is_known == (edit.change is Change.ADD):
        state = "exists already" if is_known else "does not exist"
        remedy = "Write the note against the configuration in force (orioleloft show)."
        raise ReleaseRefusedError(f"{kind} {edit.name} {state}.", remedy)
    match edit.change:
        case Change.ADD:
            known[edit.name] = cls(name=edit.name, **dict(edit.fields))
        case Change.CHANGE:
            known[edit.name] = dataclasses.replace(known[edit.name], **dict(edit.fields))
        case Change.WITHDRAW:
            del known[edit.name]


def _check(table: RouteTable) -> None:
    services = {service.name for service in table.services}
    places: dict[tuple[str, str], str] = {}
    for route in table.routes:
        unknown = sorted({share.service for share in route.shares} - services)
        if unknown:
            raise ReleaseRefusedError(
                f"route {route.name} names unknown services: {', '.join(unknown)}.",
                "Add them in the same note or name others.",
            )
        other = places.setdefault((route.host, route.path_prefix), route.name)
        if other != route.name:
            raise ReleaseRefusedError(
                f"routes {other} and {route.name} have the same host and prefix.",
                "Change or withdraw one of them.",
            )
        if route.target_latency > route.timeout:
            raise ReleaseRefusedError(
                f"route {route.name} has a target latency above its timeout.",
                "Lower the target latency or raise the timeout.",
            )


def touched(note: Note) -> frozenset[tuple[str, str]]:
    """Returns the kinds and names of what a note edits."""
    names = set()
    for edit in note.edits:
        match edit:
            case ServiceEdit(name=name):
                names.add(("service", name))
            case RouteEdit(name=name):
                names.add(("route", name))
            case LimitsEdit():
                names.add(("limits", ""))
            case ZoneEdit(name=name):
                names.add(("zone", name))
    return frozenset(names)


def differences(old: RouteTable | None, new: RouteTable) -> frozenset[tuple[str, str]]:
    """Returns the kinds and names of what differs between two tables."""
    before = _items(old) if old else {}
    after = _items(new)
    return frozenset(
        key for key in before.keys() | after.keys() if before.get(key) != after.get(key)
    )


def _items(table: RouteTable) -> dict[tuple[str, str], object]:
    items: dict[tuple[str, str], object] = {("limits", ""): table.limits}
    items.update((("service", service.name), service) for service in table.services)
    items.update((("route", route.name), route) for route in table.routes)
    return items
