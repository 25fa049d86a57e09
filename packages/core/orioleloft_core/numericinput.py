"""Numbers from outside: ASCII digits only, finite and within a range.

`str.isdigit` accepts digits that `int` refuses, and `float` accepts `nan`, `inf` and negative
numbers, for which comparisons with a limit are false.
"""

import math
from typing import Any

# Whole numbers with more digits are refused; any count, size or version has fewer.
MAX_DIGITS = 18


def parse_whole_number(text: str, maximum: int = 10**MAX_DIGITS - 1) -> int:
    """Parses a whole number that is written in ASCII digits.

    Args:
        text: the digits.
        maximum: greatest value allowed.

    Raises:
        ValueError: the text has other characters or too many digits, or the value is too great.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        raise ValueError("is not a whole number")
    number = int(text)
    if number > maximum:
        raise ValueError(f"is greater than {maximum}")
    return number


def require_whole_number(value: Any, minimum: int = 0) -> int:
    """Returns a decoded value that must be an integer of up to `MAX_DIGITS` digits.

    Raises:
        ValueError: the value has another type, or is out of range.
    """
    if type(value) is not int or not minimum <= value < 10**MAX_DIGITS:
        raise ValueError(f"{_shorten(value)} is not a whole number from {minimum}")
    return value


def require_number(value: Any, minimum: float = 0.0) -> float:
    """Returns a decoded value that must be a finite number.

    Raises:
        ValueError: the value has another type, is not finite or is less than the minimum.
    """
    is_number = type(value) in (int, float) and abs(value) < 10**MAX_DIGITS
    if not is_number or value < minimum:
        raise ValueError(f"{_shorten(value)} is not a finite number from {minimum:g}")
    return float(value)


def parse_number(text: str, minimum: float = 0.0) -> float:
    """Parses a finite decimal number.

    Raises:
        ValueError: the text is no number, or the value is not finite or less than the minimum.
    """
    number = float(text) if text.isascii() else math.nan
    return require_number(number, minimum)


def _shorten(value: Any) -> str:
    return repr(value)[:40] if isinstance(value, int | float | str) else type(value).__name__
