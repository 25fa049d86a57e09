"""What a sub-command hands back for printing, and the exit codes of the command.

====  ==================================================================================
code  meaning
====  ==================================================================================
0     ok
1     usage fault, unreadable file, or note with faults; nothing was released
2     the note is refused and never takes effect under this name
3     the platform is down, refuses calls or gives unusable answers; nothing was released
4     outcome unknown: the note may or may not be in force; publish the same file again
5     one or more entry nodes gave no status
====  ==================================================================================
"""

import dataclasses
import enum
import json
from typing import Any

from orioleloft_core import errors


class ExitCode(enum.IntEnum):
    """Exit codes of the command; absl itself exits with 1 on a wrong flag."""

    OK = 0
    FAULT = 1
    REFUSED = 2
    PLATFORM_DOWN = 3
    OUTCOME_UNKNOWN = 4
    NODE_DOWN = 5


_CODES: dict[type[errors.OrioleloftError], ExitCode] = {
    errors.NoteError: ExitCode.FAULT,
    errors.ReleaseRefusedError: ExitCode.REFUSED,
    errors.PlatformDownError: ExitCode.PLATFORM_DOWN,
    errors.DocumentError: ExitCode.PLATFORM_DOWN,
    errors.OutcomeUnknownError: ExitCode.OUTCOME_UNKNOWN,
}


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of a sub-command.

    Attributes:
        lines: text for people.
        document: the same as plain values for JSON.
        code: exit code of the process.
    """

    lines: tuple[str, ...]
    document: Any
    code: ExitCode = ExitCode.OK

    def text(self, as_json: bool) -> str:
        """Returns what is printed."""
        return json.dumps(self.document, indent=2) if as_json else "\n".join(self.lines)


def of_error(error: errors.OrioleloftError) -> Report:
    """Returns the report of an error that ended a sub-command."""
    document = {"outcome": error.code, "message": str(error), "remedy": error.remedy}
    return Report((str(error),), document, _CODES.get(type(error), ExitCode.FAULT))
