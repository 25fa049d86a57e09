"""Publishing of a note as a generator that yields platform calls and takes their results.

The driver runs each call and sends its result back, or throws `PlatformDownError`, `ConflictError`
or `OutcomeUnknownError` into the generator. The generator ends with `Accepted` or `Refused`, or
raises `PlatformDownError` (this run released nothing and the note may be published again) or
`OutcomeUnknownError` (the note may or may not be in force).

Publishing first claims the name by creating the note's object, then writes the parts, and then
updates the head on condition of the version that was read. Every step can be repeated: a note's
object and its parts have one content for their name, and a head version names the note that made
it. So a publisher that crashed, lost an answer or runs twice comes to the same end.

Before the head of version v is replaced, the note that made v is marked as accepted and the audit
object of v is created, in this order. An audit object therefore shows that both were done.
"""

import contextlib
import dataclasses
from collections.abc import Generator
from typing import Any

from orioleloft_core import head as headdocument
from orioleloft_core import release
from orioleloft_core.errors import (
    ConflictError,
    DocumentError,
    NoteError,
    OutcomeUnknownError,
    PlatformDownError,
    ReleaseRefusedError,
)
from orioleloft_core.head import Entry, Head, NoteRecord, NoteState, Part, Refusal
from orioleloft_core.note import Note

# Each attempt either meets another accepted note or a lost answer.
MAX_ATTEMPTS = 30
# A base that is older takes more reads than a publisher should cost the platform.
MAX_AUDIT_READS = 500
# Writes of objects that have one content for their name are repeated after a lost answer.
MAX_WRITE_ATTEMPTS = 3

_AGAIN = "Publish the same note again."


