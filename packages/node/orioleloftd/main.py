"""Command line of the entry node: `orioleloftd --settings FILE --adapter MODULE`."""

import importlib
import sys
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


USAGE = """Runs one entry node until it is stopped by SIGTERM.

Usage: orioleloftd --settings FILE [--adapter MODULE]

SIGHUP reads the settings file again; docs/operators.md tells what a node needs.
Example: orioleloftd --settings /etc/orioleloft/boot.conf
"""


def run() -> None:
    """Entry point of the console script."""
    # absl shows the docstring of the main module as help, and a console script has none.
    sys.modules["__main__"].__doc__ = USAGE
    app.run(main)


if __name__ == "__main__":
    run()
