"""Number of examples that property tests run."""

import os

# Factor on the number of fixed examples; all property tests together then take some minutes.
FRESH_EXAMPLES_FACTOR = 50


def examples(count: int) -> int:
    """Returns the number of examples to run, more of them if they are fresh.

    Args:
        count: number of fixed examples.
    """
    return count * (
        FRESH_EXAMPLES_FACTOR if os.environ.get("ORIOLELOFT_EXAMPLES") == "fresh" else 1
    )
