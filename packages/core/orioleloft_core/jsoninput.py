"""JSON from outside, of which one value that cannot be read must not cost the rest.

The decoder of the standard library refuses a whole document for text that is not UTF-8, an integer
of more than 4,300 digits, or brackets that are nested deeper than the interpreter's stack.
"""

import json
import math
import re
from typing import Any

from orioleloft_core.numericinput import MAX_DIGITS

# Depth from which lists and objects become null; the platform's objects have a depth of eight.
MAX_DEPTH = 32

# Strings, as they may contain brackets, and brackets. Possessive quantifiers avoid backtracking.
_TOKENS = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)|[\[{]|[\]}]', re.DOTALL)


def decode(data: bytes) -> Any:
    """Decodes a JSON document.

    Where the standard decoder refuses it, bytes that are not UTF-8 become U+FFFD, integers with too
    many digits become not-a-number, and lists and objects at `MAX_DEPTH` become null.

    Raises:
        ValueError: the document is malformed all the same.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = _prune(data.decode("utf-8", "replace"))
    return json.loads(text, parse_int=_parse_integer)


def _parse_integer(text: str) -> int | float:
    # The sign counts as a digit here.
    return int(text) if len(text) <= MAX_DIGITS else math.nan


def _prune(text: str) -> str:
    """Replaces lists and objects at `MAX_DEPTH` by null.

    Raises:
        ValueError: a bracket is not closed.
    """
    kept = []
    depth = start = 0
    for token in _TOKENS.finditer(text):
        match token.group()[0]:
            case "[" | "{":
                depth += 1
                if depth == MAX_DEPTH:
                    kept.append(text[start : token.start()])
            case "]" | "}":
                if depth == MAX_DEPTH:
                    kept.append("null")
                    start = token.end()
                depth -= 1
    if depth >= MAX_DEPTH:
        raise ValueError("a list or object is not closed")
    kept.append(text[start:])
    return "".join(kept)
