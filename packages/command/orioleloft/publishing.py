"""Publishing of release notes with optimistic concurrency control and an audit trail.

A note changes several objects of the store, and its operator may be cut off between any two writes.
It is therefore recorded as pending first and until the audit trail has it. Each further step has no
effect if it was made before, so that publishing the same note again finishes it from any point.
If the store is restored from an older copy meanwhile, which the era of its answers shows, all steps
are made again.
"""

import dataclasses
import time
from typing import Any, Protocol

from orioleloft_core import note as notes
from orioleloft_core.entrysettings import Endpoint
from orioleloft_core.errors import OutcomeUnknownError, ReleaseRefusedError, StoreRestoredError
from orioleloft_core.note import ReleaseNote, ZoneEdit
from orioleloft_core.rollouts import RolloutOrder
from orioleloft_core.routes import RouteTable

# Operators that publish at the same time cause a few conflicts; more in a row point to a fault.
MAX_WRITE_ATTEMPTS = 8
# Rounds in which a note is published if the store is restored during each of them.
MAX_ROUNDS = 4


class VersionConflictError(Exception):
    """A conditional write failed, as the object has another revision than expected."""


@dataclasses.dataclass(frozen=True)
class PublishedTable:
    """The route table in the store, with the revision that conditional writes expect.

    Attributes:
        table: the table, or None if none was published yet.
        revision: revision of the stored object, packed with the era of the store, 0 if there is
            none.
    """

    table: RouteTable | None
    revision: int


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """Record of one published note.

    Attributes:
        note: name of the note.
        digest: digest of its text.
        author: author of the note.
        operator: operator who published it.
        version: version of the resulting route table, 0 if the note only changes zones.
        time_ms: time of publication in Unix milliseconds.
        edits: kind and name of each item that the note edits, such as "route search".
    """

    note: str
    digest: str
    author: str
    operator: str
    version: int
    time_ms: int
    edits: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class PendingNote:
    """Record of a note whose publication has begun and may not have finished.

    Attributes:
        note: name of the note; there is one pending note of a name at most.
        digest: digest of its text.
        author: author of the note.
        operator: operator who began to publish it.
        time_ms: time of the begin in Unix milliseconds.
        edits: see `AuditEntry`.
        order: position among all pending notes, 0 before it is stored; earlier ones are smaller.
    """

    note: str
    digest: str
    author: str
    operator: str
    time_ms: int
    edits: tuple[str, ...]
    order: int = 0


class OperatorStore(Protocol):
    """Operations of the command on the platform's store.

    Reads raise `StoreUnavailableError` if the store gives no answer, writes `OutcomeUnknownError`.
    """

    @property
    def era(self) -> int:
        """Era of the last answer, which rises when the store is restored from an older copy."""

    async def read_published_table(self) -> PublishedTable:
        """Returns the route table in force with its revision."""

    async def write_published_table(self, expected: PublishedTable, table: RouteTable) -> None:
        """Replaces the route table if the stored one still has the revision of `expected`.

        Raises:
            VersionConflictError: the stored table has another revision, or the store was restored
                since `expected` was read.
            OutcomeUnknownError: the write was sent, but its answer was lost.
        """

    async def set_zone_closed(self, zone: str, is_closed: bool) -> None:
        """Closes or reopens an availability zone; has no effect if it is in that state already."""

    async def append_audit(self, entry: AuditEntry) -> None:
        """Adds an entry to the audit trail; entries of the same note and digest are stored once."""

    async def remove_audit(self, entry: AuditEntry) -> None:
        """Removes an entry that a restored store has without the change that it stands for."""

    async def read_audit(self) -> list[AuditEntry]:
        """Returns the audit trail, oldest entry first."""

    async def read_rollouts(self) -> tuple[RolloutOrder, ...]:
        """Returns the orders to move services to versions, with their states."""

    async def read_node_rollouts(self, node: Endpoint) -> dict[str, Any]:
        """Returns what a node holds of the roll-outs.

        Args:
            node: address at which the node accepts requests of other nodes.
        """

    async def add_pending(self, pending: PendingNote) -> bool:
        """Records a pending note; returns False if one of this name is recorded already."""

    async def read_pending(self) -> list[PendingNote]:
        """Returns the pending notes in the order in which they were recorded."""

    async def remove_pending(self, name: str) -> None:
        """Removes a pending note; has no effect if there is none of this name."""


async def publish(store: OperatorStore, note: ReleaseNote, operator: str) -> AuditEntry:
    """Publishes a note and records it in the audit trail.

    It is safe to publish a note again, also by another operator and at the same time: if the audit
    trail has it with the same digest, nothing is written and its entry is returned; if it is
    pending, the steps that are missing are made. Notes that edit different items may be published
    at the same time. A note that edits an item of an earlier pending note is refused.

    Args:
        store: the platform's store.
        note: the note.
        operator: name of the operator for the audit trail.

    Raises:
        ReleaseRefusedError: the note conflicts with another note or the table in force.
        StoreRestoredError: the store was restored and holds an older table than the one that the
            note was to change; nodes ignore versions that they have had.
        StoreUnavailableError: the store gave no answer to a read.
        OutcomeUnknownError: an answer of the store was lost, and the note may or may not be in
            force.
    """
    publication = _Publication(store, note, operator)
    for _ in range(MAX_ROUNDS):
        entry = await publication.make_all_steps()
        if entry is not None:
            return entry
    raise StoreRestoredError(
        "the store was restored again and again during the publication.",
        "Publish this note again when the store is stable.",
    )


