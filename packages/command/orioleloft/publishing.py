"""Publishing of release notes: conditional writes, repeated safely, with an audit trail."""

import dataclasses
import time
from typing import Protocol

from orioleloft_core import note as notes
from orioleloft_core.errors import OutcomeUnknownError, ReleaseRefusedError
from orioleloft_core.note import Note, ZoneEdit
from orioleloft_core.routes import RouteTable

# Operators that publish at once meet a few times; more conflicts in a row point to a fault.
MAX_CONFLICTS = 8


class ConflictError(Exception):
    """A conditional write met another version."""


@dataclasses.dataclass(frozen=True)
class Published:
    """A route table in the store.

    Attributes:
        table: the table, or None before the first one.
        revision: revision of its object, 0 before the first one.
    """

    table: RouteTable | None
    revision: int


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """One accepted change.

    Attributes:
        note: name of the note.
        digest: digest of its text.
        author: who wrote it.
        operator: who published it.
        version: version that it became, 0 for a note that changes zones only.
        time_ms: Unix milliseconds.
        edits: what it touched, as text.
    """

    note: str
    digest: str
    author: str
    operator: str
    version: int
    time_ms: int
    edits: tuple[str, ...]


class OperatorStore(Protocol):
    """What the command reads and writes."""

    async def read_published(self) -> Published:
        """Returns the table in force."""

    async def write_published(self, old: Published, table: RouteTable) -> None:
        """Writes a table if the old one is still in force, else raises `ConflictError`.

        Raises `OutcomeUnknownError` if the answer was lost.
        """

    async def set_zone(self, zone: str, is_closed: bool) -> None:
        """Takes an availability zone out or brings it back."""

    async def append_audit(self, entry: AuditEntry) -> None:
        """Stores an entry of the audit trail; an equal one is kept once."""

    async def read_audit(self) -> list[AuditEntry]:
        """Returns the audit trail, the oldest entry first."""


async def publish(store: OperatorStore, note: Note, operator: str) -> AuditEntry:
    """Publishes a note.

    Two notes that touch different things are both accepted in either order. A note that meets a
    change of what it touches is refused.

    Raises:
        ReleaseRefusedError: the note does not fit what is in force.
        OutcomeUnknownError: the note may or may not be in force.
    """
    published_before = await _find(store, note)
    if published_before is not None:
        return published_before
    version = await _publish_table(store, note) if note.has_table_edits else 0
    for edit in note.edits:
        if isinstance(edit, ZoneEdit):
            await store.set_zone(edit.name, edit.is_closed)
    entry = AuditEntry(
        note.name,
        note.digest,
        note.author,
        operator,
        version,
        time.time_ns() // 1_000_000,
        tuple(sorted(" ".join(item).strip() for item in notes.touched(note))),
    )
    await store.append_audit(entry)
    return entry


async def _find(store: OperatorStore, note: Note) -> AuditEntry | None:
    for entry in await store.read_audit():
        if entry.note != note.name:
            continue
        if entry.digest == note.digest:
            return entry
        raise ReleaseRefusedError(
            f"another note named {note.name} was accepted.", "Give the note a new name."
        )
    return None


async def _publish_table(store: OperatorStore, note: Note) -> int:
    first = old = await store.read_published()
    for _ in range(MAX_CONFLICTS):
        table = notes.apply(old.table, note)
        try:
            await store.write_published(old, table)
            return table.version
        except ConflictError:
            old = await store.read_published()
        except OutcomeUnknownError:
            # The write may have taken effect or may still do so; only its effect can tell.
            seen = await store.read_published()
            if seen.table == table:
                return table.version
            if seen.revision != old.revision:
                raise
            old = seen
            continue
        overlap = notes.differences(first.table, old.table) & notes.touched(note)
        if overlap:
            names = ", ".join(" ".join(item).strip() for item in sorted(overlap))
            raise ReleaseRefusedError(
                f"another note has changed {names}.", "Look at it and publish the note again."
            )
    raise ReleaseRefusedError("other notes were accepted all the time.", "Publish it again.")
