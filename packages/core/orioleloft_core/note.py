"""Release notes: INI files that add, change or withdraw parts of the configuration.

`docs/notes.md` describes the format for operators. `parse` checks a note on its own, `apply` checks
it against the configuration in force.
"""

import configparser
import dataclasses
import enum
import re
from collections.abc import Callable, Mapping

from orioleloft_core import hashing
from orioleloft_core.errors import NoteError, ReleaseRefusedError
from orioleloft_core.numericinput import parse_number, parse_whole_number
from orioleloft_core.routes import (
    DEFAULT_LIMITS,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
)

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(ms|s)")


class EditOperation(enum.StrEnum):
    """Operation of a section on the service or route that it names."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


@dataclasses.dataclass(frozen=True)
class ServiceEdit:
    """Section that adds, changes or withdraws a service.

    Attributes:
        name: name of the service.
        change: the operation.
        fields: names and values of the `RoutedService` attributes that are set.
    """

    name: str
    change: EditOperation
    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True)
class RouteEdit:
    """Section that adds, changes or withdraws a route.

    Attributes:
        name: name of the route.
        change: the operation.
        fields: names and values of the `Route` attributes that are set.
    """

    name: str
    change: EditOperation
    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True)
class LimitsEdit:
    """Section that changes caller limits.

    Attributes:
        fields: names and values of the `CallerLimits` attributes that are set.
    """

    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True)
class ZoneEdit:
    """Section that closes or reopens an availability zone.

    Attributes:
        name: name of the zone.
        is_closed: whether its targets shall receive no new requests.
    """

    name: str
    is_closed: bool


Edit = ServiceEdit | RouteEdit | LimitsEdit | ZoneEdit


@dataclasses.dataclass(frozen=True)
class ReleaseNote:
    """A parsed release note that is valid on its own.

    Attributes:
        name: name of the note; published notes have unique names.
        author: author of the note.
        description: purpose of the note, may be empty.
        edits: its sections, in the order of the text.
        digest: digest of the text, by which a note that is published again is recognized. It is
            the same for LF and CRLF line endings.
    """

    name: str
    author: str
    description: str
    edits: tuple[Edit, ...]
    digest: str

    @property
    def has_table_edits(self) -> bool:
        """Whether the note changes the route table, and not only closes or reopens zones."""
        return any(not isinstance(edit, ZoneEdit) for edit in self.edits)


def _parse_duration(text: str) -> float:
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError("is not a duration such as 500 ms or 2 s")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def _parse_positive_number(text: str) -> int:
    number = parse_whole_number(text)
    if number == 0:
        raise ValueError("is not greater than 0")
    return number


def _parse_path_prefix(text: str) -> str:
    if not (text.startswith("/") and text.endswith("/")):
        raise ValueError("does not start and end with a slash")
    return text


def _parse_weighted_services(text: str) -> tuple[WeightedService, ...]:
    weighted_services = []
    for part in text.split(","):
        name, _, weight = part.strip().partition(":")
        if not _NAME_PATTERN.fullmatch(name):
            raise ValueError(f"has no valid service name in {part.strip()!r}")
        weighted_services.append(
            WeightedService(name, float(_parse_positive_number(weight.strip() or "1")))
        )
    return tuple(weighted_services)


_FieldParsers = Mapping[str, Callable[[str], object]]
_SERVICE_PARSERS: _FieldParsers = {
    "health_path": str,
    "max_connections": _parse_positive_number,
    "cold_per_s": parse_number,
    "cold_start": _parse_duration,
}
_ROUTE_PARSERS: _FieldParsers = {
    "host": str.lower,
    "path_prefix": _parse_path_prefix,
    "kind": RouteKind,
    "timeout": _parse_duration,
    "target_latency": _parse_duration,
    "priority": parse_whole_number,
    "attempts": _parse_positive_number,
    "services": _parse_weighted_services,
}
_LIMITS_PARSERS: _FieldParsers = {
    "max_header_bytes": _parse_positive_number,
    "max_body_bytes": _parse_positive_number,
    "header_timeout": _parse_duration,
    "idle_timeout": _parse_duration,
}
# Keys of notes that differ from the attribute they set.
_ATTRIBUTE_OF_KEY = {"services": "weighted_services"}


def parse(text: str) -> ReleaseNote:
    """Parses the text of a note.

    Raises:
        NoteError: the text is not valid INI, or sections are invalid; the message then lists every
            fault, one per line.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise NoteError(f"the note is not valid INI: {error}.", "Correct that line.") from error
    faults: list[str] = []
    edits = [
        edit
        for section in parser.sections()
        if section != "note" and (edit := _parse_section(section, dict(parser[section]), faults))
    ]
    header = dict(parser["note"]) if parser.has_section("note") else {}
    for key in ("name", "author"):
        if not header.get(key):
            faults.append(f"[note] has no {key}.")
    if not edits and not faults:
        faults.append("the note contains no changes.")
    if faults:
        raise NoteError("\n".join(faults), "See docs/notes.md for the format.")
    if not _NAME_PATTERN.fullmatch(header["name"]):
        raise NoteError(
            f"{header['name'][:40]!r} is not a valid name of a note.",
            "Use letters, digits, dots, hyphens and underscores.",
        )
    try:
        content = text.replace("\r\n", "\n").encode()
    except UnicodeEncodeError as error:
        raise NoteError(f"the note is not valid text: {error}.", "Write it in UTF-8.") from error
    digest = hashing.fingerprint(content)[:12]
    return ReleaseNote(
        header["name"], header["author"], header.get("description", ""), tuple(edits), digest
    )


