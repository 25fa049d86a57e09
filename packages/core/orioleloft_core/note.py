"""Release notes: an INI text with line numbers, checked whole.

`docs/notes.md` describes the format for operators. `check` needs no platform; what depends on the
catalog in force is found by `release.plan`.
"""

import configparser
import dataclasses
import enum
import functools
import sys
from collections.abc import Callable, Iterable, Mapping

from orioleloft_core import hashing
from orioleloft_core.errors import NoteError
from orioleloft_core.notekeys import KEYS, NAME, Kind, Value, read_name

MAX_NOTE_BYTES = 512 * 1024

_DIGEST_DIGITS = 12
_SECTION = configparser.RawConfigParser.SECTCRE
_OPTION = configparser.RawConfigParser.OPTCRE
_COMMENTS = ("#", ";")
# No section of a note has this name, so configparser's defaults section is never used.
_NO_DEFAULTS = "\0"
# No line is indented this deep, so no line continues a value.
_NO_KEY = sys.maxsize


class Change(enum.StrEnum):
    """What a section does."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a note: where it is and what to do about it."""

    line: int
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.message} {self.remedy}"


@dataclasses.dataclass(frozen=True)
class Edit:
    """One section of a note.

    Attributes:
        kind: what is edited.
        name: name in the section's head; `service/name` for a target.
        change: what is done.
        values: fields of the catalog's data class that the section states, as pairs.
        line: line of the section's head.
    """

    kind: Kind
    name: str
    change: Change
    values: tuple[tuple[str, Value], ...] = ()
    line: int = 0

    @property
    def path(self) -> str:
        """Path of what is edited, for example `target/ledger/l-01`."""
        return f"{self.kind}/{self.name}"

    @property
    def fields(self) -> dict[str, Value]:
        """The stated fields by name."""
        return dict(self.values)

    @property
    def service(self) -> str:
        """Service that a service's or a target's section belongs to."""
        return self.name.partition("/")[0]

    @property
    def address(self) -> str:
        """Address that a target's section states as `ip:port`, or an empty string."""
        fields = self.fields
        return address_text(str(fields["host"]), int(fields["port"])) if "host" in fields else ""


@dataclasses.dataclass(frozen=True)
class Note:
    """A release note without offline faults.

    Attributes:
        name: name of the note, unique for all time.
        base: version that the note is based on, 0 before the first note.
        author: who wrote it.
        description: what it is for.
        edits: its sections in the order of the text.
        text: the text, with newlines normalised.
    """

    name: str
    base: int
    author: str
    description: str
    edits: tuple[Edit, ...]
    text: str

    @functools.cached_property
    def id(self) -> str:
        """Name and digest of the text; a resubmitted note has the same id."""
        return f"{self.name}-{hashing.fingerprint(self.text.encode())[:_DIGEST_DIGITS]}"


