"""Comparable copies of the state of objects, to show that a call has changed nothing."""

import collections
import random
from typing import Any


def frozen_state(value: Any, seen: tuple[int, ...] = ()) -> Any:
    """Returns the values behind an object of orioleloft, including private and random state.

    Functions, tasks and other objects from elsewhere count by their type only.
    """
    if id(value) in seen:
        return "(cycle)"
    seen = (*seen, id(value))
    match value:
        case None | bool() | int() | float() | str() | bytes():
            return value
        case random.Random():
            return value.getstate()
        case dict():
            return [(frozen_state(k, seen), frozen_state(v, seen)) for k, v in value.items()]
        case list() | tuple() | collections.deque():
            return [frozen_state(each, seen) for each in value]
        case set() | frozenset():
            return sorted(repr(frozen_state(each, seen)) for each in value)
    kind = type(value)
    if not kind.__module__.startswith(("orioleloft", "standins")):
        return kind.__name__
    slots = {name: getattr(value, name) for name in getattr(kind, "__slots__", ())}
    return kind.__name__, frozen_state({**slots, **getattr(value, "__dict__", {})}, seen)
