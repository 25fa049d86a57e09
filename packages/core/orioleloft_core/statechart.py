"""Interpreter for flat state charts in JSON files.

It replaces sismic, whose import takes 0.1 s and whose events take 100 us each, too long for a node
that restarts.
"""

import functools
import json
import pathlib


@functools.cache
def _load_chart(name: str) -> tuple[str, dict[str, dict[str, str]]]:
    path = pathlib.Path(__file__).with_name(f"{name}.json")
    chart = json.loads(path.read_text())
    states = chart["states"]
    targets = {target for events in states.values() for target in events.values()}
    unknown = (targets | {chart["initial"]}) - set(states)
    if unknown:
        raise ValueError(f"{path.name} refers to undefined states: {sorted(unknown)}.")
    return chart["initial"], states


class StateChart:
    """One run of a state chart, which starts in the chart's initial state.

    Args:
        name: name of a JSON file beside this module, without its extension.

    Raises:
        ValueError: a transition or the initial state refers to an undefined state.
    """

    def __init__(self, name: str) -> None:
        self._state, self._transitions = _load_chart(name)

    @property
    def state(self) -> str:
        """Name of the current state."""
        return self._state

    def handle(self, event: str) -> bool:
        """Follows the transition of the current state for an event.

        Returns:
            False if there is no such transition; the state stays the same then.
        """
        target = self._transitions[self._state].get(event)
        if target is None:
            return False
        self._state = target
        return True
