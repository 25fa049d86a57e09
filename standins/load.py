"""Load generator: `python -m standins.load --directory HOST:PORT --rate 50 --seconds 10`."""

import asyncio
import random
import sys
import time
from collections.abc import Sequence

from absl import flags

from orioleloft_core.entrysettings import parse_endpoint
from standins.callers import Caller, CallerAttempt, RequestKind, latency_table

# A registry of its own, because the modules of several commands may be imported in one process.
_FLAGS = flags.FlagValues()
_DIRECTORY = flags.DEFINE_list(
    "directory", [], "HOST:PORT of nodes that serve the directory", flag_values=_FLAGS
)
_ZONE = flags.DEFINE_string("zone", "", "availability zone of the callers", flag_values=_FLAGS)
_RATE = flags.DEFINE_float(
    "rate", 50.0, "requests per second of all callers together", flag_values=_FLAGS
)
_SECONDS = flags.DEFINE_float(
    "seconds", 10.0, "duration of the load, in seconds", flag_values=_FLAGS
)
_CALLERS = flags.DEFINE_integer("callers", 10, "number of concurrent callers", flag_values=_FLAGS)
_KIND = flags.DEFINE_string(
    "kind", "GET lookups.example /api/", "method, host and path prefix", flag_values=_FLAGS
)


async def _run_load() -> list[CallerAttempt]:
    method, host, path_prefix = _KIND.value.split()
    kind = RequestKind(f"{method} {host}", host, method, path_prefix, 0, method == "GET")
    directories = [parse_endpoint(text) for text in _DIRECTORY.value]
    callers = [
        Caller(f"load{index}", _ZONE.value, directories, random.Random(index))
        for index in range(_CALLERS.value)
    ]
    deadline = time.monotonic() + _SECONDS.value

    async def run_caller(caller: Caller) -> None:
        while time.monotonic() < deadline:
            await asyncio.sleep(random.expovariate(_RATE.value / len(callers)))
            await caller.send(kind)
        caller.close()

    await asyncio.gather(*map(run_caller, callers))
    return [attempt for caller in callers for attempt in caller.attempts]


def main(argv: Sequence[str]) -> None:
    """Runs the load and prints counts and latencies by kind and status."""
    del argv
    print("\n".join(latency_table(asyncio.run_caller(_run_load()))))


if __name__ == "__main__":
    main(_FLAGS(sys.argv))
