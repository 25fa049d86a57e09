"""Planning of releases: touched paths, overlap, merge and refusal; pure functions.

The paths that a note touched (`touched`) are stored in the history; the paths that it needs
(`needed`) are compared with what notes accepted since its base touched. Everything that decides
whether a note fits the catalog is among the needed paths. So without an overlap the judgement is
the same at every version since the note's base, and a refusal is final whatever is accepted
afterwards.

Besides the paths of edited things (`zone/Z`, `service/S`, `target/S/T`, `customer/C`) there are
`address/IP:PORT`, `zone/Z/exists` and `service/S/exists` (touched by adding and withdrawing only,
so that a note which closes a zone does not meet every note about its targets), and `zone/Z/targets`
and `service/S/targets` (needed by withdrawing only).
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

from orioleloft_core import head as headdocument
from orioleloft_core.catalog import Customer, Service, Target, Zone
from orioleloft_core.errors import NoteError, ReleaseRefusedError
from orioleloft_core.head import Entry, Head, Part
from orioleloft_core.note import Change, Edit, Kind, Note, address_text

# A note's paths must leave room in the head for zones, customers and the names of the parts.
MAX_PATH_BYTES = 384 * 1024

_FRESH_BASE = "Set base to the version in force, check the plan, and publish it under a new name."

_Item = TypeVar("_Item", Zone, Service, Target, Customer)


@dataclasses.dataclass(frozen=True)
class InForce:
    """A head and those of its parts that have been read."""

    head: Head
    parts: Mapping[str, Part]


@dataclasses.dataclass(frozen=True)
class Objection:
    """Why a note cannot be released, and what to do about it."""

    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.reason} {self.remedy}"


@dataclasses.dataclass(frozen=True)
class Difference:
    """One change against the catalog in force; an empty text means that there is no such thing."""

    path: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a note would do to a version.

    Attributes:
        head: the next head.
        parts: new parts by the name of their object.
        differences: changes against the version in force, by path.
    """

    head: Head
    parts: Mapping[str, Part]
    differences: tuple[Difference, ...]


def services_needed(note: Note, head: Head) -> tuple[str, ...]:
    """Returns the services of the head whose parts `plan` reads.

    An address must be unique among all targets, and a zone can be withdrawn only when no target is
    in it. Such notes need all parts; others only those of the services that they name.
    """
    present = head.objects
    if any(_needs_all_parts(edit) for edit in note.edits):
        return tuple(present)
    named = {edit.service for edit in note.edits if edit.kind in (Kind.SERVICE, Kind.TARGET)}
    return tuple(sorted(named & set(present)))


def touched(note: Note, in_force: InForce) -> frozenset[str]:
    """Returns the paths that the note touches, given the parts of `services_needed`."""
    return frozenset().union(*(_touched(edit, in_force) for edit in note.edits))


def needed(note: Note) -> frozenset[str]:
    """Returns the paths whose change by another note since the base refuses the note."""
    return frozenset().union(*(_needed(edit) for edit in note.edits))


def overlap(note: Note, accepted: Iterable[Entry]) -> Objection | None:
    """Returns the objection to a note that meets an accepted one, or None.

    Args:
        note: the note.
        accepted: entries of all versions above the note's base.
    """
    wanted = needed(note)
    for entry in accepted:
        common = sorted(wanted.intersection(entry.paths))
        if common:
            reason = (
                f"the note meets note {entry.note_id} of {entry.operator}, accepted as version"
                f" {entry.version}, at {', '.join(common[:3])}"
                f"{' and others' if len(common) > 3 else ''}."
            )
            return Objection(reason, _FRESH_BASE)
    return None


def plan(note: Note, in_force: InForce, operator: str, time_ms: int) -> Plan:
    """Merges the note into the version in force.

    Args:
        note: a note that `overlap` has no objection to.
        in_force: the head, with the parts of `services_needed`.
        operator: who publishes.
        time_ms: operator's wall clock, milliseconds since 1970.

    Raises:
        ReleaseRefusedError: the note does not fit the catalog; the message names all objections.
        NoteError: a document would be over the platform's limit. This depends on other notes, so
            it is no final refusal.
    """
    draft = _Draft(in_force)
    for edit in note.edits:
        draft.apply(edit)
    objections = draft.objections + draft.contradictions(note)
    if objections:
        raise ReleaseRefusedError("\n".join(map(str, objections)))
    version = in_force.head.version + 1
    paths = tuple(sorted(touched(note, in_force)))
    entry = Entry(version, note.id, operator, time_ms, note.base, paths)
    result = draft.result(note, entry)
    _check_sizes(result)
    return result


