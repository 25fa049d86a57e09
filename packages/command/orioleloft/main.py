"""Command line of the operators' command `orioleloft`; see `help` for its subcommands."""

import asyncio
import configparser
import dataclasses
import importlib
import pathlib
import sys
from collections.abc import Iterator, Sequence

from absl import app, flags

from orioleloft import account, explain, helptexts, publishing, rolloutview
from orioleloft_core import note as notes
from orioleloft_core.entrysettings import Endpoint, parse_endpoint
from orioleloft_core.errors import NoteError, OrioleloftError, SettingsError
from orioleloft_core.note import ReleaseNote

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_REFUSED = 2

_SETTINGS = flags.DEFINE_string("settings", "orioleloft.ini", "INI file with the [store] section.")

_HOST = flags.DEFINE_string("host", "", "explain: host of the request.")
_PATH = flags.DEFINE_string("path", "/", "explain: path of the request.")
_METHOD = flags.DEFINE_string("method", "GET", "explain: method of the request.")
_TENANT = flags.DEFINE_string("tenant", "", "explain: name of the tenant; never a key.")
_TIMEOUT = flags.DEFINE_string("timeout", "", "explain: seconds in which the caller wants it.")
_REQUEST = flags.DEFINE_string("request", "", "explain: id of a recorded request.")
_JSON = flags.DEFINE_bool("json", False, "explain: shows JSON in place of text.")


# Flags may follow the subcommand and its operands.
flags.FLAGS.set_gnu_getopt()


@dataclasses.dataclass(frozen=True)
class CommandSettings:
    """Settings of the command.

    Attributes:
        store: address of the platform's store.
        adapter: module whose function `operator_store` returns the `OperatorStore` for an address.
        operator: name of the operator, recorded in the audit trail.
    """

    store: Endpoint
    adapter: str
    operator: str


def read_settings(path: str) -> CommandSettings:
    """Reads the [store] section of an INI file.

    Raises:
        SettingsError: the file cannot be read, or a value is missing or invalid.
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
    except (OSError, UnicodeDecodeError, configparser.Error, KeyError) as error:
        remedy = "Write a [store] section with address and operator."
        raise SettingsError(f"{path}: {error}.", remedy) from error


async def run_subcommand(arguments: Sequence[str], settings_path: str) -> list[str]:
    """Runs a subcommand and returns its output lines.

    Args:
        arguments: the subcommand and its operands.
        settings_path: path of the settings file; `check` does not read it.

    Raises:
        OrioleloftError: the subcommand failed.
        app.UsageError: the arguments are not a known subcommand with its operands.
    """
    match list(arguments):
        case ["check", path]:
            note = _read_note(path)
            return [f"{path}: no faults, {len(note.edits)} changes"]
        case ["publish", path]:
            settings = read_settings(settings_path)
            entry = await publishing.publish(
                _open_store(settings), _read_note(path), settings.operator
            )
            return [f"accepted {entry.note} as version {entry.version}"]
        case ["show"]:
            return _format_table(
                await _open_store(read_settings(settings_path)).read_published_table()
            )
        case ["audit"]:
            entries = await _open_store(read_settings(settings_path)).read_audit()
            return [_format_audit_entry(entry) for entry in entries]
        case ["pending"]:
            pending = await _open_store(read_settings(settings_path)).read_pending()
            return [_format_pending(each) for each in pending] or ["no pending notes"]
        case ["rollouts"]:
            orders = await _open_store(read_settings(settings_path)).read_rollouts()
            return rolloutview.format_orders(orders)
        case ["rollouts", node]:
            store = _open_store(read_settings(settings_path))
            return rolloutview.format_node(await store.read_node_rollouts(parse_endpoint(node)))
        case ["account", first, *others]:
            return account.format_text(account.build(_read_logs([first, *others])))
        case ["explain", node, *logs] if bool(logs) == bool(_REQUEST.value):
            return await explain.run(node, _read_logs(logs), _explain_options())
        case ["help"]:
            return [helptexts.general_help()]
        case ["help", name] if helptexts.subcommand_help(name):
            return [helptexts.subcommand_help(name)]
        case [name, *_] if helptexts.subcommand_help(name):
            raise app.UsageError(f"wrong operands\n\n{helptexts.subcommand_help(name)}")
    raise app.UsageError(f"unknown subcommand: {' '.join(arguments) or '(none)'}")


def _explain_options() -> explain.ExplainOptions:
    return explain.ExplainOptions(
        host=_HOST.value,
        path=_PATH.value,
        method=_METHOD.value,
        tenant=_TENANT.value,
        timeout=_TIMEOUT.value,
        request=_REQUEST.value,
        is_json=_JSON.value,
    )


def _open_store(settings: CommandSettings) -> publishing.OperatorStore:
    return importlib.import_module(settings.adapter).operator_store(settings.store)


def _read_logs(paths: Sequence[str]) -> Iterator[str]:
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise SettingsError(
                f"{path} cannot be read: {error}.", "Give the paths of log files."
            ) from error


def _read_note(path: str) -> ReleaseNote:
    try:
        return notes.parse(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise NoteError(
            f"{path} cannot be read: {error}.", "Give the path of a UTF-8 text file."
        ) from error


def _format_table(published: publishing.PublishedTable) -> list[str]:
    table = published.table
    if table is None:
        return ["no configuration"]
    lines = [f"version {table.version}"]
    for route in table.routes:
        weighted_services = ", ".join(
            f"{weighted.service}:{weighted.weight:g}" for weighted in route.weighted_services
        )
        lines.append(
            f"route {route.name} {route.host}{route.path_prefix} {route.kind} {weighted_services}"
        )
    return lines + [f"service {service.name}" for service in table.services]


def _format_audit_entry(entry: publishing.AuditEntry) -> str:
    return (
        f"{entry.time_ms} {entry.operator} {entry.note} version {entry.version}:"
        f" {', '.join(entry.edits)}"
    )


def _format_pending(pending: publishing.PendingNote) -> str:
    return (
        f"{pending.time_ms} {pending.operator} {pending.note} by {pending.author}:"
        f" {', '.join(pending.edits)}"
    )


def main(argv: Sequence[str]) -> int:
    """Runs the command, prints its output or the error, and returns the exit code.

    Args:
        argv: name of the program and the arguments without flags.
    """
    try:
        lines = asyncio.run(run_subcommand(argv[1:], _SETTINGS.value))
    except OrioleloftError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return EXIT_REFUSED if error.code == "release-refused" else EXIT_ERROR
    print("\n".join(lines))
    return EXIT_OK


def run() -> None:
    """Console script: parses the flags and exits with the code that `main` returns."""
    text = helptexts.requested_help(sys.argv[1:])
    if text is not None:
        print(text)
        return
    # absl shows the docstring of the main module after a wrong call, and a console script has none.
    sys.modules["__main__"].__doc__ = helptexts.general_help()
    app.run(main)


if __name__ == "__main__":
    run()