def _parse_section(section: str, values: dict[str, str], faults: list[str]) -> Edit | None:
    kind, _, name = section.partition(" ")
    match kind:
        case "limits":
            return LimitsEdit(_parse_fields(section, values, _LIMITS_PARSERS, faults))
        case "zone" if _NAME_PATTERN.fullmatch(name):
            state = values.get("state", "")
            if state not in ("open", "closed"):
                faults.append(f"[{section}] needs state = open or state = closed.")
            return ZoneEdit(name, state == "closed")
        case "service" | "route" if _NAME_PATTERN.fullmatch(name):
            return _parse_named_section(kind, section, name, values, faults)
    faults.append(f"[{section}] is not a known section.")
    return None


def _parse_named_section(
    kind: str, section: str, name: str, values: dict[str, str], faults: list[str]
) -> Edit | None:
    operation = values.pop("change", "")
    if operation not in EditOperation.__members__.values():
        faults.append(f"[{section}] needs change = add, change or withdraw.")
        return None
    change = EditOperation(operation)
    parsers = _SERVICE_PARSERS if kind == "service" else _ROUTE_PARSERS
    fields = _parse_fields(section, values, parsers, faults)
    missing = sorted(set(parsers) - set(values)) if change is EditOperation.ADD else []
    if missing:
        faults.append(f"[{section}] lacks {', '.join(missing)}.")
    return (ServiceEdit if kind == "service" else RouteEdit)(name, change, fields)


def _parse_fields(
    section: str, values: dict[str, str], parsers: _FieldParsers, faults: list[str]
) -> tuple[tuple[str, object], ...]:
    fields = []
    for key, text in values.items():
        if key not in parsers:
            faults.append(f"[{section}] has the unknown key {key}.")
            continue
        try:
            fields.append((_ATTRIBUTE_OF_KEY.get(key, key), parsers[key](text.strip())))
        except ValueError as error:
            faults.append(f"[{section}] {key}: {text!r} {error}.")
    return tuple(fields)


def apply(table: RouteTable | None, note: ReleaseNote) -> RouteTable:
    """Returns the table that results from a note; `table` itself does not change.

    Args:
        table: the table in force, or None before the first one.
        note: the note; its zone sections are ignored, as zones are not part of the table.

    Returns:
        The new table, with the version after that of `table`, or 1.

    Raises:
        ReleaseRefusedError: the note adds a name that exists, changes or withdraws one that does
            not, or the resulting table is inconsistent.
    """
    services = {service.name: service for service in table.services} if table else {}
    routes = {route.name: route for route in table.routes} if table else {}
    limits = table.limits if table else DEFAULT_LIMITS
    for edit in note.edits:
        match edit:
            case ServiceEdit():
                _apply_edit(services, edit, RoutedService, "service")
            case RouteEdit():
                _apply_edit(routes, edit, Route, "route")
            case LimitsEdit(fields=fields):
                limits = dataclasses.replace(limits, **dict(fields))
    new = RouteTable(
        (table.version if table else 0) + 1,
        tuple(routes.values()),
        tuple(services.values()),
        limits,
        table.tenants if table else (),
    )
    _check_consistency(new)
    return new


