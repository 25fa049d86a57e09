"""Random source without chance, for decisions that are asked and not made."""

import random

# Fractions that give the bounds of what is drawn at random.
LEAST, MIDDLE, GREATEST = 0.0, 0.5, 1.0


class FixedRandom(random.Random):
    """Draws the same fraction of each range, and moves no generator that others use.

    Args:
        fraction: what `random` returns.
    """

    def __init__(self, fraction: float = MIDDLE) -> None:
        super().__init__(fraction)
        self._fraction = fraction

    def random(self) -> float:
        """Returns the fraction."""
        return self._fraction
