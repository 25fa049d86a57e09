"""Codes and texts of the answers that admission gives without an answer of a target."""

from orioleloft_core.errors import KINDS, Code, Outcome
from orioleloft_core.request import Ending, Reply, error_reply

ENDING_CODES = {
    Ending.SHED: Code.TARGET_SHED,
    Ending.NOT_SENT: Code.TARGET_UNREACHABLE,
    Ending.BROKEN: Code.TARGET_BROKE_OFF,
    Ending.TIMED_OUT: Code.DEADLINE_AFTER_START,
    Ending.CANCELLED: Code.DEADLINE_AFTER_START,
}

_MESSAGES = {
    Code.UNKNOWN_SERVICE: "no release note in force names the service.",
    Code.CRASH_SUSPECT: "requests with this content have broken targets.",
    Code.NO_CAPACITY: "no target may take the request now.",
    Code.DEADLINE_BEFORE_START: "the deadline passed before a target was free.",
    Code.DEADLINE_AFTER_START: "the deadline passed while a target had the request.",
    Code.TARGET_SHED: "the target shed the request.",
    Code.TARGET_UNREACHABLE: "no connection to a target could be used.",
    Code.TARGET_BROKE_OFF: "the connection broke after the request was sent.",
}


def refusal(code: Code) -> Reply:
    """Returns the reply of a code."""
    return error_reply(code, _MESSAGES.get(code, "the holder refused the request."))


def refused_code(text: str) -> Code:
    """Returns the code of a holder's refusal; only one that states "not run" is passed on."""
    try:
        code = Code(text)
    except ValueError:
        return Code.NO_CAPACITY
    return code if KINDS[code].outcome is Outcome.NOT_RUN else Code.NO_CAPACITY