def _needs_all_parts(edit: Edit) -> bool:
    is_zone_out = edit.kind is Kind.ZONE and edit.change is Change.WITHDRAW
    return is_zone_out or bool(edit.kind is Kind.TARGET and edit.address)


def _touched(edit: Edit, in_force: InForce) -> set[str]:
    paths = {edit.path}
    if edit.kind in (Kind.ZONE, Kind.SERVICE) and edit.change is not Change.CHANGE:
        paths.add(f"{edit.path}/exists")
    if edit.kind is Kind.TARGET:
        paths |= _touched_by_target(edit, in_force)
    return paths


def _touched_by_target(edit: Edit, in_force: InForce) -> set[str]:
    paths: set[str] = set()
    old = _target(in_force, edit)
    is_moved = edit.change is not Change.CHANGE
    if old and (is_moved or "zone" in edit.fields):
        paths.add(f"zone/{old.zone}/targets")
    if old and (is_moved or edit.address):
        paths.add(f"address/{address_text(old.host, old.port)}")
    if "zone" in edit.fields:
        paths.add(f"zone/{edit.fields['zone']}/targets")
    if edit.address:
        paths.add(f"address/{edit.address}")
    if is_moved:
        paths.add(f"service/{edit.service}/targets")
    return paths


def _needed(edit: Edit) -> set[str]:
    paths = {edit.path}
    is_withdrawn = edit.change is Change.WITHDRAW
    if edit.kind in (Kind.ZONE, Kind.SERVICE) and is_withdrawn:
        paths.add(f"{edit.path}/targets")
    if edit.kind is Kind.TARGET and not is_withdrawn:
        paths.add(f"service/{edit.service}/exists")
        if "zone" in edit.fields:
            paths.add(f"zone/{edit.fields['zone']}/exists")
        if edit.address:
            paths.add(f"address/{edit.address}")
    return paths


def _target(in_force: InForce, edit: Edit) -> Target | None:
    part = in_force.parts.get(edit.service)
    name = edit.name.partition("/")[2]
    return next((target for target in part.targets if target.name == name), None) if part else None


