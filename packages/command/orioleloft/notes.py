"""Sub-commands for release notes: check, plan, publish, list and show."""

import dataclasses
import pathlib
import time

from orioleloft.driver import drive
from orioleloft.report import ExitCode, Report
from orioleloft_core import head, note, publishing, release
from orioleloft_core.errors import NoteError
from orioleloft_platform.objectstore import ObjectStore


def check(path: str) -> Report:
    """Checks a note file without the platform and reports all its faults."""
    found, faults = note.check(_text(path))
    if found is None:
        lines = tuple(f"{path}: {fault}" for fault in faults)
        document = {"outcome": "faults", "faults": [dataclasses.asdict(it) for it in faults]}
        return Report(lines, document, ExitCode.FAULT)
    document = {"outcome": "ok", "id": found.id, "base": found.base, "sections": len(found.edits)}
    text = f"{path}: no faults; note {found.id}, base {found.base}, changes: {len(found.edits)}"
    return Report((text,), document)


async def plan(path: str, store: ObjectStore) -> Report:
    """Shows what a note file would change against the version in force."""
    found = note.parse(_text(path))
    planned = await drive(publishing.preview(found), store)
    if isinstance(planned, publishing.Refused):
        return _refused(found, planned)
    if isinstance(planned, publishing.Accepted):
        return _accepted(found, planned)
    lines = [f"note {found.id} on base {found.base} would become version {planned.head.version}"]
    lines += [_line(difference) for difference in planned.differences]
    changes = [dataclasses.asdict(difference) for difference in planned.differences]
    document = {"outcome": "planned", "id": found.id, "version": planned.head.version}
    return Report(tuple(lines), document | {"changes": changes})


async def publish(path: str, operator: str, store: ObjectStore) -> Report:
    """Publishes a note file; publishing the same file again is safe.

    Raises:
        NoteError: the file is unreadable or has faults, or its base is above the version in force.
        PlatformDownError: nothing was released.
        OutcomeUnknownError: the note may or may not be in force.
    """
    found = note.parse(_text(path))
    now_ms = int(time.time() * 1000)
    outcome = await drive(publishing.publish(found, operator, now_ms), store)
    if isinstance(outcome, publishing.Refused):
        return _refused(found, outcome)
    return _accepted(found, outcome)


async def list_notes(store: ObjectStore) -> Report:
    """Lists the names of all notes; the platform's list may lag.

    One call is made: a note's object is written a second time when the note is accepted or refused.
    """
    listed = await store.list(head.NOTE_PREFIX)
    notes = [
        {"name": item.name.removeprefix(head.NOTE_PREFIX), "decided": item.version > 1}
        for item in listed
    ]
    lines = tuple(f"{it['name']} {'decided' if it['decided'] else 'submitted'}" for it in notes)
    return Report(lines, notes)


async def show(name: str, store: ObjectStore) -> Report:
    """Shows the text of a note and what became of it.

    Raises:
        NoteError: there is no such note.
    """
    found = await store.read(head.note_object(name))
    if found is None:
        raise NoteError(f"there is no note {name}.", "List the notes with `orioleloft note list`.")
    record = head.NoteRecord.from_document(found.value)
    lines = [f"note {record.note_id} of {record.operator}: {record.state}"]
    if record.version:
        lines.append(f"version {record.version}")
    if record.refusal:
        lines.append(f"{record.refusal} {record.remedy}".strip())
    return Report((*lines, "", record.text), record.to_document())


def _text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise NoteError(f"{path} cannot be read: {error}.", "Name a UTF-8 text file.") from error


def _accepted(found: note.Note, accepted: publishing.Accepted) -> Report:
    word = "was accepted before" if accepted.is_repeat else "accepted"
    document = {"outcome": "accepted", "id": found.id, "version": accepted.version}
    line = f"note {found.id} {word} as version {accepted.version}"
    return Report((line,), document | {"repeat": accepted.is_repeat})


def _refused(found: note.Note, refused: publishing.Refused) -> Report:
    document = {"outcome": "refused", "id": found.id} | dataclasses.asdict(refused)
    line = f"note {found.id} is refused: {refused.reason} {refused.remedy}".strip()
    return Report((line,), document, ExitCode.REFUSED)


def _line(difference: release.Difference) -> str:
    if not difference.before:
        return f"+ {difference.path}: {difference.after}"
    if not difference.after:
        return f"- {difference.path}: {difference.before}"
    return f"~ {difference.path}: {difference.before} -> {difference.after}"
