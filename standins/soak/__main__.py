"""Command line of the soak: runs seeds and reports those that failed."""

import asyncio
import pathlib
import signal
import sys
import tempfile
from collections.abc import Sequence

from absl import flags

from standins.callers import latency_table
from standins.soak.run import run_soak

# A registry of its own, because the modules of several commands may be imported in one process.
_FLAGS = flags.FlagValues()
_SEED = flags.DEFINE_integer("seed", 1, "first seed", flag_values=_FLAGS)
_SEEDS = flags.DEFINE_integer("seeds", 1, "number of consecutive seeds to run", flag_values=_FLAGS)
_SECONDS = flags.DEFINE_float(
    "seconds", 15.0, "duration of the fault injection for each seed, in seconds", flag_values=_FLAGS
)
_NODES = flags.DEFINE_integer("nodes", 5, "number of entry nodes", flag_values=_FLAGS)
_CALLERS = flags.DEFINE_integer("callers", 12, "number of callers", flag_values=_FLAGS)
_KEEP = flags.DEFINE_string(
    "keep", "", "directory for the logs and settings of failed seeds", flag_values=_FLAGS
)


def _run_seed(seed: int) -> bool:
    with tempfile.TemporaryDirectory() as name:
        run_dir = pathlib.Path(name)
        faults, failures, attempts = asyncio.run(
            run_soak(run_dir, seed, _SECONDS.value, _NODES.value, _CALLERS.value)
        )
        print(
            f"seed {seed}: {len(faults)} faults, {len(attempts)} attempts, {len(failures)} failures"
        )
        if not failures:
            return True
        print("\n".join([*failures[:20], *map(str, faults), *latency_table(attempts)]))
        if _KEEP.value:
            run_dir.rename(pathlib.Path(_KEEP.value) / f"seed-{seed}")
            run_dir.mkdir()
        return False


def main(argv: Sequence[str]) -> int:
    """Runs the soak for each seed; returns 0 if no invariant was violated, else 1."""
    del argv
    # Raises SystemExit, so that the child processes are ended as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    results = [_run_seed(seed) for seed in range(_SEED.value, _SEED.value + _SEEDS.value)]
    print(f"{results.count(True)} of {len(results)} seeds passed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(_FLAGS(sys.argv)))
