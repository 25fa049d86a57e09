"""Reads settings from INI and checks them whole: all faults at once, each with its remedy."""

import configparser
import dataclasses
import ipaddress
import itertools
import pathlib
import re
from collections.abc import Iterator
from typing import Any

from orioleloft_core.errors import SettingsError
from orioleloft_core.settings import (
    FleetSettings,
    KeySettings,
    NodeSettings,
    OutputSettings,
    PlatformSettings,
    RequestSettings,
    RoutingMode,
    RoutingSettings,
    Seat,
    Settings,
    StopSettings,
)

DURATION_UNITS_MS = {"ms": 1, "s": 1000, "min": 60000}
SIZE_UNITS_BYTES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
KEY_CHARS = 40

_SECTIONS: dict[str, type] = {
    "node": NodeSettings,
    "fleet": FleetSettings,
    "platform": PlatformSettings,
    "routing": RoutingSettings,
    "requests": RequestSettings,
    "keys": KeySettings,
    "stop": StopSettings,
    "output": OutputSettings,
}
_SEATS = "seats"
_KEY_OF_FIELD = {"answer_bytes": "answer_memory", "suspect_ms": "suspect_time"}
_Z85 = re.compile(r"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}")
# Idempotency keys start with the seat's name and have dots between their parts.
_SEAT_NAME = re.compile(r"[a-z0-9-]{1,64}")
_MAY_BE_ZERO = frozenset({"retry_share", "hedge_share", "straggler_share", "bypass_nodes"})


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a settings file.

    Attributes:
        section: section of the file.
        key: key in the section, or an empty string for the whole section.
        message: what is wrong.
        remedy: what to change, as a sentence.
    """

    section: str
    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".strip()
        return f"{place}: {self.message} {self.remedy}"


def read_file(path: str) -> Settings:
    """Reads a settings file.

    Raises:
        SettingsError: the file cannot be read, or it has faults; all of them are listed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", "Name a readable settings file.") from error
    return read_text(text)


def read_text(text: str) -> Settings:
    """Reads settings from the text of a file.

    Raises:
        SettingsError: the text has faults; all of them are listed, one a line.
    """
    settings, faults = check(text)
    if settings is None:
        raise SettingsError("\n".join(str(fault) for fault in faults))
    return settings


def check(text: str) -> tuple[Settings | None, list[Fault]]:
    """Reads settings and lists all faults; the settings are None if there are any."""
    reader = _Reader()
    parser = reader.parse(text)
    if parser is None:
        return None, reader.faults
    parts = {name: reader.section(parser, name, cls) for name, cls in _SECTIONS.items()}
    seats = reader.seats(parser)
    reader.unknown_sections(parser)
    fleet = FleetSettings(seats=seats, **parts.pop("fleet"))
    built = {name: _SECTIONS[name](**values) for name, values in parts.items()}
    settings = Settings(fleet=fleet, **built)
    known = {(fault.section, fault.key) for fault in reader.faults}
    faults = reader.faults + list(_cross_faults(settings, known))
    return (None if faults else settings), faults


