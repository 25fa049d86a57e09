"""Table and plots of figures."""

import collections
import csv
import pathlib
from collections.abc import Iterable, Sequence

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.figures import Figure  # noqa: E402

Group = tuple[str, str]


def write_table(path: pathlib.Path, figures: Iterable[Figure]) -> None:
    """Writes one row a figure."""
    with path.open("w", newline="") as file:
        rows = csv.writer(file)
        rows.writerow(("name", "value", "unit", "baseline", "ratio"))
        for each in figures:
            rows.writerow((each.name, each.value, each.unit, each.baseline, each.ratio))


def write_plots(folder: pathlib.Path, figures: Iterable[Figure]) -> list[pathlib.Path]:
    """Writes one plot a measure; sizes at the end of names become the x axis.

    Returns:
        The files written.
    """
    groups: dict[Group, list[Figure]] = collections.defaultdict(list)
    for each in figures:
        groups[_measure(each.name), each.unit].append(each)
    return [_plot(folder, *group, members) for group, members in groups.items()]


def _measure(name: str) -> str:
    head, _, tail = name.rpartition(".")
    return head if tail.isdigit() else name.partition(".")[0]


def _plot(folder: pathlib.Path, measure: str, unit: str, members: Sequence[Figure]) -> pathlib.Path:
    is_line = all(_size(each) is not None for each in members)
    plot, axes = pyplot.subplots(figsize=(7, 4), layout="constrained")
    places = [_size(each) for each in members] if is_line else list(range(len(members)))
    draw = _draw_line if is_line else _draw_bars
    draw(axes, places, members)
    axes.set(title=measure, ylabel=unit, ylim=(min(0, *(each.value for each in members)), None))
    axes.legend()
    words = f"{measure}.{unit}".replace("/", "_a_").replace("%", "percent").replace(" ", "_")
    path = folder / f"{words}.png"
    plot.savefig(path)
    pyplot.close(plot)
    return path


def _draw_line(axes, places: Sequence[int], members: Sequence[Figure]) -> None:
    axes.plot(places, [each.value for each in members], marker="o", label="orioleloft")
    if members[0].baseline is not None:
        axes.plot(places, [each.baseline for each in members], marker="x", label="baseline")
    axes.set_xlabel("size")


def _draw_bars(axes, places: Sequence[int], members: Sequence[Figure]) -> None:
    width = 0.4
    axes.bar(places, [each.value for each in members], width, label="orioleloft")
    compared = [(x + width, each.baseline) for x, each in zip(places, members, strict=True)]
    known = [(x, value) for x, value in compared if value is not None]
    if known:
        axes.bar(*zip(*known, strict=True), width, label="baseline")
    axes.set_xticks(places, [each.name for each in members], rotation=30, ha="right", fontsize=7)


def _size(figure: Figure) -> int | None:
    tail = figure.name.rpartition(".")[2]
    return int(tail) if tail.isdigit() else None
