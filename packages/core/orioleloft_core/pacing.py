"""Pace of calls to the platform: a token bucket in normal times, back-off after failures."""

import typing


class Bucket(typing.Protocol):
    """Limits the rate of calls; `budget.TokenBucket` has this form."""

    def take(self, now: float) -> bool:
        """Takes one token; returns False if there is none."""


class Delays(typing.Protocol):
    """Gives the delay after each failure in a row; `budget.Backoff` has this form."""

    def next_delay(self) -> float:
        """Returns the next delay in seconds."""

    def reset(self) -> None:
        """Starts again with the first delay."""


class Pacer:
    """Decides when one part of a node may call the platform.

    Args:
        bucket: budget of the node; all its parts share one.
        delays: back-off of this part alone.
    """

    def __init__(self, bucket: Bucket, delays: Delays) -> None:
        self._bucket = bucket
        self._delays = delays
        self._not_before = float("-inf")

    def may_call(self, now: float) -> bool:
        """Tells whether a call may be made now, and counts it if so."""
        return now >= self._not_before and self._bucket.take(now)

    def failed(self, now: float) -> None:
        """Notes that the platform did not answer a call."""
        self._not_before = now + self._delays.next_delay()

    def succeeded(self) -> None:
        """Notes that the platform answered a call."""
        self._delays.reset()
