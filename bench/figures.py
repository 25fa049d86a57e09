"""Figures that the benchmarks print."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured value beside its baseline from the same run.

    Attributes:
        name: what was measured.
        value: the value.
        unit: unit of value and baseline.
        baseline: value of the baseline, or None if there is none.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None

    @property
    def ratio(self) -> float | None:
        """Value divided by the baseline."""
        return self.value / self.baseline if self.baseline else None

    def line(self) -> str:
        """Returns `name value unit baseline value ratio value`."""
        text = f"{self.name} {self.value:.4g} {self.unit}"
        if self.ratio is None:
            return text
        return f"{text} baseline {self.baseline:.4g} ratio {self.ratio:.3g}"