class _Publication:
    """One call of `publish`, with the tables that it has seen before a restore of the store.

    Args:
        store: the platform's store.
        note: the note.
        operator: name of the operator.
    """

    def __init__(self, store: OperatorStore, note: ReleaseNote, operator: str) -> None:
        self._store = store
        self._note = note
        self._operator = operator
        # The newest table that was in force or was sent to the store, and the era at that time.
        self._newest: RouteTable | None = None
        self._newest_era = 0

    async def make_all_steps(self) -> AuditEntry | None:
        """Makes the steps that the store lacks; returns the entry in the audit trail.

        Returns:
            None if the store was restored meanwhile, so that it may lack any of the steps.
        """
        store, note = self._store, self._note
        earlier_entry = await _find_audit_entry(store, note)
        era = store.era
        if earlier_entry is not None:
            await store.remove_pending(note.name)
            return earlier_entry if store.era == era else None
        pending = await _record_pending(store, note, self._operator)
        try:
            version = await self._publish_table() if note.has_table_edits else 0
        except ReleaseRefusedError:
            # The table is one object, so nothing of the note is in force.
            await store.remove_pending(note.name)
            raise
        for edit in note.edits:
            if isinstance(edit, ZoneEdit):
                await store.set_zone_closed(edit.name, edit.is_closed)
        if store.era != era:
            return None
        entry = AuditEntry(
            note.name,
            note.digest,
            note.author,
            self._operator,
            version,
            _now_ms(),
            pending.edits,
        )
        await store.append_audit(entry)
        if store.era != era:
            # The restored store has the entry, but may lack the steps that it stands for.
            await store.remove_audit(entry)
            return None
        await store.remove_pending(note.name)
        return entry if store.era == era else None

    async def _publish_table(self) -> int:
        store, note = self._store, self._note
        initial = expected = await store.read_published_table()
        if notes.is_applied(expected.table, note):
            self._require_not_reverted(expected.table)
            return expected.table.version
        era = store.era
        for _ in range(MAX_WRITE_ATTEMPTS):
            table = notes.apply(expected.table, note)
            self._require_not_reverted(table)
            try:
                await store.write_published_table(expected, table)
                return table.version
            except VersionConflictError:
                expected = await store.read_published_table()
            except OutcomeUnknownError:
                # The write may have taken effect or may still do so. Only reading the table back
                # shows whether it has.
                current = await store.read_published_table()
                is_changed = current.revision != expected.revision
                if is_changed and not notes.is_applied(current.table, note):
                    raise
                expected = current
            if notes.is_applied(expected.table, note):
                # The lost write, or another operator who publishes the same note, has made the
                # change.
                self._require_not_reverted(expected.table)
                return expected.table.version
            if store.era != era:
                self._require_not_reverted(notes.apply(expected.table, note))
            overlap = notes.changed_items(initial.table, expected.table) & notes.edited_items(note)
            if overlap:
                names = ", ".join(" ".join(item).strip() for item in sorted(overlap))
                raise ReleaseRefusedError(
                    f"another note has just changed {names}.",
                    "Review that change and publish this note again.",
                )
        raise ReleaseRefusedError(
            "every write conflicted with another note.", "Publish this note again."
        )

    def _require_not_reverted(self, table: RouteTable) -> None:
        """Checks that a table to be in force is not older than one seen in an earlier era.

        Nodes hold the tables that a restored store has lost, and never go back to their versions.
        """
        era = self._store.era
        newest, newest_era = self._newest, self._newest_era
        self._newest, self._newest_era = table, era
        if newest is None or newest_era == era:
            return
        if table.version > newest.version or table == newest:
            return
        raise StoreRestoredError(
            f"the store was restored and has lost version {newest.version} of the table.",
            "Publish the notes that were lost again in their order, then this note.",
        )


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


async def _record_pending(store: OperatorStore, note: ReleaseNote, operator: str) -> PendingNote:
    """Records a note as pending, unless it is, and checks that no earlier one edits its items.

    Raises:
        ReleaseRefusedError: another note has the name, or an earlier pending note overlaps.
    """
    edits = tuple(sorted(" ".join(item).strip() for item in notes.edited_items(note)))
    pending = PendingNote(note.name, note.digest, note.author, operator, _now_ms(), edits)
    await store.add_pending(pending)
    stored = {each.note: each for each in await store.read_pending()}
    own = stored.get(note.name)
    if own is None:
        # Another operator has finished the same note meanwhile.
        return pending
    if own.digest != note.digest:
        raise ReleaseRefusedError(
            f"another note named {note.name} is being published by {own.operator}.",
            "Give this note a new name.",
        )
    for other in stored.values():
        overlap = set(other.edits) & set(edits)
        if other.order < own.order and overlap:
            await store.remove_pending(note.name)
            raise ReleaseRefusedError(
                f"the note {other.note} of {other.operator} also edits {', '.join(sorted(overlap))}"
                " and is not finished.",
                f"Publish {other.note} again to finish it, then this note.",
            )
    return own


async def _find_audit_entry(store: OperatorStore, note: ReleaseNote) -> AuditEntry | None:
    for entry in await store.read_audit():
        if entry.note != note.name:
            continue
        if entry.digest == note.digest:
            return entry
        raise ReleaseRefusedError(
            f"another note named {note.name} was published already.", "Give this note a new name."
        )
    return None