@dataclasses.dataclass(frozen=True)
class Read:
    """Read objects; the result is a tuple of `Found` or None for each name."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Create:
    """Create an object; the result is its version."""

    name: str
    value: Any


@dataclasses.dataclass(frozen=True)
class Update:
    """Replace an object that still has `version`; the result is the new version."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class Found:
    """An object as read."""

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The note is in force; `is_repeat` tells that an earlier run released it."""

    version: int
    is_repeat: bool = False


@dataclasses.dataclass(frozen=True)
class Refused:
    """The note is refused and never takes effect."""

    reason: str
    remedy: str


Call = Read | Create | Update
Outcome = Accepted | Refused
Steps = Generator[Call, Any, Any]


def publish(note: Note, operator: str, now_ms: int) -> Generator[Call, Any, Outcome]:
    """Publishes a note.

    Args:
        note: the note.
        operator: who publishes.
        now_ms: operator's wall clock, milliseconds since 1970.

    Raises:
        NoteError: the note's base is above the version in force or cannot be read back, or a
            document would be over the platform's limit; this run released nothing.
        PlatformDownError: this run released nothing.
        OutcomeUnknownError: the note may or may not be in force.
    """
    return (yield from _Publisher(note, operator, now_ms).run())


def read_head() -> Generator[Call, Any, Head]:
    """Reads the head; version 0 if there is none."""
    (found,) = yield Read((headdocument.HEAD,))
    return Head.from_document(found.version, found.value) if found else Head()


def read_parts(
    head: Head, services: tuple[str, ...], known: dict[str, Part]
) -> Generator[Call, Any, dict[str, Part]]:
    """Reads the parts of some services of the head.

    Args:
        head: the head.
        services: services of the head.
        known: parts by object name; those read are added.

    Returns:
        The parts by service.

    Raises:
        PlatformDownError: a part is missing, which a stale read can cause.
    """
    objects = head.objects
    missing = tuple(objects[name] for name in services if objects[name] not in known)
    found = (yield Read(missing)) if missing else ()
    for name, item in zip(missing, found, strict=True):
        if item is None:
            raise PlatformDownError(f"the platform does not show {name} yet.", _AGAIN)
        known[name] = Part.from_document(item.value)
    return {name: known[objects[name]] for name in services}


def read_accepted(
    base: int, head: Head, known: dict[int, Entry]
) -> Generator[Call, Any, tuple[Entry, ...]]:
    """Reads the entries of all versions above the base, from the head and the audit.

    Args:
        base: version that a note is based on.
        head: the head.
        known: entries by version; those read are added.

    Raises:
        ReleaseRefusedError: the base is too old.
        NoteError: an audit object is missing. A stale read can cause this, so it is no final
            refusal.
    """
    known.update((entry.version, entry) for entry in head.history)
    versions = range(base + 1, head.version + 1)
    missing = tuple(version for version in versions if version not in known)
    remedy = f"Set base to {head.version}, check the plan, and publish it under a new name."
    if len(missing) > MAX_AUDIT_READS:
        reason = f"base {base} is {head.version - base} versions older than the one in force."
        raise ReleaseRefusedError(reason, remedy)
    names = tuple(headdocument.audit_object(version) for version in missing)
    found = (yield Read(names)) if names else ()
    for version, item in zip(missing, found, strict=True):
        if item is None:
            reason = f"base {base} is older than the head's history and audit/{version} is missing."
            raise NoteError(reason, remedy)
        known[version] = Entry.from_document(item.value)
    return tuple(known[version] for version in versions)


def preview(note: Note) -> Generator[Call, Any, release.Plan | Outcome]:
    """Plans a note against the version in force and writes nothing.

    Returns:
        The plan; or `Accepted` if the note is in force already; or why publishing would refuse it.

    Raises:
        NoteError: as `publish`.
        PlatformDownError: the platform did not answer.
    """
    head = yield from read_head()
    _check_base(note, head)
    (found,) = yield Read((headdocument.note_object(note.name),))
    if found:
        decided = _decided(note, NoteRecord.from_document(found.value))
        if decided:
            return decided
    try:
        accepted = yield from read_accepted(note.base, head, {})
        own = _own_entry(note, accepted)
        if own:
            return Accepted(own.version, is_repeat=True)
        return (yield from _plan(note, head, accepted, {}))
    except ReleaseRefusedError as error:
        return _refused(error)


class _Publisher:
    """One run of publishing."""

    def __init__(self, note: Note, operator: str, now_ms: int) -> None:
        self._note = note
        self._operator = operator
        self._now_ms = now_ms
        self._name = headdocument.note_object(note.name)
        # Version on which a head update was sent whose answer was lost, and may still take effect.
        self._outstanding: int | None = None
        self._entries: dict[int, Entry] = {}
        self._parts: dict[str, Part] = {}

    def run(self) -> Generator[Call, Any, Outcome]:
        _check_base(self._note, (yield from read_head()))
        record = yield from self._claim_name()
        decided = yield from self._recorded(record)
        if decided:
            return decided
        try:
            return (yield from self._release())
        except (PlatformDownError, DocumentError, NoteError) as error:
            self._raise_if_outstanding(error)
            raise

    def _release(self) -> Generator[Call, Any, Outcome]:
        for _ in range(MAX_ATTEMPTS):
            outcome = yield from self._attempt()
            if outcome:
                return outcome
        self._raise_if_outstanding(None)
        message = f"other notes were accepted during each of {MAX_ATTEMPTS} attempts."
        raise PlatformDownError(message, _AGAIN)

    def _attempt(self) -> Generator[Call, Any, Outcome | None]:
        """Tries once to become the next version; None to try again."""
        head = yield from read_head()
        if head.version < max(self._note.base, self._outstanding or 0):
            # A stale read must not decide about a write that may still take effect.
            return None
        try:
            accepted = yield from read_accepted(self._note.base, head, self._entries)
            own = _own_entry(self._note, accepted)
            if own:
                return (yield from self._finish(own, is_repeat=self._outstanding is None))
            if self._outstanding is not None and head.version > self._outstanding:
                self._outstanding = None
            planned = yield from _plan(
                self._note, head, accepted, self._parts, self._operator, self._now_ms
            )
        except ReleaseRefusedError as error:
            self._raise_if_outstanding(error)
            return (yield from self._refuse(error))
        for name, part in planned.parts.items():
            yield from _create_once(name, part.to_document())
        if head.history:
            yield from self._settle(head.history[-1])
        return (yield from self._write_head(head.version, planned.head))

    def _write_head(self, version: int, head: Head) -> Generator[Call, Any, Outcome | None]:
        document = head.to_document()
        try:
            if version:
                yield Update(headdocument.HEAD, version, document)
            else:
                yield Create(headdocument.HEAD, document)
        except ConflictError:
            return None
        except OutcomeUnknownError:
            self._outstanding = version
            return None
        return (yield from self._finish(head.history[-1], is_repeat=False))

    def _finish(self, entry: Entry, is_repeat: bool) -> Generator[Call, Any, Accepted]:
        """Marks an accepted note; the next publisher does it if this one fails."""
        with contextlib.suppress(PlatformDownError, ConflictError, OutcomeUnknownError):
            yield from self._settle(entry)
        return Accepted(entry.version, is_repeat)

    def _settle(self, entry: Entry) -> Steps:
        """Marks the note of an entry as accepted and creates the audit object."""
        audit = headdocument.audit_object(entry.version)
        (found,) = yield Read((audit,))
        if found:
            return
        name = headdocument.note_object(entry.note_name)
        for _ in range(MAX_WRITE_ATTEMPTS):
            (found,) = yield Read((name,))
            if found is None:
                raise PlatformDownError(f"the platform does not show {name} yet.", _AGAIN)
            record = NoteRecord.from_document(found.value)
            if record.state is NoteState.ACCEPTED:
                break
            marked = dataclasses.replace(
                record, state=NoteState.ACCEPTED, version=entry.version, refusal="", remedy=""
            )
            if (yield from _update_once(name, found.version, marked.to_document())):
                break
        else:
            raise PlatformDownError(f"{name} could not be marked as accepted.", _AGAIN)
        yield from _create_once(audit, entry.to_document())

    def _claim_name(self) -> Generator[Call, Any, NoteRecord]:
        """Creates the note's object, or reads the one that has the name."""
        note = self._note
        record = NoteRecord(note.id, note.text, self._operator, self._now_ms)
        yield from _create_once(self._name, record.to_document())
        return (yield from self._read_record())[1]

    def _read_record(self) -> Generator[Call, Any, tuple[int, NoteRecord]]:
        (found,) = yield Read((self._name,))
        if found is None:
            raise PlatformDownError(f"the platform does not show {self._name} yet.", _AGAIN)
        return found.version, NoteRecord.from_document(found.value)

    def _recorded(self, record: NoteRecord) -> Generator[Call, Any, Outcome | None]:
        """Returns the outcome that the record shows, or None."""
        is_own = record.note_id == self._note.id
        if is_own and record.state is NoteState.REFUSED:
            yield from self._list_refusal(record)
        return _decided(self._note, record)

    def _refuse(self, error: ReleaseRefusedError) -> Generator[Call, Any, Outcome]:
        """Records a refusal; it counts only once it is recorded."""
        refusal = _refused(error)
        for _ in range(MAX_WRITE_ATTEMPTS):
            version, record = yield from self._read_record()
            decided = yield from self._recorded(record)
            if decided:
                return decided
            refused = dataclasses.replace(
                record,
                state=NoteState.REFUSED,
                refusal=refusal.reason,
                remedy=refusal.remedy,
                refused_ms=self._now_ms,
            )
            if (yield from _update_once(self._name, version, refused.to_document())):
                yield from self._list_refusal(refused)
                return refusal
        raise PlatformDownError("the refusal of the note could not be recorded.", _AGAIN)

    def _list_refusal(self, record: NoteRecord) -> Steps:
        """Adds a refusal to the audit; its name follows from the record, so it is added once."""
        name = headdocument.refusal_object(record.refused_ms, self._note.name)
        refusal = Refusal(
            record.note_id, record.operator, record.refused_ms, self._note.base, record.refusal
        )
        try:
            yield from _create_once(name, refusal.to_document())
        except PlatformDownError:
            # The refusal is final already; a resubmission adds it to the audit.
            return

    def _raise_if_outstanding(self, error: Exception | None) -> None:
        if self._outstanding is not None:
            message = f"the answer to the release of {self._note.id} was lost."
            raise OutcomeUnknownError(message, _AGAIN) from error


