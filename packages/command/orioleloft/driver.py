"""Runs the steps of `orioleloft_core.publishing` against the platform."""

from collections.abc import Generator
from typing import Any, TypeVar

from orioleloft_core.errors import ConflictError, OutcomeUnknownError, PlatformDownError
from orioleloft_core.publishing import Call, Create, Found, Read, Update
from orioleloft_platform.objectstore import ObjectStore, read_many

_T = TypeVar("_T")


async def drive(steps: Generator[Call, Any, _T], store: ObjectStore) -> _T:
    """Runs the steps to their end and returns their result.

    Raises:
        OrioleloftError: what the steps raise.
    """
    try:
        call = next(steps)
        while True:
            try:
                result = await _run(call, store)
            except (ConflictError, OutcomeUnknownError, PlatformDownError) as error:
                call = steps.throw(error)
            else:
                call = steps.send(result)
    except StopIteration as end:
        return end.value


async def _run(call: Call, store: ObjectStore) -> Any:
    match call:
        case Read(names):
            found = await read_many(store, names)
            return tuple(Found(item.version, item.value) if item else None for item in found)
        case Create(name, value):
            return await store.create(name, value)
        case Update(name, version, value):
            return await store.update(name, version, value)
