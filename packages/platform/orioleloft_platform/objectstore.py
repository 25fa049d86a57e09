"""The platform's object API: one interface, and a client of the HTTP form assumed of it.

This docstring is the only description of the HTTP form. All bodies are JSON. A name consists of
segments separated by `/`. A version is a positive integer: 1 for a created object, and one more
after each accepted update of that object. A value is a JSON value of at most 1 MB (1,048,576
bytes of encoded JSON).

==================================================  ==============================================
request                                             answer
==================================================  ==============================================
`GET /v1/objects/NAME`                              200 `{"version": V, "value": ...}`; 404 if
                                                    there is no such object
`GET /v1/objects/NAME?wait_above=V&wait_ms=MS`      200 as above as soon as the version is above V;
                                                    204 if that did not happen within MS
`PUT /v1/objects/NAME` with `If-None-Match: *`      201 `{"version": 1}`; 412 if the object exists
`PUT /v1/objects/NAME` with `If-Match: "V"`         200 `{"version": V+1}`; 412 if the object does
                                                    not have version V or does not exist
`GET /v1/objects?prefix=PREFIX`                     200 `{"objects": [{"name": N, "version": V}]}`,
                                                    sorted by name
`GET /v1/vms`                                       200 `{"live": [VM], "leaving": [VM]}` where VM
                                                    is `{"name", "zone", "address"}`; it lags
==================================================  ==============================================

The body of a `PUT` is the value itself. Other answers: 400 for a malformed request, 413 for a value
over the limit, 429 and 503 when the platform takes no calls. After any 4xx or a 503 nothing was
changed. After another 5xx, or without an answer, a write may have taken effect. Each request counts
as one call; a waiting watch counts as one.
"""

import abc
import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from tornado import httpclient, httputil

from orioleloft_core.errors import ConflictError, OutcomeUnknownError, PlatformDownError

MAX_VALUE_BYTES = 1024 * 1024

_T = TypeVar("_T")

_DOWN_REMEDY = "Try again when the platform answers; nothing was changed."
_UNKNOWN_REMEDY = "Read the object to learn whether the write took effect."
_CONFLICT_REMEDY = "Read the object and decide again."
# After these answers the platform has changed nothing.
_REFUSING_STATUSES = frozenset({429, 503}) | frozenset(range(400, 500))


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object as read: its name, its version (from 1) and its JSON value."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class ListedObject:
    """Name and version of an object in a list; lists may lag."""

    name: str
    version: int


@dataclasses.dataclass(frozen=True)
class ListedVM:
    """A VM of the platform's list; `address` is `host:port`."""

    name: str
    zone: str
    address: str


@dataclasses.dataclass(frozen=True)
class VMList:
    """Live and leaving VMs as the platform lists them; the list lags."""

    live: tuple[ListedVM, ...]
    leaving: tuple[ListedVM, ...]


class ObjectStore(abc.ABC):
    """The platform's object API.

    Each method makes one platform call. Each raises `PlatformDownError` when nothing was sent or
    the platform refused the call; a read also raises it when its answer was lost.
    """

    @abc.abstractmethod
    async def read(self, name: str) -> StoredObject | None:
        """Returns the object, or None if there is none."""

    @abc.abstractmethod
    async def watch(self, name: str, above: int, wait_ms: int) -> StoredObject | None:
        """Waits until the object's version is above `above`.

        Args:
            name: the object; it need not exist yet.
            above: version that the caller has, 0 if none.
            wait_ms: longest wait in milliseconds.

        Returns:
            The object, or None if its version did not rise within `wait_ms`.
        """

    @abc.abstractmethod
    async def create(self, name: str, value: Any) -> int:
        """Creates an object and returns its version.

        Raises:
            ConflictError: the object exists.
            OutcomeUnknownError: the write was sent and its answer was lost.
        """

    @abc.abstractmethod
    async def update(self, name: str, version: int, value: Any) -> int:
        """Replaces the object if it still has `version`, and returns the new version.

        Raises:
            ConflictError: the object has another version or does not exist.
            OutcomeUnknownError: the write was sent and its answer was lost.
        """

    @abc.abstractmethod
    async def list(self, prefix: str) -> tuple[ListedObject, ...]:
        """Returns the objects whose names begin with `prefix`, by name; the list may lag."""

    @abc.abstractmethod
    async def list_vms(self) -> VMList:
        """Returns the live and leaving VMs; the list lags."""


