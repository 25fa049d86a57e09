"""Command line of the entry node: `orioleloftd --settings FILE --adapter MODULE`."""

import importlib
from collections.abc import Sequence

from absl import app, flags

_SETTINGS = flags.DEFINE_string("settings", "", "Settings file, in the adapter's format.")
_ADAPTER = flags.DEFINE_string(
    "adapter", "orioleloft_adapter.main", "Module with the platform-specific adapter."
)


def main(argv: Sequence[str]) -> int:
    """Runs the node with the chosen platform adapter and returns its exit code."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument: {argv[1]}")
    return importlib.import_module(_ADAPTER.value).start(_SETTINGS.value)


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


if __name__ == "__main__":
    run()