def address_text(host: str, port: int) -> str:
    """Returns an address as `ip:port`, with brackets for IP version 6."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse(text: str) -> Note:
    """Returns the note.

    Raises:
        NoteError: the text has faults; the message names all of them.
    """
    note, faults = check(text)
    if note is None:
        lines = "\n".join(str(fault) for fault in faults)
        raise NoteError(f"the note has {len(faults)} faults:\n{lines}")
    return note


def check(text: str) -> tuple[Note | None, tuple[Fault, ...]]:
    """Returns the note, or None and all its faults by line."""
    text = text.replace("\r\n", "\n")
    if len(text.encode()) > MAX_NOTE_BYTES:
        message = f"the note is over {MAX_NOTE_BYTES} bytes."
        return None, (Fault(1, message, "Split it into several notes."),)
    reader = _Reader(text)
    note = reader.note()
    faults = tuple(sorted(reader.faults, key=lambda fault: (fault.line, fault.message)))
    return (None, faults) if faults else (note, ())


_NOTE_KEYS = ("name", "base", "author", "description")
_CHANGES = ", ".join(Change)


class _Reader:
    """Reads one text and gathers its faults."""

    def __init__(self, text: str) -> None:
        self.faults: list[Fault] = []
        self._text = text
        self._lines_of_text = text.split("\n")
        self._lines: dict[tuple[str, str], int] = {}
        self._scan()
        self._values = self._parsed()

    def note(self) -> Note:
        """Returns the note; it is valid only if there are no faults."""
        heads = {name: self._lines[(name, "")] for name in self._values}
        name, base = self._note_section()
        edits = tuple(
            edit
            for section, line in heads.items()
            if section != "note" and (edit := self._edit(section, line)) is not None
        )
        self._check_together(edits, base == 0)
        if set(self._values) <= {"note"}:
            self._fault(1, "the note changes nothing.", "Add a section that changes something.")
        section = self._values.get("note", {})
        author, description = section.get("author", ""), section.get("description", "")
        return Note(name, base or 0, author, description, edits, self._text)

    def _scan(self) -> None:
        """Records the lines of sections and keys, and finds those given twice.

        It follows configparser: a line that is indented deeper than the key above it continues
        that key's value, and an empty line or a comment ends the value.
        """
        section, key_indent = "", _NO_KEY
        for number, line in enumerate(self._lines_of_text, 1):
            value = line.strip()
            if not value or value.startswith(_COMMENTS):
                key_indent = _NO_KEY
                continue
            indent = len(line) - len(line.lstrip())
            if indent > key_indent:
                continue
            head, option = _SECTION.match(value), _OPTION.match(value)
            key_indent = _NO_KEY if head or not option else indent
            if head:
                section = head["header"]
                self._record(number, section, "")
            elif not section:
                self._fault(number, "the text begins before any section.", "Begin with [note].")
                self._lines_of_text[number - 1] = ""
            elif option:
                self._record(number, section, option["option"].strip().lower())

    def _record(self, line: int, section: str, key: str) -> None:
        first = self._lines.setdefault((section, key), line)
        if first != line:
            what = f"key {key}" if key else f"section [{section}]"
            self._fault(line, f"{what} is also on line {first}.", "Keep one of the two.")

    def _parsed(self) -> dict[str, dict[str, str]]:
        parser = configparser.RawConfigParser(
            strict=False,
            interpolation=None,
            empty_lines_in_values=False,
            default_section=_NO_DEFAULTS,
            comment_prefixes=_COMMENTS,
        )
        try:
            parser.read_string("\n".join(self._lines_of_text))
        except configparser.ParsingError as error:
            for line, _ in error.errors:
                self._fault(line, "the line is no section and no key.", "Write it as key = value.")
        found = {name: dict(parser.items(name)) for name in parser.sections()}
        return {name: keys for name, keys in found.items() if (name, "") in self._lines}

    def _note_section(self) -> tuple[str, int | None]:
        """Returns name and base; the base is None if it is missing or wrong."""
        values = self._values.get("note")
        if values is None:
            remedy = "Add [note] with name, base and author."
            self._fault(1, "the section [note] is missing.", remedy)
            return "", None
        line = self._lines[("note", "")]
        for key in values:
            if key not in _NOTE_KEYS:
                self._unknown_key("note", key, _NOTE_KEYS)
        for key in ("name", "base", "author"):
            if not values.get(key):
                self._fault(line, f"the key {key} of [note] is missing.", f"Add {key} = ...")
        name = self._value("note", "name", read_name("name")).get("name", "")
        base = self._value("note", "base", _base).get("base")
        return str(name), None if base is None else int(base)

    def _edit(self, section: str, line: int) -> Edit | None:
        word, _, name = section.partition(" ")
        kind = next((kind for kind in Kind if kind == word), None)
        if kind is None:
            remedy = "Use [note], [zone Z], [service S], [target S/T] or [customer C]."
            self._fault(line, f"the section [{section}] is unknown.", remedy)
            return None
        if not _is_name(kind, name):
            form = "service/name" if kind is Kind.TARGET else "one name"
            remedy = (
                f"Write [{kind} ...] with {form} of letters, digits, dots, dashes, underscores."
            )
            self._fault(line, f"{name!r} cannot name a {kind}.", remedy)
        change = self._change(section, line)
        values = self._section_values(kind, section, change, line)
        return Edit(kind, name, change, values, line) if change else None

    def _change(self, section: str, line: int) -> Change | None:
        text = self._values[section].get("change")
        if text is None:
            self._fault(line, f"the key change of [{section}] is missing.", f"Use {_CHANGES}.")
            return None
        if text not in set(Change):
            at = self._lines[(section, "change")]
            self._fault(at, f"change = {text} is wrong.", f"Use one of {_CHANGES}.")
            return None
        return Change(text)

    def _section_values(
        self, kind: Kind, section: str, change: Change | None, line: int
    ) -> tuple[tuple[str, Value], ...]:
        stated = [key for key in self._values[section] if key != "change"]
        known = {key.name: key for key in KEYS[kind]}
        fields: dict[str, Value] = {}
        for name in stated:
            if name not in known:
                self._unknown_key(section, name, ("change", *known))
                continue
            fields |= self._value(section, name, known[name].read)
        self._check_keys(kind, section, change, line, stated)
        return tuple(fields.items())

    def _check_keys(
        self, kind: Kind, section: str, change: Change | None, line: int, stated: list[str]
    ) -> None:
        if change is Change.ADD:
            for key in KEYS[kind]:
                if key.is_required and key.name not in stated:
                    message = f"the key {key.name} of [{section}] is missing."
                    self._fault(line, message, f"Add {key.name} = ...")
        if change is Change.CHANGE and not stated:
            message = f"[{section}] changes nothing."
            self._fault(line, message, "State the keys that change, or remove the section.")
        if change is Change.WITHDRAW and stated:
            message = f"[{section}] withdraws and also states {', '.join(stated)}."
            self._fault(line, message, "Remove these keys.")

    def _value(
        self, section: str, key: str, read: Callable[[str], Mapping[str, Value]]
    ) -> Mapping[str, Value]:
        text = self._values[section].get(key)
        if text is None:
            return {}
        try:
            return read(text)
        except ValueError as error:
            line = self._lines[(section, key)]
            self._fault(line, f"{key} = {text} is wrong.", f"Use {error}.")
            return {}

    def _check_together(self, edits: Iterable[Edit], is_first: bool) -> None:
        """Checks what one section says about another."""
        edits = tuple(edits)
        changes = {edit.path: edit.change for edit in edits}
        addresses: dict[str, Edit] = {}
        for edit in edits:
            if is_first and edit.change is not Change.ADD:
                message = f"[{edit.kind} {edit.name}] changes what base 0 does not have."
                self._fault(edit.line, message, "Add it, or set base to the version in force.")
            if edit.kind is Kind.TARGET and edit.change is not Change.WITHDRAW:
                self._check_target(edit, changes, is_first)
                self._check_address(edit, addresses)

    def _check_target(self, edit: Edit, changes: Mapping[str, Change], is_first: bool) -> None:
        zone = edit.fields.get("zone")
        for kind, name in ((Kind.SERVICE, edit.service), (Kind.ZONE, zone)):
            if name is None:
                continue
            change = changes.get(f"{kind}/{name}")
            if change is Change.WITHDRAW:
                message = f"target {edit.name} uses the {kind} {name} that this note withdraws."
                self._fault(edit.line, message, f"Use another {kind}, or keep this one.")
            elif change is None and is_first:
                message = f"target {edit.name} uses the unknown {kind} {name}."
                self._fault(edit.line, message, f"Add a section [{kind} {name}].")

    def _check_address(self, edit: Edit, addresses: dict[str, Edit]) -> None:
        if not edit.address:
            return
        first = addresses.setdefault(edit.address, edit)
        if first is not edit:
            message = f"{edit.address} of {edit.name} is also the address of {first.name}."
            line = self._lines[(f"target {edit.name}", "address")]
            self._fault(line, message, "Give each target its own address.")

    def _unknown_key(self, section: str, key: str, known: Iterable[str]) -> None:
        line = self._lines[(section, key)]
        message = f"the key {key} of [{section}] is unknown."
        self._fault(line, message, f"Use {', '.join(known)}.")

    def _fault(self, line: int, message: str, remedy: str) -> None:
        self.faults.append(Fault(line, message, remedy))


def _base(text: str) -> Mapping[str, Value]:
    if not (text.isascii() and text.isdecimal()):
        raise ValueError("the version that `orioleloft status` or `note plan` shows")
    return {"base": int(text)}


def _is_name(kind: Kind, name: str) -> bool:
    parts = name.split("/")
    return len(parts) == (2 if kind is Kind.TARGET else 1) and all(map(NAME.fullmatch, parts))