def key_of(field: str) -> str:
    """Returns the key in the file for a field, which is the name without its unit."""
    return _KEY_OF_FIELD.get(field) or field.removesuffix("_ms").removesuffix("_bytes")


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`, where an IPv6 host is in brackets.

    Raises:
        ValueError: the host is not an IP number or the port is not from 1 to 65535.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{port!r} is not a port")
    return host, int(port)


class _Reader:
    """Converts values and collects faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def parse(self, text: str) -> configparser.ConfigParser | None:
        """Parses the text; a duplicate is a fault that does not end the check."""
        for is_strict in (True, False):
            # Z85 keys hold most punctuation, so that neither `:` nor `%` nor `#` is special.
            parser = configparser.ConfigParser(
                strict=is_strict, interpolation=None, delimiters=("=",), default_section=""
            )
            parser.optionxform = str
            try:
                parser.read_string(text)
                return parser
            except (configparser.DuplicateOptionError, configparser.DuplicateSectionError) as error:
                key = getattr(error, "option", "")
                self.fault(error.section, key, f"Line {error.lineno} repeats it.", "Remove one.")
            except configparser.Error as error:
                text = " ".join(str(error).split())
                self.fault("", "", f"The text is not INI: {text}.", "Correct the line.")
                return None
        return None

    def fault(self, section: str, key: str, message: str, remedy: str) -> None:
        """Adds a fault."""
        self.faults.append(Fault(section, key, message, remedy))

    def unknown_sections(self, parser: configparser.ConfigParser) -> None:
        """Checks that each section is known."""
        for name in parser.sections():
            if name not in _SECTIONS and name != _SEATS:
                known = ", ".join((*_SECTIONS, _SEATS))
                self.fault(name, "", "The section is unknown.", f"Use one of: {known}.")

    def section(self, parser: configparser.ConfigParser, name: str, cls: type) -> dict[str, Any]:
        """Reads one section into the fields of its class."""
        fields = {key_of(field.name): field for field in dataclasses.fields(cls)}
        fields.pop(_SEATS, None)
        given = dict(parser[name]) if parser.has_section(name) else {}
        for key in given.keys() - fields.keys():
            self.fault(name, key, "The key is unknown.", f"Use one of: {', '.join(fields)}.")
        values = {}
        for key, field in fields.items():
            is_required = field.default is dataclasses.MISSING
            if is_required:
                values[field.name] = ""
            if key in given:
                self._set(values, name, key, field, given[key])
            elif is_required:
                self.fault(name, key, "The value is missing.", "Set it.")
        return values

    def seats(self, parser: configparser.ConfigParser) -> tuple[Seat, ...]:
        """Reads `[seats]`."""
        given = dict(parser[_SEATS]) if parser.has_section(_SEATS) else {}
        if not given:
            self.fault(_SEATS, "", "The section is missing.", "List all seats of the fleet.")
        seats = []
        for name, text in given.items():
            zone, _, address = text.partition(" ")
            address = address.strip()
            if not _SEAT_NAME.fullmatch(name):
                remedy = "Use lower-case letters, digits and hyphens."
                self.fault(_SEATS, name, "The name is not usable in keys.", remedy)
            elif not _is_address(address):
                remedy = "Write ZONE HOST:PORT with an IP number."
                self.fault(_SEATS, name, f"{text!r} is wrong.", remedy)
            else:
                seats.append(Seat(name, zone, address))
        return tuple(seats)

    def _set(
        self, values: dict[str, Any], section: str, key: str, field: dataclasses.Field, text: str
    ) -> None:
        try:
            values[field.name] = _converted(field, text)
        except ValueError as error:
            self.fault(section, key, f"{text!r} is wrong.", str(error))


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def _converted(field: dataclasses.Field, text: str) -> Any:
    """Converts a value; the text of a `ValueError` is the remedy."""
    if text == "":
        if field.default == "":
            return ""
        raise ValueError("Set it.")
    if field.name.endswith("_ms"):
        return _quantity(text, DURATION_UNITS_MS, "25 ms")
    if field.name.endswith("_bytes"):
        return _quantity(text, SIZE_UNITS_BYTES, "1 MiB")
    if field.type in (int, float):
        return _number(field, text)
    _check_text(field, text)
    return field.type(text)


def _check_text(field: dataclasses.Field, text: str) -> None:
    if field.name.endswith("address") and not _is_address(text):
        raise ValueError("Write HOST:PORT with an IP number.")
    if field.name == "log_level" and text not in LOG_LEVELS:
        raise ValueError(f"Use one of: {', '.join(LOG_LEVELS)}.")
    if field.type is RoutingMode and text not in RoutingMode.__members__.values():
        raise ValueError(f"Use one of: {', '.join(RoutingMode)}.")
    if field.name in ("public_key", "secret_key") and not _Z85.fullmatch(text):
        raise ValueError(f"Write the key as {KEY_CHARS} characters of Z85.")