def is_applied(table: RouteTable | None, note: ReleaseNote) -> bool:
    """Whether a table has all that a note states, so that applying the note would change nothing.

    Args:
        table: the table in force, or None before the first one.
        note: the note; its zone sections are ignored.
    """
    if table is None:
        return False
    items = _items_by_key(table)
    for edit in note.edits:
        match edit:
            case ServiceEdit(name=name, change=change, fields=fields):
                is_done = _has_edit(items.get(("service", name)), change, fields)
            case RouteEdit(name=name, change=change, fields=fields):
                is_done = _has_edit(items.get(("route", name)), change, fields)
            case LimitsEdit(fields=fields):
                is_done = _has_edit(table.limits, EditOperation.CHANGE, fields)
            case _:
                continue
        if not is_done:
            return False
    return True


def _has_edit(
    item: object | None, change: EditOperation, fields: tuple[tuple[str, object], ...]
) -> bool:
    if change is EditOperation.WITHDRAW:
        return item is None
    return item is not None and all(getattr(item, name) == value for name, value in fields)


def _apply_edit(items: dict, edit: ServiceEdit | RouteEdit, cls: type, kind: str) -> None:
    is_known = edit.name in items
    if is_known == (edit.change is EditOperation.ADD):
        state = "already exists" if is_known else "does not exist"
        remedy = "Base the note on the configuration in force (see orioleloft show)."
        raise ReleaseRefusedError(f"{kind} {edit.name} {state}.", remedy)
    match edit.change:
        case EditOperation.ADD:
            items[edit.name] = cls(name=edit.name, **dict(edit.fields))
        case EditOperation.CHANGE:
            items[edit.name] = dataclasses.replace(items[edit.name], **dict(edit.fields))
        case EditOperation.WITHDRAW:
            del items[edit.name]


def _check_consistency(table: RouteTable) -> None:
    services = {service.name for service in table.services}
    route_names: dict[tuple[str, str], str] = {}
    for route in table.routes:
        unknown = sorted({weighted.service for weighted in route.weighted_services} - services)
        if unknown:
            raise ReleaseRefusedError(
                f"route {route.name} refers to unknown services: {', '.join(unknown)}.",
                "Add them in the same note or refer to others.",
            )
        other = route_names.setdefault((route.host, route.path_prefix), route.name)
        if other != route.name:
            raise ReleaseRefusedError(
                f"routes {other} and {route.name} have the same host and path prefix.",
                "Change or withdraw one of them.",
            )
        if route.target_latency > route.timeout:
            raise ReleaseRefusedError(
                f"route {route.name} has a target latency above its timeout.",
                "Lower the target latency or raise the timeout.",
            )


def edited_items(note: ReleaseNote) -> frozenset[tuple[str, str]]:
    """Returns kind and name of each item that a note edits, such as `("route", "search")`.

    Kinds are "service", "route", "limits" (with an empty name) and "zone".
    """
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


def changed_items(old: RouteTable | None, new: RouteTable) -> frozenset[tuple[str, str]]:
    """Returns kind and name of each item that differs between two tables; see `edited_items`."""
    before = _items_by_key(old) if old else {}
    after = _items_by_key(new)
    return frozenset(
        key for key in before.keys() | after.keys() if before.get(key) != after.get(key)
    )


def _items_by_key(table: RouteTable) -> dict[tuple[str, str], object]:
    items: dict[tuple[str, str], object] = {("limits", ""): table.limits}
    items.update((("service", service.name), service) for service in table.services)
    items.update((("route", route.name), route) for route in table.routes)
    return items
