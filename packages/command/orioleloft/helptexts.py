"""Help texts of the command."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True)
class Subcommand:
    """A subcommand as the help shows it.

    Attributes:
        name: name of the subcommand.
        operands: its operands, or an empty string.
        summary: what it does, in one line.
        example: a complete command line.
        details: further lines for its own help.
    """

    name: str
    operands: str
    summary: str
    example: str
    details: str


SUBCOMMANDS = (
    Subcommand(
        "check",
        "FILE",
        "checks a release note without publishing it",
        "orioleloft check examples/start.ini",
        "Needs no settings and no store. Exits with 1 if the note has a fault.",
    ),
    Subcommand(
        "publish",
        "FILE",
        "publishes a release note",
        "orioleloft --settings orioleloft.ini publish examples/zone-out.ini",
        "Exits with 0 once the store has accepted the note, with 2 if the note contradicts what\n"
        "is in force, and with 1 if the store did not answer. A note may be published again.",
    ),
    Subcommand(
        "show",
        "",
        "shows the routes and services in force",
        "orioleloft --settings orioleloft.ini show",
        "Reads the table that was accepted last from the store.",
    ),
    Subcommand(
        "audit",
        "",
        "lists the release notes that were accepted",
        "orioleloft --settings orioleloft.ini audit",
        "One line a note: time in Unix milliseconds, operator, note, version and changes.",
    ),
    Subcommand(
        "pending",
        "",
        "lists the release notes that were begun and not finished",
        "orioleloft --settings orioleloft.ini pending",
        "One line a note: begin in Unix milliseconds, operator, note, author and changes.\n"
        "Publish such a note again to finish it.",
    ),
    Subcommand(
        "rollouts",
        "[NODE:PORT]",
        "shows the roll-outs of versions and why they are in their state",
        "orioleloft --settings orioleloft.ini rollouts 10.1.0.4:7000",
        "Without a node, shows orders and states in the store. With the address listen.control\n"
        "of a node, shows its counts and evidence; those of the deciding node are complete.",
    ),
    Subcommand(
        "account",
        "LOG...",
        "counts the answers in the nodes' logs by cause and by second",
        "orioleloft account node-1.log node-2.log",
        "Needs no settings and no store. The bars show refused and failed requests.",
    ),
    Subcommand(
        "explain",
        "NODE [LOG...]",
        "tells where a request would go now and why, without sending it",
        "orioleloft explain 10.0.0.5:9001 --host=a.example --path=/api/x --tenant=team-a",
        "NODE is HOST:PORT of a node's control listener. Flags: --host, --path, --method,\n"
        "--tenant (name, never a key), --timeout in seconds, --json. With --request=ID, the\n"
        "request is the one in the logs, explained for its route. Changes nothing at the node.",
    ),
    Subcommand(
        "help",
        "[SUBCOMMAND]",
        "shows this text, or the help of a subcommand",
        "orioleloft help publish",
        "",
    ),
)


HELP_FLAGS = frozenset({"--help", "-help", "-h"})


def requested_help(arguments: Sequence[str]) -> str | None:
    """Returns the help that a command line asks for by a flag, or None if it asks for none.

    Args:
        arguments: arguments without the name of the program.
    """
    if not HELP_FLAGS & set(arguments):
        return None
    texts = [text for text in map(subcommand_help, arguments) if text]
    return texts[0] if texts else general_help()


def general_help() -> str:
    """Returns the help that lists all subcommands."""
    lines = [
        "Checks and publishes release notes, shows what is in force, and explains decisions.",
        "",
        "Usage: orioleloft [--settings FILE] SUBCOMMAND [FILE]",
        "",
    ]
    for subcommand in SUBCOMMANDS:
        synopsis = f"{subcommand.name} {subcommand.operands}".strip()
        lines += [f"  {synopsis:21} {subcommand.summary}", f"  {'':21} e.g. {subcommand.example}"]
    lines += ["", "--settings names an INI file with the [store] section; see docs/operators.md."]
    return "\n".join(lines)


def subcommand_help(name: str) -> str | None:
    """Returns the help of one subcommand, or None if there is no such subcommand."""
    for subcommand in SUBCOMMANDS:
        if subcommand.name == name:
            synopsis = f"orioleloft {name} {subcommand.operands}".strip()
            summary = f"{subcommand.summary[0].upper()}{subcommand.summary[1:]}."
            lines = [f"Usage: {synopsis}", "", summary, subcommand.details]
            return "\n".join([*lines, f"Example: {subcommand.example}"])
    return None
