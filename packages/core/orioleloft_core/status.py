"""Form of an entry node's answer to `GET /_orioleloft/status`.

The answer is one JSON object with the fields of `NodeStatus`; `targets` is an array of objects with
the fields of `TargetStatus`. A reader ignores fields that it does not know, so that a node may be
newer than the operators' command.
"""

import dataclasses
from collections.abc import Mapping
from typing import Any

from orioleloft_core.errors import DocumentError

_JSON_TYPES: dict[Any, tuple[type, ...]] = {str: (str,), int: (int,), float: (int, float)}


@dataclasses.dataclass(frozen=True)
class TargetStatus:
    """One target as the node sees it.

    Attributes:
        id: `service/name`.
        phase: state of the target's state chart, for example `warm`.
        share: part of the node's dispatches to the service in the last 10 s that went to the
            target, from 0 to 1.
    """

    id: str
    phase: str
    share: float


@dataclasses.dataclass(frozen=True)
class NodeStatus:
    """One entry node.

    Attributes:
        seat: seat of the node.
        incarnation: 16 hex digits drawn at the start of the process.
        zone: availability zone of the node.
        state: state of the node's state chart, for example `serving`.
        catalog_version: version in force on the node, 0 if none.
        in_force_ms: how long that version has been in force there, in milliseconds.
        targets: all targets of that version.
    """

    seat: str
    incarnation: str
    zone: str
    state: str
    catalog_version: int
    in_force_ms: int
    targets: tuple[TargetStatus, ...] = ()

    def to_document(self) -> dict[str, Any]:
        """Returns the status as plain values for JSON."""
        return dataclasses.asdict(self)

    @classmethod
    def from_document(cls, document: Any) -> "NodeStatus":
        """Builds a status from `to_document`'s form.

        Raises:
            DocumentError: a field is missing or has another type.
        """
        fields = _checked(cls, document)
        targets = document.get("targets", [])
        if not isinstance(targets, list | tuple):
            raise _error("targets")
        listed = tuple(TargetStatus(**_checked(TargetStatus, target)) for target in targets)
        return cls(**fields, targets=listed)


def _checked(cls: type, document: Any) -> dict[str, Any]:
    """Returns the document's values of the fields of a plain type."""
    if not isinstance(document, Mapping):
        raise _error(cls.__name__)
    values: dict[str, Any] = {}
    for field in dataclasses.fields(cls):
        types = _JSON_TYPES.get(field.type)
        if types is None:
            continue
        value = document.get(field.name)
        if not isinstance(value, types) or isinstance(value, bool):
            raise _error(field.name)
        values[field.name] = value
    return values


def _error(part: str) -> DocumentError:
    remedy = "Use an orioleloft of the node's version."
    return DocumentError(f"the status has no valid {part}.", remedy)
