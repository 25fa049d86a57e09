"""Entry point of the operators' command.

orioleloft check FILE
orioleloft publish FILE
orioleloft show
orioleloft audit
"""

import asyncio
import configparser
import dataclasses
import importlib
import pathlib
import sys
from collections.abc import Sequence

from absl import app, flags

from orioleloft import publishing
from orioleloft_core import note as notes
from orioleloft_core.entrysettings import Endpoint, parse_endpoint
from orioleloft_core.errors import NoteError, OrioleloftError, SettingsError
from orioleloft_core.note import Note

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_REFUSED = 2

_SETTINGS = flags.DEFINE_string("settings", "orioleloft.ini", "INI file with the [store] section.")


@dataclasses.dataclass(frozen=True)
class CommandSettings:
    """Settings of the command.

    Attributes:
        store: address of the platform's store.
        adapter: module that speaks the platform's form.
        operator: name of the operator for the audit trail.
    """

    store: Endpoint
    adapter: str
    operator: str


def read_settings(path: str) -> CommandSettings:
    """Reads the INI file.

    Raises:
        SettingsError: the file cannot be read or lacks a value.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
        store = parser["store"]
        return CommandSettings(
            parse_endpoint(store["address"]),
            store.get("adapter", "orioleloft_adapter.operatorstore"),
            store["operator"],
        )
    except (OSError, configparser.Error, KeyError) as error:
        remedy = "Write a section [store] with address and operator."
        raise SettingsError(f"{path}: {error}.", remedy) from error


async def execute(words: Sequence[str], settings_path: str) -> list[str]:
    """Runs a sub-command and returns its output lines.

    Raises:
        OrioleloftError: the sub-command failed.
        app.UsageError: the words name no sub-command.
    """
    match list(words):
        case ["check", path]:
            note = _read_note(path)
            return [f"{path}: no faults, {len(note.edits)} changes"]
        case ["publish", path]:
            settings = read_settings(settings_path)
            entry = await publishing.publish(_store(settings), _read_note(path), settings.operator)
            return [f"accepted {entry.note} as version {entry.version}"]
        case ["show"]:
            return _table_lines(await _store(read_settings(settings_path)).read_published())
        case ["audit"]:
            entries = await _store(read_settings(settings_path)).read_audit()
            return [_audit_line(entry) for entry in entries]
    raise app.UsageError(f"unknown sub-command: {' '.join(words) or '(none)'}")


def _store(settings: CommandSettings) -> publishing.OperatorStore:
    return importlib.import_module(settings.adapter).operator_store(settings.store)


def _read_note(path: str) -> Note:
    try:
        return notes.parse(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise NoteError(f"{path} cannot be read: {error}.", "Name a UTF-8 text file.") from error


def _table_lines(published: publishing.Published) -> list[str]:
    table = published.table
    if table is None:
        return ["no configuration"]
    lines = [f"version {table.version}"]
    for route in table.routes:
        shares = ", ".join(f"{share.service}:{share.weight:g}" for share in route.shares)
        lines.append(f"route {route.name} {route.host}{route.path_prefix} {route.kind} {shares}")
    return lines + [f"service {service.name}" for service in table.services]


def _audit_line(entry: publishing.AuditEntry) -> str:
    return (
        f"{entry.time_ms} {entry.operator} {entry.note} version {entry.version}:"
        f" {', '.join(entry.edits)}"
    )


def main(argv: Sequence[str]) -> int:
    """Runs the command and returns its exit code."""
    try:
        lines = asyncio.run(execute(argv[1:], _SETTINGS.value))
    except OrioleloftError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return EXIT_REFUSED if error.code == "release-refused" else EXIT_FAULT
    print("\n".join(lines))
    return EXIT_OK


def run() -> None:
    """Console entry point."""
    app.run(main)


if __name__ == "__main__":
    run()
