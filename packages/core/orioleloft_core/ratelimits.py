"""Rate limits that targets state in their answers."""

import dataclasses
import enum
import re

# Greatest rate limit that counts, in requests per second; a greater one is malformed.
MAX_RATE_LIMIT_PER_S = 1e6
# Longest text of a rate limit, in characters.
MAX_RATE_LIMIT_CHARS = 18

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


@dataclasses.dataclass(frozen=True)
class NoRateLimit:
    """The answer states no limit."""


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """The answer states how many requests per second the target takes from all nodes together."""

    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class MalformedRateLimit:
    """The answer states a limit that cannot be read; `text` is the start of it."""

    text: str


class AnswerKind(enum.StrEnum):
    """Kinds of answers of a target."""

    # The target has executed the request.
    RESPONSE = "response"
    # The target states that it did not execute the request.
    REFUSAL = "refusal"
    # The answer to a probe.
    PROBE = "probe"


RateLimitStatement = NoRateLimit | RateLimit | MalformedRateLimit


def parse_rate_limit(text: str | None) -> RateLimitStatement:
    """Parses a rate limit: a decimal number from 0, without sign or exponent.

    Args:
        text: the text of the limit, or None if there is none.
    """
    if text is None:
        return NoRateLimit()
    number = text.strip()
    if len(number) > MAX_RATE_LIMIT_CHARS or not _DECIMAL.fullmatch(number):
        return MalformedRateLimit(text[:MAX_RATE_LIMIT_CHARS])
    requests_per_s = float(number)
    if requests_per_s > MAX_RATE_LIMIT_PER_S:
        return MalformedRateLimit(number)
    return RateLimit(requests_per_s)
