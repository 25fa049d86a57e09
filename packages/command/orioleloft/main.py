"""Entry point of the operators' command; `report` documents the exit codes.

orioleloft note check FILE
orioleloft note plan FILE
orioleloft note publish FILE
orioleloft note list
orioleloft note show NAME
orioleloft status
orioleloft audit
"""

import asyncio
import dataclasses
import logging
import sys
from collections.abc import Sequence

from absl import app, flags

from orioleloft import audit, fleet, notes, report
from orioleloft.report import Report
from orioleloft_core.errors import OrioleloftError
from orioleloft_platform.objectstore import HttpObjectStore

_PLATFORM = flags.DEFINE_string("platform", "127.0.0.1:8300", "HOST:PORT of the platform's API.")
_NODES = flags.DEFINE_list("nodes", [], "HOST:PORT of each entry node, for status.")
_OPERATOR = flags.DEFINE_string("operator", "", "Name of the operator, for publish.")
_JSON = flags.DEFINE_boolean("json", False, "Print JSON.")
_LAST = flags.DEFINE_integer("last", 50, "Accepted and refused notes that audit shows.", 1)


@dataclasses.dataclass(frozen=True)
class Options:
    """Values of the flags."""

    platform: str
    nodes: tuple[str, ...]
    operator: str
    last: int


async def execute(words: Sequence[str], options: Options) -> Report:
    """Runs the sub-command that the words name.

    Raises:
        UsageError: the words name no sub-command, or a flag that it needs is missing.
    """
    store = HttpObjectStore(options.platform)
    try:
        return await _execute(list(words), options, store)
    except OrioleloftError as error:
        return report.of_error(error)
    finally:
        store.close()


async def _execute(words: list[str], options: Options, store: HttpObjectStore) -> Report:
    match words:
        case ["note", *rest]:
            return await _note(rest, options, store)
        case ["audit"]:
            return await audit.audit(store, options.last)
        case ["status"]:
            if not options.nodes:
                raise app.UsageError("--nodes is missing; name the entry nodes to ask.")
            return await fleet.status(options.nodes)
    raise _unknown(words)


async def _note(words: list[str], options: Options, store: HttpObjectStore) -> Report:
    match words:
        case ["check", path]:
            return notes.check(path)
        case ["plan", path]:
            return await notes.plan(path, store)
        case ["publish", path]:
            if not options.operator:
                raise app.UsageError("--operator is missing; the audit names who publishes.")
            return await notes.publish(path, options.operator, store)
        case ["list"]:
            return await notes.list_notes(store)
        case ["show", name]:
            return await notes.show(name, store)
    raise _unknown(["note", *words])


def _unknown(words: list[str]) -> app.UsageError:
    return app.UsageError(f"unknown sub-command: {' '.join(words) or '(none)'}")


def main(argv: Sequence[str]) -> int:
    """Runs the command and returns its exit code."""
    options = Options(_PLATFORM.value, tuple(_NODES.value), _OPERATOR.value, _LAST.value)
    result = asyncio.run(execute(argv[1:], options))
    is_good = result.code is report.ExitCode.OK
    print(result.text(_JSON.value), file=sys.stdout if is_good or _JSON.value else sys.stderr)
    return int(result.code)


def run() -> None:
    """Console entry point."""
    logging.getLogger("tornado").setLevel(logging.ERROR)
    app.run(main)


if __name__ == "__main__":
    run()
