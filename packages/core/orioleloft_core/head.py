"""Documents that release notes keep on the platform, and the names of their objects.

=========================  ========================================================================
object                     value
=========================  ========================================================================
`head`                     `Head`: the version in force; its object version is the catalog version
`service/S/ID/DIGEST`      `Part`: a service and its targets; immutable
`note/NAME`                `NoteRecord`: the text of a note and what became of it
`audit/V`                  `Entry` of version V; written before version V + 1 is accepted
`refusal/MS.NAME`          `Refusal`: one for each refused note, ordered by time
`assignment`               holders of groups, see `effects.WriteAssignment`
=========================  ========================================================================

A note's object is named by the note's name, so that creating it also claims the name: a second note
of that name with other content is refused. A part's name ends with a digest of its content, so that
two publishers of one note that merge into different versions never need one name for two contents.
"""

import dataclasses
import enum
import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from orioleloft_core import hashing
from orioleloft_core.catalog import Catalog, Customer, Service, Target, Zone
from orioleloft_core.errors import DocumentError

HEAD = "head"
ASSIGNMENT = "assignment"
NOTE_PREFIX = "note/"
AUDIT_PREFIX = "audit/"
REFUSAL_PREFIX = "refusal/"

MAX_DOCUMENT_BYTES = 1024 * 1024
# The history shares the head with zones, customers and the names of the parts.
MAX_HISTORY_ENTRIES = 100
MAX_HISTORY_BYTES = 256 * 1024

_DIGEST_DIGITS = 16

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class Entry:
    """One accepted note in the history of the head.

    Attributes:
        version: version that the note became.
        note_id: id of the note.
        operator: who published it.
        time_ms: operator's wall clock at publishing, milliseconds since 1970.
        base: version that the note is based on.
        paths: paths that the note touched, sorted.
    """

    version: int
    note_id: str
    operator: str
    time_ms: int
    base: int
    paths: tuple[str, ...]

    @property
    def note_name(self) -> str:
        """Name of the note, without the digest of its content."""
        return self.note_id.rpartition("-")[0]

    def to_document(self) -> dict[str, Any]:
        """Returns the entry as plain values."""
        return dataclasses.asdict(self)

    @classmethod
    def from_document(cls, document: Any) -> "Entry":
        """Builds an entry from `to_document`'s form.

        Raises:
            DocumentError: the document has another form.
        """
        return _built("entry", lambda: cls(**{**document, "paths": tuple(document["paths"])}))


@dataclasses.dataclass(frozen=True)
class Head:
    """The head document.

    Attributes:
        version: version of the head object, 0 before the first note.
        zones: zones, sorted by name.
        customers: customers, sorted by name.
        services: names of services and of the objects that hold them, sorted.
        history: the last accepted notes, oldest first; it ends with `version`.
    """

    version: int = 0
    zones: tuple[Zone, ...] = ()
    customers: tuple[Customer, ...] = ()
    services: tuple[tuple[str, str], ...] = ()
    history: tuple[Entry, ...] = ()

    @property
    def objects(self) -> dict[str, str]:
        """Object name of each service."""
        return dict(self.services)

    def to_document(self) -> dict[str, Any]:
        """Returns the head as plain values; the version is the object's own."""
        return {
            "zones": [dataclasses.asdict(zone) for zone in self.zones],
            "customers": [dataclasses.asdict(customer) for customer in self.customers],
            "services": dict(self.services),
            "history": [entry.to_document() for entry in self.history],
        }

    @classmethod
    def from_document(cls, version: int, document: Any) -> "Head":
        """Builds a head from the value and the version of its object.

        Raises:
            DocumentError: the document has another form, or its history does not end with
                `version` because something other than a release note wrote the object.
        """
        head = _built(
            "head",
            lambda: cls(
                version=version,
                zones=tuple(Zone(**item) for item in document["zones"]),
                customers=tuple(Customer(**item) for item in document["customers"]),
                services=tuple(sorted(document["services"].items())),
                history=tuple(Entry.from_document(item) for item in document["history"]),
            ),
        )
        if not head.history or head.history[-1].version != version:
            message = f"head version {version} has no entry in its own history."
            raise DocumentError(message, "Write the head only through release notes.")
        return head