def _check_base(note: Note, head: Head) -> None:
    if note.base > head.version:
        message = f"base {note.base} is above version {head.version} in force."
        raise NoteError(message, "Set base to the version in force.")


def _own_entry(note: Note, accepted: tuple[Entry, ...]) -> Entry | None:
    return next((entry for entry in accepted if entry.note_id == note.id), None)


def _plan(
    note: Note,
    head: Head,
    accepted: tuple[Entry, ...],
    known: dict[str, Part],
    operator: str = "",
    now_ms: int = 0,
) -> Generator[Call, Any, release.Plan]:
    objection = release.overlap(note, accepted)
    if objection:
        raise ReleaseRefusedError(objection.reason, objection.remedy)
    parts = yield from read_parts(head, release.services_needed(note, head), known)
    return release.plan(note, release.InForce(head, parts), operator, now_ms)


def _decided(note: Note, record: NoteRecord) -> Outcome | None:
    """Returns the outcome that follows from the object of the note's name, or None."""
    if record.note_id != note.id:
        reason = f"the name {note.name} belongs to note {record.note_id}."
        return Refused(reason, "Give this note a name that was never used.")
    if record.state is NoteState.ACCEPTED:
        return Accepted(record.version, is_repeat=True)
    if record.state is NoteState.REFUSED:
        return Refused(record.refusal, record.remedy)
    return None


def _refused(error: ReleaseRefusedError) -> Refused:
    return Refused(str(error).removesuffix(error.remedy).strip(), error.remedy)


def _create_once(name: str, value: Any) -> Steps:
    """Creates an object that has one content for its name; one that exists is left as it is."""
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            yield Create(name, value)
        except ConflictError:
            return
        except OutcomeUnknownError:
            continue
        return
    raise PlatformDownError(f"the answers to the creation of {name} were lost.", _AGAIN)


def _update_once(name: str, version: int, value: Any) -> Generator[Call, Any, bool]:
    """Updates an object; False when it must be read again."""
    try:
        yield Update(name, version, value)
    except (ConflictError, OutcomeUnknownError):
        return False
    return True
