"""Entry point of the entry node: `orioleloftd --settings FILE --adapter MODULE`."""

import importlib
from collections.abc import Sequence

from absl import app, flags

_SETTINGS = flags.DEFINE_string("settings", "", "Settings file, in the adapter's format.")
_ADAPTER = flags.DEFINE_string(
    "adapter", "orioleloft_adapter.main", "Module that speaks the platform's form."
)


def main(argv: Sequence[str]) -> int:
    """Runs the node and returns its exit code."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument: {argv[1]}")
    return importlib.import_module(_ADAPTER.value).start(_SETTINGS.value)


def run() -> None:
    """Console entry point."""
    app.run(main)


if __name__ == "__main__":
    run()