class _Draft:
    """The catalog of a version while a note's edits are applied to it."""

    def __init__(self, in_force: InForce) -> None:
        self.objections: tuple[Objection, ...] = ()
        self._in_force = in_force
        head, parts = in_force.head, in_force.parts.values()
        self._items: dict[Kind, dict[str, Any]] = {
            Kind.ZONE: {zone.name: zone for zone in head.zones},
            Kind.SERVICE: {part.service.name: part.service for part in parts},
            Kind.TARGET: {target.id: target for part in parts for target in part.targets},
            Kind.CUSTOMER: {customer.name: customer for customer in head.customers},
        }
        self._before = {kind: dict(items) for kind, items in self._items.items()}

    def apply(self, edit: Edit) -> None:
        """Applies one edit, or adds an objection."""
        items = self._items[edit.kind]
        old = items.get(edit.name)
        if edit.change is Change.ADD and old is not None:
            self._object(f"{edit.kind} {edit.name} exists already.", "Use change = change.")
        elif edit.change is not Change.ADD and old is None:
            remedy = "Correct the name, or remove the section."
            self._object(f"there is no {edit.kind} {edit.name}.", remedy)
        elif edit.change is Change.ADD:
            items[edit.name] = _added(edit)
        elif edit.change is Change.WITHDRAW:
            del items[edit.name]
        else:
            items[edit.name] = _changed(old, edit)

    def contradictions(self, note: Note) -> tuple[Objection, ...]:
        """Returns the objections to the edits taken together."""
        found: list[Objection] = []
        for edit in note.edits:
            if edit.change is Change.WITHDRAW:
                found.extend(self._left_behind(edit))
            elif edit.kind is Kind.TARGET and edit.name in self._items[Kind.TARGET]:
                found.extend(self._target_objections(edit))
        return tuple(found)

    def result(self, note: Note, entry: Entry) -> Plan:
        """Returns the plan of a note without objections."""
        parts: dict[str, Part] = {}
        objects = self._in_force.head.objects
        for service in sorted({e.service for e in note.edits if _is_in_part(e)}):
            part = self._part(service)
            objects.pop(service, None)
            if part is None:
                continue
            objects[service] = part.object_name(note.id)
            parts[objects[service]] = part
        head = Head(
            version=entry.version,
            zones=_sorted(self._items[Kind.ZONE]),
            customers=_sorted(self._items[Kind.CUSTOMER]),
            services=tuple(sorted(objects.items())),
            history=headdocument.trimmed((*self._in_force.head.history, entry)),
        )
        return Plan(head, parts, self._differences(note))

    def _part(self, service: str) -> Part | None:
        found = self._items[Kind.SERVICE].get(service)
        if found is None:
            return None
        targets = {
            target_id: target
            for target_id, target in self._items[Kind.TARGET].items()
            if target.service == service
        }
        return Part(found, _sorted(targets))

    def _differences(self, note: Note) -> tuple[Difference, ...]:
        return tuple(
            Difference(
                edit.path,
                _described(self._before[edit.kind].get(edit.name)),
                _described(self._items[edit.kind].get(edit.name)),
            )
            for edit in sorted(note.edits, key=lambda edit: edit.path)
        )

    def _left_behind(self, edit: Edit) -> list[Objection]:
        targets = self._items[Kind.TARGET].values()
        if edit.kind is Kind.ZONE:
            left = [target.id for target in targets if target.zone == edit.name]
        elif edit.kind is Kind.SERVICE:
            left = [target.id for target in targets if target.service == edit.name]
        else:
            return []
        if not left:
            return []
        reason = f"{edit.kind} {edit.name} still has {len(left)} targets, for example {left[0]}."
        return [Objection(reason, "Withdraw or move its targets in the same note or before it.")]

    def _target_objections(self, edit: Edit) -> list[Objection]:
        found: list[Objection] = []
        target = self._items[Kind.TARGET][edit.name]
        if target.service not in self._items[Kind.SERVICE]:
            reason = f"target {target.id} uses the unknown service {target.service}."
            found.append(Objection(reason, f"Add a section [service {target.service}]."))
        if target.zone not in self._items[Kind.ZONE]:
            reason = f"target {target.id} uses the unknown zone {target.zone}."
            found.append(Objection(reason, f"Add a section [zone {target.zone}]."))
        if edit.address:
            found.extend(self._address_objections(target))
        return found

    def _address_objections(self, target: Target) -> list[Objection]:
        for other in self._items[Kind.TARGET].values():
            if (other.host, other.port) == (target.host, target.port) and other.id != target.id:
                address = address_text(target.host, target.port)
                reason = f"{address} of {target.id} is also the address of {other.id}."
                return [Objection(reason, "Give each target its own address.")]
        return []

    def _object(self, reason: str, remedy: str) -> None:
        self.objections = (*self.objections, Objection(reason, remedy))


def _is_in_part(edit: Edit) -> bool:
    return edit.kind in (Kind.SERVICE, Kind.TARGET)


def _added(edit: Edit) -> Zone | Service | Target | Customer:
    fields: dict[str, Any] = edit.fields
    match edit.kind:
        case Kind.ZONE:
            return Zone(edit.name, **fields)
        case Kind.SERVICE:
            return Service(edit.name, **fields)
        case Kind.CUSTOMER:
            return Customer(edit.name, **fields)
    service, _, name = edit.name.partition("/")
    return Target(service, name, **fields)


def _changed(old: _Item, edit: Edit) -> _Item:
    fields: dict[str, Any] = edit.fields
    return dataclasses.replace(old, **fields)


def _sorted(items: Mapping[str, _Item]) -> tuple[_Item, ...]:
    return tuple(item for _, item in sorted(items.items()))


def _described(item: Zone | Service | Target | Customer | None) -> str:
    if item is None:
        return ""
    fields = dataclasses.asdict(item)
    return " ".join(f"{key}={value}" for key, value in fields.items() if key != "name")


def _check_sizes(result: Plan) -> None:
    """Raises if the platform would not take one of the documents."""
    entry = result.head.history[-1]
    if headdocument.document_bytes(list(entry.paths)) > MAX_PATH_BYTES:
        reason = f"the note touches {len(entry.paths)} paths, which is too much for one note."
        raise ReleaseRefusedError(reason, "Split it into several notes under new names.")
    documents = {name: part.to_document() for name, part in result.parts.items()}
    documents[headdocument.HEAD] = result.head.to_document()
    for name, document in documents.items():
        size = headdocument.document_bytes(document)
        if size > headdocument.MAX_DOCUMENT_BYTES:
            reason = f"the object {name} would have {size} bytes, over the platform's limit."
            raise NoteError(reason, "Put less into it, in a note under a new name.")