def _quantity(text: str, units: dict[str, int], example: str) -> int:
    match = re.fullmatch(r"(\d+(?:\.\d+)?) ?([A-Za-z]+)", text)
    if match is None or match.group(2) not in units:
        raise ValueError(f"Write a number and one of {', '.join(units)}, such as {example}.")
    value = float(match.group(1)) * units[match.group(2)]
    if value < 1 or value != int(value):
        raise ValueError(f"Write a whole number of {next(iter(units))} above 0.")
    return int(value)


def _number(field: dataclasses.Field, text: str) -> int | float:
    pattern = r"\d+" if field.type is int else r"\d+(\.\d+)?"
    if not re.fullmatch(pattern, text):
        raise ValueError("Write a plain number without a unit.")
    value = field.type(text)
    if field.name.endswith("_share") and value > 1:
        raise ValueError("Write a share from 0 to 1.")
    if value == 0 and field.name not in _MAY_BE_ZERO:
        raise ValueError("Write a number above 0.")
    return value


def _cross_faults(settings: Settings, known: set[tuple[str, str]]) -> Iterator[Fault]:
    """Checks values against each other, but for those that are known to be wrong alone."""
    checks = (_identity_faults, _address_faults, _key_faults, _order_faults)
    for fault in itertools.chain.from_iterable(check(settings) for check in checks):
        is_about_name = (fault.section, fault.key) == ("node", "name")
        has_faulty_seat = (_SEATS, settings.node.name) in known or (_SEATS, "") in known
        if (fault.section, fault.key) in known or (is_about_name and has_faulty_seat):
            continue
        yield fault


def _identity_faults(settings: Settings) -> Iterator[Fault]:
    node = settings.node
    own = next((seat for seat in settings.fleet.seats if seat.name == node.name), None)
    if own is None:
        remedy = "Use the name of a seat, or add the seat to [seats]."
        yield Fault("node", "name", f"{node.name!r} is not among the seats.", remedy)
    elif own.zone != node.zone:
        message = f"{node.zone!r} differs from {own.zone!r} in [seats]."
        yield Fault("node", "zone", message, "Write the same zone in both places.")


def _address_faults(settings: Settings) -> Iterator[Fault]:
    named = [(_SEATS, seat.name, seat.peer_address) for seat in settings.fleet.seats]
    named.append(("node", "listen_address", settings.node.listen_address))
    named.append(("platform", "address", settings.platform.address))
    for index, (section, key, address) in enumerate(named):
        for other_section, other_key, other in named[:index]:
            if _overlap(address, other):
                message = f"{address} overlaps with [{other_section}] {other_key}."
                yield Fault(section, key, message, "Give each its own address.")
                break


def _overlap(first: str, second: str) -> bool:
    first_host, first_port = split_address(first)
    second_host, second_port = split_address(second)
    if first_port != second_port:
        return False
    hosts = [ipaddress.ip_address(host) for host in (first_host, second_host)]
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)


def _key_faults(settings: Settings) -> Iterator[Fault]:
    fleet = settings.fleet
    if bool(fleet.public_key) != bool(fleet.secret_key):
        missing = "public_key" if fleet.secret_key else "secret_key"
        yield Fault("fleet", missing, "The other key is set.", "Set both keys or none.")
    if fleet.public_key:
        return
    for seat in fleet.seats:
        if not ipaddress.ip_address(split_address(seat.peer_address)[0]).is_loopback:
            message = f"{seat.peer_address} is not a loopback address and the fleet has no keys."
            remedy = "Set public_key and secret_key in [fleet]."
            yield Fault(_SEATS, seat.name, message, remedy)


def _order_faults(settings: Settings) -> Iterator[Fault]:
    fleet, requests, platform = settings.fleet, settings.requests, settings.platform
    for section, part, key, larger_key in (
        ("fleet", fleet, "heartbeat", "suspicion"),
        ("fleet", fleet, "heartbeat", "hold_time"),
        ("platform", platform, "backoff_first", "backoff_cap"),
        ("requests", requests, "default_deadline", "max_deadline"),
    ):
        smaller, larger = getattr(part, f"{key}_ms"), getattr(part, f"{larger_key}_ms")
        if smaller > larger:
            message = f"{smaller} ms is longer than {larger_key} with {larger} ms."
            yield Fault(section, key, message, f"Set {key} to at most {larger_key}.")
