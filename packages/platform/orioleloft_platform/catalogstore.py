"""Reads the catalog and reads and writes the assignment object through an `ObjectStore`."""

import time
from collections.abc import Callable
from typing import Any

from orioleloft_core import head as headdocument
from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import ReadHead, WriteAssignment
from orioleloft_core.errors import (
    ConflictError,
    DocumentError,
    OutcomeUnknownError,
    PlatformDownError,
)
from orioleloft_core.events import AssignmentRead, HeadRead
from orioleloft_core.head import Head, Part
from orioleloft_platform.objectstore import ObjectStore, StoredObject, read_many


class CatalogStore:
    """The catalog and the assignment of one platform.

    Parts are immutable, so those that have been read are kept in memory and only parts under new
    names are read again.

    Args:
        store: the platform.
        watch_ms: how long a watch waits, in milliseconds.
        clock: seconds on the node's clock, for `started` in the results.
    """

    def __init__(
        self,
        store: ObjectStore,
        watch_ms: int = 10000,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._watch_ms = watch_ms
        self._clock = clock
        self._parts: dict[str, Part] = {}

    async def read_catalog(self, effect: ReadHead) -> HeadRead:
        """Reads the head and the parts that changed.

        A version that is not above `effect.wait_for` gives no catalog. Without a head the catalog
        has version 0. A failed call, and a document of another form, count as not reachable.
        """
        started = self._clock()
        try:
            catalog = await self._read(effect.wait_for)
        except (PlatformDownError, DocumentError):
            return HeadRead(None, False, started)
        return HeadRead(catalog, True, started)

    async def read_assignment(self) -> AssignmentRead:
        """Reads the assignment; epoch 0 if there is none."""
        started = self._clock()
        try:
            found = await self._store.read(headdocument.ASSIGNMENT)
            return _assignment(found, started)
        except (PlatformDownError, DocumentError):
            return AssignmentRead(0, (), False, started)

    async def write_assignment(self, effect: WriteAssignment) -> AssignmentRead:
        """Replaces the assignment if its epoch is still `effect.base_epoch`.

        Returns:
            The object as written, or as another node has written it. After a lost answer it is not
            reachable, since the write may have taken effect.
        """
        started = self._clock()
        name, value = headdocument.ASSIGNMENT, {"holders": [list(it) for it in effect.holders]}
        try:
            if effect.base_epoch:
                epoch = await self._store.update(name, effect.base_epoch, value)
            else:
                epoch = await self._store.create(name, value)
        except ConflictError:
            return await self.read_assignment()
        except (PlatformDownError, OutcomeUnknownError):
            return AssignmentRead(0, (), False, started)
        return AssignmentRead(epoch, effect.holders, True, started)

    async def _read(self, wait_for: int) -> Catalog | None:
        found = await self._read_head(wait_for)
        if found is None:
            return None if wait_for else Catalog()
        head = Head.from_document(found.version, found.value)
        return headdocument.catalog(head, await self._read_parts(head))

    async def _read_head(self, wait_for: int) -> StoredObject | None:
        if wait_for:
            return await self._store.watch(headdocument.HEAD, wait_for, self._watch_ms)
        return await self._store.read(headdocument.HEAD)

    async def _read_parts(self, head: Head) -> dict[str, Part]:
        """Reads the parts that are not known yet and forgets those that the head does not name."""
        missing = tuple(name for _, name in head.services if name not in self._parts)
        for name, found in zip(missing, await read_many(self._store, missing), strict=True):
            if found is None:
                raise PlatformDownError(f"the platform does not show {name} yet.", "Read again.")
            self._parts[name] = Part.from_document(found.value)
        self._parts = {name: self._parts[name] for _, name in head.services}
        return {service: self._parts[name] for service, name in head.services}


def _assignment(found: StoredObject | None, started: float) -> AssignmentRead:
    if found is None:
        return AssignmentRead(0, (), True, started)
    try:
        holders = tuple(_holder(item) for item in found.value["holders"])
    except (KeyError, TypeError, ValueError) as error:
        raise DocumentError("the assignment document has another form.") from error
    return AssignmentRead(found.version, holders, True, started)


def _holder(item: Any) -> tuple[str, str, str]:
    group, seat, incarnation = item
    return str(group), str(seat), str(incarnation)