@dataclasses.dataclass(frozen=True)
class Part:
    """A service and its targets, sorted by name."""

    service: Service
    targets: tuple[Target, ...] = ()

    def to_document(self) -> dict[str, Any]:
        """Returns the part as plain values."""
        targets = [dataclasses.asdict(target) for target in self.targets]
        return {"service": dataclasses.asdict(self.service), "targets": targets}

    @classmethod
    def from_document(cls, document: Any) -> "Part":
        """Builds a part from `to_document`'s form.

        Raises:
            DocumentError: the document has another form.
        """
        return _built(
            "service",
            lambda: cls(
                service=Service(**document["service"]),
                targets=tuple(Target(**item) for item in document["targets"]),
            ),
        )

    def object_name(self, note_id: str) -> str:
        """Returns the name of the object that holds this part for the note."""
        text = json.dumps(self.to_document(), sort_keys=True).encode()
        return f"service/{self.service.name}/{note_id}/{hashing.fingerprint(text)[:_DIGEST_DIGITS]}"


class NoteState(enum.StrEnum):
    """What became of a note."""

    SUBMITTED = "submitted"
    ACCEPTED = "accepted"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class NoteRecord:
    """Value of a note's object.

    Attributes:
        note_id: id of the note.
        text: the note as submitted.
        operator: who submitted it first.
        time_ms: wall clock at that time, milliseconds since 1970.
        state: what became of the note.
        version: version that an accepted note became, otherwise 0.
        refusal: why the note was refused, otherwise empty.
        remedy: what to do about the refusal.
        refused_ms: time of the refusal, milliseconds since 1970, otherwise 0.
    """

    note_id: str
    text: str
    operator: str
    time_ms: int
    state: NoteState = NoteState.SUBMITTED
    version: int = 0
    refusal: str = ""
    remedy: str = ""
    refused_ms: int = 0

    def to_document(self) -> dict[str, Any]:
        """Returns the record as plain values."""
        return dataclasses.asdict(self)

    @classmethod
    def from_document(cls, document: Any) -> "NoteRecord":
        """Builds a record from `to_document`'s form.

        Raises:
            DocumentError: the document has another form.
        """
        return _built("note", lambda: cls(**{**document, "state": NoteState(document["state"])}))


@dataclasses.dataclass(frozen=True)
class Refusal:
    """One refused note for the audit; fields as in `NoteRecord`, with the base of the note."""

    note_id: str
    operator: str
    time_ms: int
    base: int
    reason: str

    def to_document(self) -> dict[str, Any]:
        """Returns the refusal as plain values."""
        return dataclasses.asdict(self)

    @classmethod
    def from_document(cls, document: Any) -> "Refusal":
        """Builds a refusal from `to_document`'s form.

        Raises:
            DocumentError: the document has another form.
        """
        return _built("refusal", lambda: cls(**document))


def note_object(name: str) -> str:
    """Returns the name of the object of the note with this name."""
    return f"{NOTE_PREFIX}{name}"


def audit_object(version: int) -> str:
    """Returns the name of the audit object of a version."""
    return f"{AUDIT_PREFIX}{version}"


def refusal_object(time_ms: int, name: str) -> str:
    """Returns the name of a refusal's object; names sort by time."""
    return f"{REFUSAL_PREFIX}{time_ms:015d}.{name}"


def catalog(head: Head, parts: Mapping[str, Part]) -> Catalog:
    """Returns the catalog of a head whose parts have been read.

    Args:
        head: the head.
        parts: part of each service of the head.

    Raises:
        KeyError: a part is missing.
    """
    ordered = [parts[name] for name, _ in head.services]
    return Catalog(
        version=head.version,
        zones=head.zones,
        services=tuple(part.service for part in ordered),
        targets=tuple(target for part in ordered for target in part.targets),
        customers=head.customers,
    )


def document_bytes(document: Any) -> int:
    """Returns the size of a document as JSON, in bytes."""
    return len(json.dumps(document, separators=(",", ":")).encode())


def trimmed(history: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Returns the newest entries that fit the head; at least the newest one."""
    kept: list[Entry] = []
    size = 0
    for entry in reversed(history[-MAX_HISTORY_ENTRIES:]):
        size += document_bytes(entry.to_document())
        if kept and size > MAX_HISTORY_BYTES:
            break
        kept.append(entry)
    return tuple(reversed(kept))


def _built(kind: str, build: Callable[[], _T]) -> _T:
    try:
        return build()
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        message = f"the {kind} document has another form: {error!r}."
        raise DocumentError(message, "Use an orioleloft of the version that wrote it.") from error
