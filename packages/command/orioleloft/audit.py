"""Sub-command `audit`: who released what, when, on which base and with which outcome."""

import dataclasses
import datetime

from orioleloft.driver import drive
from orioleloft.report import Report
from orioleloft_core import head as headdocument
from orioleloft_core import publishing
from orioleloft_core.errors import DocumentError
from orioleloft_core.head import Entry, Refusal
from orioleloft_platform.objectstore import ObjectStore, read_many


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of the audit; `version` is 0 and `reason` is set for a refused note."""

    time_ms: int
    operator: str
    note_id: str
    base: int
    outcome: str
    version: int = 0
    reason: str = ""

    def __str__(self) -> str:
        when = datetime.datetime.fromtimestamp(self.time_ms / 1000, datetime.UTC)
        end = f"version {self.version}" if self.version else self.reason.replace("\n", " ")
        stamp = when.isoformat(timespec="seconds")
        return f"{stamp} {self.operator} {self.note_id} base {self.base} {self.outcome}: {end}"


async def audit(store: ObjectStore, last: int) -> Report:
    """Reports the last accepted and the last refused notes, by time.

    Args:
        store: the platform.
        last: number of accepted and number of refused notes.
    """
    lines = await _accepted(store, last) + await _refused(store, last)
    ordered = sorted(lines, key=lambda line: (line.time_ms, line.version))
    return Report(tuple(map(str, ordered)), [dataclasses.asdict(line) for line in ordered])


async def _accepted(store: ObjectStore, last: int) -> list[Line]:
    head = await drive(publishing.read_head(), store)
    entries = {entry.version: entry for entry in head.history}
    versions = range(max(1, head.version - last + 1), head.version + 1)
    older = tuple(version for version in versions if version not in entries)
    names = tuple(map(headdocument.audit_object, older))
    for name, version, found in zip(names, older, await read_many(store, names), strict=True):
        if found is None:
            raise DocumentError(f"{name} is missing.", "Ask for fewer lines with --last.")
        entries[version] = Entry.from_document(found.value)
    return [_line(entries[version]) for version in versions]


async def _refused(store: ObjectStore, last: int) -> list[Line]:
    names = [item.name for item in await store.list(headdocument.REFUSAL_PREFIX)][-last:]
    found = await read_many(store, tuple(names))
    refusals = [Refusal.from_document(item.value) for item in found if item]
    return [
        Line(r.time_ms, r.operator, r.note_id, r.base, "refused", 0, r.reason) for r in refusals
    ]


def _line(entry: Entry) -> Line:
    return Line(entry.time_ms, entry.operator, entry.note_id, entry.base, "accepted", entry.version)