class HttpObjectStore(ObjectStore):
    """Client of the HTTP form in the module's docstring.

    Args:
        address: `host:port` of the platform.
        connect_timeout_ms: longest time to open a connection.
        request_timeout_ms: longest time of a whole call; a watch takes its wait in addition.
        max_calls: calls in progress at a time; further calls wait for one of them.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_ms: int = 500,
        request_timeout_ms: int = 2000,
        max_calls: int = 16,
    ) -> None:
        self._url = f"http://{address}/v1"
        self._connect_seconds = connect_timeout_ms / 1000
        self._request_seconds = request_timeout_ms / 1000
        self._client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=max_calls)

    def close(self) -> None:
        """Closes the client; calls in progress fail."""
        self._client.close()

    async def read(self, name: str) -> StoredObject | None:
        """See `ObjectStore.read`."""
        response = await self._get(_object_path(name))
        return _stored(name, response) if response.code == 200 else None

    async def watch(self, name: str, above: int, wait_ms: int) -> StoredObject | None:
        """See `ObjectStore.watch`."""
        query = urlencode({"wait_above": above, "wait_ms": wait_ms})
        response = await self._get(f"{_object_path(name)}?{query}", wait_ms / 1000)
        return _stored(name, response) if response.code == 200 else None

    async def create(self, name: str, value: Any) -> int:
        """See `ObjectStore.create`."""
        return await self._put(name, value, {"If-None-Match": "*"})

    async def update(self, name: str, version: int, value: Any) -> int:
        """See `ObjectStore.update`."""
        return await self._put(name, value, {"If-Match": f'"{version}"'})

    async def list(self, prefix: str) -> tuple[ListedObject, ...]:
        """See `ObjectStore.list`."""
        response = await self._get(f"/objects?{urlencode({'prefix': prefix})}")
        return _parsed(response, lambda body: tuple(ListedObject(**it) for it in body["objects"]))

    async def list_vms(self) -> VMList:
        """See `ObjectStore.list_vms`."""
        response = await self._get("/vms")
        return _parsed(
            response,
            lambda body: VMList(
                live=tuple(ListedVM(**vm) for vm in body["live"]),
                leaving=tuple(ListedVM(**vm) for vm in body["leaving"]),
            ),
        )

    async def _get(self, path: str, wait_seconds: float = 0.0) -> httpclient.HTTPResponse:
        request = self._request(path, self._request_seconds + wait_seconds, method="GET")
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            raise PlatformDownError(f"platform did not answer: {error}.", _DOWN_REMEDY) from error
        if response.code not in (200, 204, 404):
            raise PlatformDownError(f"platform answered {response.code}.", _DOWN_REMEDY)
        return response

    async def _put(self, name: str, value: Any, condition: dict[str, str]) -> int:
        body = _encoded(name, value)
        was_sent = False

        async def send(write: Callable[[bytes], Awaitable[None]]) -> None:
            # Until the body is written the platform cannot have taken the write.
            nonlocal was_sent
            was_sent = True
            await write(body)

        headers = condition | {"Content-Type": "application/json", "Content-Length": str(len(body))}
        request = self._request(
            _object_path(name),
            self._request_seconds,
            method="PUT",
            body_producer=send,
            headers=httputil.HTTPHeaders(headers),
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            if was_sent:
                message = f"the answer to the write of {name} was lost: {error}."
                raise OutcomeUnknownError(message, _UNKNOWN_REMEDY) from error
            raise PlatformDownError(f"platform not reached: {error}.", _DOWN_REMEDY) from error
        return _written(name, response)

    def _request(self, path: str, seconds: float, **options: Any) -> httpclient.HTTPRequest:
        return httpclient.HTTPRequest(
            self._url + path,
            connect_timeout=self._connect_seconds,
            request_timeout=seconds,
            follow_redirects=False,
            **options,
        )


def encoded_size(value: Any) -> int:
    """Returns the size of a value in bytes, as it is sent."""
    return len(json.dumps(value, separators=(",", ":")).encode())


async def read_many(
    store: ObjectStore, names: tuple[str, ...], at_a_time: int = 8
) -> tuple[StoredObject | None, ...]:
    """Reads several objects, a few at a time, in the order of `names`.

    Raises:
        PlatformDownError: one of the reads failed.
    """
    limit = asyncio.Semaphore(at_a_time)

    async def read(name: str) -> StoredObject | None:
        async with limit:
            return await store.read(name)

    return tuple(await asyncio.gather(*(read(name) for name in names)))


def _object_path(name: str) -> str:
    return f"/objects/{quote(name, safe='/')}"


def _encoded(name: str, value: Any) -> bytes:
    body = json.dumps(value, separators=(",", ":")).encode()
    if len(body) > MAX_VALUE_BYTES:
        message = f"value of {name} has {len(body)} bytes; the limit is {MAX_VALUE_BYTES}."
        raise PlatformDownError(message, "Write a smaller value.")
    return body


def _stored(name: str, response: httpclient.HTTPResponse) -> StoredObject:
    return _parsed(response, lambda body: StoredObject(name, int(body["version"]), body["value"]))


def _parsed(response: httpclient.HTTPResponse, read: Callable[[Any], _T]) -> _T:
    try:
        return read(json.loads(response.body))
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformDownError("platform's answer has another form.", _DOWN_REMEDY) from error


def _written(name: str, response: httpclient.HTTPResponse) -> int:
    if response.code == 412:
        raise ConflictError(f"{name} has another version.", _CONFLICT_REMEDY)
    if response.code in _REFUSING_STATUSES:
        message = f"platform refused the write of {name} with {response.code}."
        raise PlatformDownError(message, _DOWN_REMEDY)
    try:
        if response.code not in (200, 201):
            raise ValueError(f"status {response.code}")
        return int(json.loads(response.body)["version"])
    except (ValueError, KeyError, TypeError) as error:
        message = f"the answer to the write of {name} is unusable: {error}."
        raise OutcomeUnknownError(message, _UNKNOWN_REMEDY) from error
