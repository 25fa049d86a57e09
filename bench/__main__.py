"""Runs all benchmarks: `python -m bench [MODULE...]` prints figures and fills the folder out/."""

import importlib
import importlib.util
import os
import pathlib
import sys
from collections.abc import Sequence

from bench import plots

MODULES = ("capacity", "cost", "call", "tail", "zone")
FOLDER = pathlib.Path("out")


def main(names: Sequence[str]) -> None:
    """Runs the named benchmarks, or all that exist."""
    FOLDER.mkdir(exist_ok=True)
    for name in names or MODULES:
        module = f"bench.{name}"
        if importlib.util.find_spec(module) is None:
            print(f"# {module} does not exist")
            continue
        print(f"# {module}, load average {os.getloadavg()[0]:.2f}", flush=True)
        figures = importlib.import_module(module).figures()
        for figure in figures:
            print(figure.line(), flush=True)
        plots.write_table(FOLDER / f"{name}.csv", figures)
        plots.write_plots(FOLDER, figures)


if __name__ == "__main__":
    main(sys.argv[1:])
