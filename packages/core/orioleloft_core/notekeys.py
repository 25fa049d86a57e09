"""Keys of a release note's sections and how their values are read."""

import dataclasses
import enum
import ipaddress
import re
from collections.abc import Callable, Mapping

MAX_NUMBER = 1_000_000
MAX_PORT = 65535

# Names are parts of object names and paths, so they hold no slash.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

Value = str | int | bool


class Kind(enum.StrEnum):
    """What a section describes."""

    ZONE = "zone"
    SERVICE = "service"
    TARGET = "target"
    CUSTOMER = "customer"


@dataclasses.dataclass(frozen=True)
class Key:
    """A key of a section.

    Attributes:
        name: name in the text.
        read: turns the text into fields of the data class; raises ValueError with what is expected.
        is_required: whether a section that adds must state it.
    """

    name: str
    read: Callable[[str], Mapping[str, Value]]
    is_required: bool = False


def _number(field: str, least: int) -> Callable[[str], Mapping[str, Value]]:
    def read(text: str) -> Mapping[str, Value]:
        if not (text.isascii() and text.isdecimal()) or not least <= int(text) <= MAX_NUMBER:
            raise ValueError(f"a whole number from {least} to {MAX_NUMBER}")
        return {field: int(text)}

    return read


def _choice(field: str, choices: Mapping[str, Value]) -> Callable[[str], Mapping[str, Value]]:
    def read(text: str) -> Mapping[str, Value]:
        if text not in choices:
            raise ValueError(" or ".join(choices))
        return {field: choices[text]}

    return read


def read_name(field: str) -> Callable[[str], Mapping[str, Value]]:
    """Returns a reader of names into a field."""

    def read(text: str) -> Mapping[str, Value]:
        if not NAME.fullmatch(text):
            raise ValueError("a name of letters, digits, dots, dashes and underscores")
        return {field: text}

    return read


def _address(text: str) -> Mapping[str, Value]:
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("an address of the form ip:port") from None
    if not (port.isascii() and port.isdecimal()) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"an address whose port is from 1 to {MAX_PORT}")
    if (ip.version == 6) != host.startswith("["):
        raise ValueError("an address of the form ip:port or [ip]:port")
    return {"host": str(ip), "port": int(port)}


# Keys of each section, in the order in which faults name them.
KEYS: dict[Kind, tuple[Key, ...]] = {
    Kind.ZONE: (
        Key("region", read_name("region"), is_required=True),
        Key("state", _choice("is_open", {"open": True, "closed": False})),
    ),
    Kind.SERVICE: (
        Key("slots", _number("slots", 1), is_required=True),
        Key("connections", _number("connections", 1)),
        Key("overlap", _number("overlap", 0)),
        Key("cold_limit", _number("cold_limit", 1)),
        Key("service_ms", _number("service_ms", 1)),
    ),
    Kind.TARGET: (
        Key("address", _address, is_required=True),
        Key("zone", read_name("zone"), is_required=True),
        Key("state", _choice("is_draining", {"serving": False, "draining": True})),
    ),
    Kind.CUSTOMER: (Key("weight", _number("weight", 1), is_required=True),),
}
