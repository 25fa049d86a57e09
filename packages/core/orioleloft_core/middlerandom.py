"""Random source that always draws the middle, for decisions that are asked and not made."""

import random


class MiddleRandom(random.Random):
    """Draws the middle of each range, so that neither chance nor a shared generator is involved."""

    def random(self) -> float:
        """Returns 0.5."""
        return 0.5
