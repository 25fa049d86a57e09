"""Straight lines through measured points."""

from collections.abc import Sequence

import numpy

from bench.figures import Figure


def slope_of(name: str, unit: str, points: Sequence[tuple[float, float]]) -> list[Figure]:
    """Returns slope and intercept of the least-squares line through (size, value) points."""
    sizes, values = zip(*points, strict=True)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    return [
        Figure(f"{name}.slope", float(slope), f"{unit}/one"),
        Figure(f"{name}.intercept", float(intercept), unit),
    ]
