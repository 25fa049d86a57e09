"""Odd entries of another writer among the registrations of targets, as raw JSON text."""

import dataclasses
import json
import random

# Depths of nesting: one that the standard decoder reads and few other functions, and one that
# exceeds its stack.
READABLE_DEPTH = 900
EXCESSIVE_DEPTH = 100_000
LONG_NAME_LENGTH = 1_000_000


@dataclasses.dataclass(frozen=True)
class OddEntry:
    """An entry that names no target to use.

    Attributes:
        kind: what is odd about it.
        spec: the JSON text of its spec, which may have bytes that are not UTF-8.
        name: its name.
    """

    kind: str
    spec: bytes
    name: str = "odd-entry"

    @property
    def stored_object(self) -> bytes:
        """The JSON text of the object in the store."""
        metadata = json.dumps({"name": self.name, "revision": 7, "create_revision": 7})
        return b'{"metadata": %s, "spec": %s, "status": null}' % (metadata.encode(), self.spec)


def nested(depth: int) -> str:
    """Returns the JSON text of lists in lists."""
    return "[" * depth + "]" * depth


def odd_entries(sound_spec: dict) -> list[OddEntry]:
    """Returns entries that differ from a sound one in one respect.

    Args:
        sound_spec: spec of a sound entry.
    """
    replaced = [
        (field, kind, text)
        for field in ("service", "address", "zone", "slots", "state", "born")
        for kind, text in (
            ("nested", nested(READABLE_DEPTH)),
            ("nested beyond the stack", nested(EXCESSIVE_DEPTH)),
            ("integer of 5,000 digits", "9" * 5_000),
            ("1e400", "1e400"),
            ("not a number", "NaN"),
            ("lone surrogate", '"\\ud800"'),
            ("object", "{}"),
            ("boolean", "true"),
        )
    ]
    replaced += [
        ("address", "address", json.dumps(address))
        for address in (
            *("10.0.0.9:65536", "10.0.0.9:99999999999999999999", "10.0.0.9:-1", "10.0.0.9:0"),
            *("\ufffd\ufffd\ufffd.64.13:80", "\ud800.64.13:80", "10.0.0.9\0:80", "10.0.0.9 :80"),
            *("localhost:80", "target.example:80", "::1:80", "[fe80::1%eth0]:80", "[10.0.0.9]:80"),
            *("0.0.0.0:80", "[::]:80", "224.0.0.1:80", ":80", "80", "x" * 70_000 + ":80"),
        )
    ]
    entries = [
        OddEntry(f"{field}: {kind}", _spec(sound_spec, field, text.encode()))
        for field, kind, text in replaced
    ]
    sound = json.dumps(sound_spec).encode()
    entries += [
        OddEntry("bytes that are not UTF-8", _spec(sound_spec, "address", b'"\xff\xfe.0.9:80"')),
        OddEntry("spec nested beyond the stack", nested(EXCESSIVE_DEPTH).encode()),
        OddEntry("spec of objects", b'{"a":' * EXCESSIVE_DEPTH + b"1" + b"}" * EXCESSIVE_DEPTH),
        OddEntry("no spec", b"null"),
        OddEntry("text as spec", b'"text"'),
        OddEntry("name with a line break", sound, "odd\r\nX-Target: 1"),
        OddEntry("name with a lone surrogate", sound, "odd-\ud800"),
        OddEntry("name of a megabyte", sound, "odd" + "x" * LONG_NAME_LENGTH),
    ]
    return entries


def draw(rng: random.Random, sound_spec: dict) -> OddEntry:
    """Draws one of the odd entries, with a name of its own."""
    entry = rng.choice(odd_entries(sound_spec))
    return dataclasses.replace(entry, name=f"{entry.name}{rng.randrange(10**6)}")


def _spec(sound_spec: dict, field: str, text: bytes) -> bytes:
    """Returns the JSON text of a spec in which one field has the given text as its value."""
    fields = {name: json.dumps(value).encode() for name, value in sound_spec.items()}
    fields[field] = text
    return b"{%s}" % b", ".join(
        json.dumps(name).encode() + b": " + value for name, value in fields.items()
    )
