"""Load tool: `python -m standins.load --directory HOST:PORT --rate 50 --seconds 10`."""

import asyncio
import random
import sys
import time
from collections.abc import Sequence

from absl import flags

from orioleloft_core.entrysettings import parse_endpoint
from standins.callers import Caller, CallerAttempt, RequestKind, table

# Flags of this command only, as another command may be imported beside it.
_FLAGS = flags.FlagValues()
_DIRECTORY = flags.DEFINE_list(
    "directory", [], "HOST:PORT of nodes that serve the directory", flag_values=_FLAGS
)
_ZONE = flags.DEFINE_string("zone", "", "availability zone of the callers", flag_values=_FLAGS)
_RATE = flags.DEFINE_float(
    "rate", 50.0, "requests a second of all callers together", flag_values=_FLAGS
)
_SECONDS = flags.DEFINE_float("seconds", 10.0, "length of the run", flag_values=_FLAGS)
_CALLERS = flags.DEFINE_integer("callers", 10, "number of callers", flag_values=_FLAGS)
_KIND = flags.DEFINE_string(
    "kind", "GET lookups.example /api/", "method, host and path prefix", flag_values=_FLAGS
)


async def _play() -> list[CallerAttempt]:
    method, host, prefix = _KIND.value.split()
    kind = RequestKind(f"{method} {host}", host, method, prefix, 0, method == "GET")
    directories = [parse_endpoint(text) for text in _DIRECTORY.value]
    callers = [
        Caller(f"load{index}", _ZONE.value, directories, random.Random(index))
        for index in range(_CALLERS.value)
    ]
    end = time.monotonic() + _SECONDS.value

    async def run(caller: Caller) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(random.expovariate(_RATE.value / len(callers)))
            await caller.send(kind)
        caller.close()

    await asyncio.gather(*map(run, callers))
    return [attempt for caller in callers for attempt in caller.attempts]


def main(argv: Sequence[str]) -> None:
    """Plays the load and prints what the callers saw."""
    del argv
    print("\n".join(table(asyncio.run(_play()))))


if __name__ == "__main__":
    main(_FLAGS(sys.argv))
