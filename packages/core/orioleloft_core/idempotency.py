"""Idempotency keys: a non-idempotent request runs at most once.

A key is `<seat>.<incarnation>.<window>.<caller part>`. Only the incarnation that the key names, its
owner, may run the request, so the owner's memory alone decides. "Not run" is stated only after the
owner has made sure that the key can never run: by a NOT_RUN record, or by a closed window.

Callers of this module pass every keyed request to `KeyTable.begin` first, also on a node that
takes no new work. Such a node ends a `Run` by `finish` with its refusal, which seals the key; a
refusal without `begin` could contradict a run at the owner.
"""

import dataclasses
import enum
import re
from collections.abc import Callable

from orioleloft_core.effects import Answer, Effect, Send
from orioleloft_core.errors import Code, Outcome
from orioleloft_core.messages import KeyQuery, KeyState, NodeFacts
from orioleloft_core.request import Reply, Request, error_reply
from orioleloft_core.settings import Settings

# Time between two queries for one key. Queries and their answers can be lost, and a query for a
# running request is repeated until the request has ended.
QUERY_INTERVAL_SECONDS = 0.1

# Memory of a stored answer beyond its headers and body, in bytes.
ANSWER_OVERHEAD_BYTES = 512

# The length of each part is limited because a record keeps the whole key.
_KEY_FORM = re.compile(r"([^.\s]{1,64})\.([0-9a-f]{16})\.([0-9]{1,15})\.([!-~]{1,128})")


class RecordState(enum.StrEnum):
    """What the owner knows about a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclasses.dataclass(frozen=True)
class Run:
    """The request may be admitted; `KeyTable.finish` must follow with its reply."""


@dataclasses.dataclass(frozen=True)
class Join:
    """The same request already runs; its reply will answer this request too."""


@dataclasses.dataclass(frozen=True)
class AnswerNow:
    """The request is answered without being run."""

    reply: Reply


@dataclasses.dataclass(frozen=True)
class AskOwner:
    """The query goes to the key's owner; `on_state` or `tick` will answer the request."""

    seat: str
    query: KeyQuery


@dataclasses.dataclass(frozen=True)
class Key:
    """Parts of an idempotency key; `text` is the whole key."""

    seat: str
    incarnation: str
    window: int
    text: str


def prefix(facts: NodeFacts) -> str:
    """Returns the text that callers put before their own part of a key, with the last dot."""
    return f"{facts.seat}.{facts.incarnation}.{facts.key_window}."


def parse(text: str) -> Key | None:
    """Returns the parts of a key, or None if the text does not have the form of one."""
    form = _KEY_FORM.fullmatch(text)
    if form is None:
        return None
    seat, incarnation, window, _ = form.groups()
    return Key(seat, incarnation, int(window), text)


@dataclasses.dataclass(slots=True, eq=False)
class _Record:
    key: Key
    fingerprint: str
    state: RecordState
    reply: Reply | None = None
    answer_bytes: int = 0
    joined: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Joined:
    record: _Record
    deadline: float


@dataclasses.dataclass(slots=True)
class _Query:
    request_id: str
    deadline: float
    seat: str
    message: KeyQuery
    sent_at: float
    heard_at: float
    is_running: bool = False


class KeyTable:
    """Records of the keys that this incarnation owns, and queries to the owners of others.

    Args:
        settings: uses `keys`.
        seat: own seat.
        incarnation: own incarnation, 16 hex digits.
    """

    def __init__(self, settings: Settings, seat: str, incarnation: str) -> None:
        self._settings = settings.keys
        self._seat = seat
        self._incarnation = incarnation
        self._windows: dict[int, dict[str, _Record]] = {}
        self._count = 0
        # No key of this window or an earlier one gets a new record. A full table closes windows,
        # so that a refusal stays true although it leaves no record.
        self._closed_window = -1
        self._running: dict[str, _Record] = {}
        self._joined: dict[str, _Joined] = {}
        self._stored: dict[str, _Record] = {}
        self._stored_bytes = 0
        self._queries: dict[str, _Query] = {}
        self._query_number = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for the owner of their key, or for a request with the same key."""
        return len(self._queries) + len(self._joined)

    def window(self, now: float) -> int:
        """Returns the number of the current key window."""
        return int(now * 1000) // self._settings.window_ms

    def begin(
        self, now: float, request: Request, peer_incarnation: Callable[[str], str | None]
    ) -> Run | Join | AnswerNow | AskOwner:
        """Decides whether a request may run here.

        The key of an idempotent request is ignored, because such a request may run again.

        Args:
            now: seconds on the node's clock.
            request: the caller's request.
            peer_incarnation: returns the incarnation last heard on a seat, or None if the seat
                cannot be asked.
        """
        if request.is_idempotent:
            return Run()
        if not request.key:
            return _answer(Code.KEY_REQUIRED, f"{request.method} came without a key.")
        key = parse(request.key)
        if key is None:
            return _answer(Code.KEY_MALFORMED, "the key is not in the form of an issued key.")
        if key.seat != self._seat:
            return self._begin_elsewhere(now, request, key, peer_incarnation(key.seat))
        if key.incarnation != self._incarnation:
            return _answer(Code.OWNER_GONE, f"{key.seat} has restarted since it issued the key.")
        return self._begin_own(now, request, key)

    def finish(self, now: float, request_id: str, reply: Reply) -> list[Effect]:
        """Records the reply of a request that `begin` let run; returns the joined answers.

        A reply that states "not run" seals the key, because its caller may rely on it.
        """
        record = self._running.pop(request_id, None)
        if record is None:
            return []
        record.state = _STATES[reply.outcome]
        if self._find(record.key) is record:
            self._store(record, reply)
        joined, record.joined = record.joined, []
        for joined_id in joined:
            del self._joined[joined_id]
        return [Answer(joined_id, reply) for joined_id in joined]

    def cancel(self, now: float, request_id: str) -> None:
        """Forgets a caller that left; a running request goes on, so that a resend finds it."""
        joined = self._joined.pop(request_id, None)
        if joined is not None:
            joined.record.joined.remove(request_id)
        for query_id, query in self._queries.items():
            if query.request_id == request_id:
                del self._queries[query_id]
                return

    def on_query(self, now: float, query: KeyQuery) -> KeyState:
        """Answers another node's query; a key without a record is sealed first."""
        key = parse(query.key)
        if key is None or (key.seat, key.incarnation) != (self._seat, self._incarnation):
            return _state(query, RecordState.UNKNOWN, Code.OWNER_GONE)
        if not self._is_good(now, key.window):
            return _state(query, RecordState.UNKNOWN, Code.KEY_EXPIRED)
        record = self._find(key)
        if record is None:
            code = self._seal(now, key, query.fingerprint)
            return _state(query, RecordState.NOT_RUN, code)
        if record.state is RecordState.RUNNING and record.fingerprint == query.fingerprint:
            return _state(query, RecordState.RUNNING, None)
        reply = _recorded_reply(record, query.fingerprint)
        return _state(query, record.state, reply.code, reply)

    def on_state(self, now: float, state: KeyState) -> list[Effect]:
        """Takes an owner's answer; one to a query that has ended is ignored."""
        query = self._queries.get(state.query_id)
        if query is None:
            return []
        if state.state == RecordState.RUNNING and not state.code:
            query.heard_at = now
            query.is_running = True
            return []
        del self._queries[state.query_id]
        return [Answer(query.request_id, _reply_of(state))]

    def tick(self, now: float) -> list[Effect]:
        """Drops expired windows, ends waits that are over and repeats queries."""
        self._expire(now)
        return self._expire_joined(now) + self._check_queries(now)

    def _begin_elsewhere(
        self, now: float, request: Request, key: Key, incarnation: str | None
    ) -> AnswerNow | AskOwner:
        if incarnation is None:
            return _answer(Code.OWNER_UNREACHABLE, f"{key.seat} is not heard.")
        if incarnation != key.incarnation:
            return _answer(Code.OWNER_GONE, f"{key.seat} has restarted since it issued the key.")
        # The own incarnation keeps an answer to a predecessor's query from matching this one.
        self._query_number += 1
        query_id = f"{self._incarnation}-{self._query_number}"
        message = KeyQuery(query_id, key.text, request.fingerprint)
        self._queries[query_id] = _Query(
            request.id, request.deadline, key.seat, message, sent_at=now, heard_at=now
        )
        return AskOwner(key.seat, message)

    def _begin_own(self, now: float, request: Request, key: Key) -> Run | Join | AnswerNow:
        if not self._is_good(now, key.window):
            return _answer(Code.KEY_EXPIRED, "the key is outside its windows.")
        record = self._find(key)
        if record is None:
            return self._begin_new(now, request, key)
        if record.state is RecordState.RUNNING and record.fingerprint == request.fingerprint:
            record.joined.append(request.id)
            self._joined[request.id] = _Joined(record, request.deadline)
            return Join()
        return AnswerNow(_recorded_reply(record, request.fingerprint))

    def _begin_new(self, now: float, request: Request, key: Key) -> Run | AnswerNow:
        if now >= request.deadline:
            self._seal(now, key, request.fingerprint)
            return _answer(Code.DEADLINE_BEFORE_START, "the request came after its deadline.")
        record = self._add(now, key, request.fingerprint, RecordState.RUNNING)
        if record is None:
            return _answer(Code.KEY_TABLE_FULL, "the node holds as many keys as it can.")
        self._running[request.id] = record
        return Run()

    def _is_good(self, now: float, window: int) -> bool:
        # A window above the current one was never issued. It counts as outside the windows: a
        # refusal as "not run" would be wrong once the window has come.
        return 0 <= self.window(now) - window < self._settings.windows

    def _find(self, key: Key) -> _Record | None:
        return self._windows.get(key.window, {}).get(key.text)

    def _seal(self, now: float, key: Key, fingerprint: str) -> Code:
        record = self._add(now, key, fingerprint, RecordState.NOT_RUN)
        return Code.KEY_TABLE_FULL if record is None else Code.KEY_SEALED

    def _add(self, now: float, key: Key, fingerprint: str, state: RecordState) -> _Record | None:
        """Adds a record, or makes sure that the key never gets one and returns None."""
        if key.window <= self._closed_window:
            return None
        if self._count >= self._settings.max_records:
            self._expire(now)
        if self._count >= self._settings.max_records:
            self._closed_window = key.window
            return None
        record = _Record(key, fingerprint, state)
        self._windows.setdefault(key.window, {})[key.text] = record
        self._count += 1
        return record

    def _store(self, record: _Record, reply: Reply) -> None:
        record.reply = reply
        if record.state is not RecordState.DONE:
            return
        headers = sum(len(name) + len(value) for name, value in reply.headers)
        record.answer_bytes = ANSWER_OVERHEAD_BYTES + headers + len(reply.body)
        self._stored[record.key.text] = record
        self._stored_bytes += record.answer_bytes
        while self._stored_bytes > self._settings.answer_bytes:
            self._discard_answer(next(iter(self._stored.values())))

    def _discard_answer(self, record: _Record) -> None:
        if self._stored.pop(record.key.text, None) is not None:
            self._stored_bytes -= record.answer_bytes
            record.reply = None

    def _expire(self, now: float) -> None:
        expired = [window for window in self._windows if not self._is_good(now, window)]
        for window in expired:
            records = self._windows.pop(window)
            self._count -= len(records)
            for record in records.values():
                self._discard_answer(record)

    def _expire_joined(self, now: float) -> list[Effect]:
        late = [name for name, joined in self._joined.items() if now >= joined.deadline]
        reply = error_reply(Code.DEADLINE_AFTER_START, "the first request with the key still runs.")
        for request_id in late:
            self._joined.pop(request_id).record.joined.remove(request_id)
        return [Answer(request_id, reply) for request_id in late]

    def _check_queries(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for query_id, query in list(self._queries.items()):
            if self._is_over(now, query):
                del self._queries[query_id]
                effects.append(Answer(query.request_id, _unanswered(query)))
            elif now - query.sent_at >= QUERY_INTERVAL_SECONDS:
                query.sent_at = now
                effects.append(Send(query.seat, query.message))
        return effects

    def _is_over(self, now: float, query: _Query) -> bool:
        silence_ms = (now - query.heard_at) * 1000
        return now >= query.deadline or silence_ms >= self._settings.query_timeout_ms


_STATES = {
    Outcome.COMPLETE: RecordState.DONE,
    Outcome.UNKNOWN: RecordState.UNKNOWN,
    Outcome.NOT_RUN: RecordState.NOT_RUN,
}


def _answer(code: Code, message: str) -> AnswerNow:
    return AnswerNow(error_reply(code, message))


def _unanswered(query: _Query) -> Reply:
    if query.is_running:
        return error_reply(Code.DEADLINE_AFTER_START, f"{query.seat} still runs the request.")
    return error_reply(Code.OWNER_UNREACHABLE, f"{query.seat} did not answer.")


def _recorded_reply(record: _Record, fingerprint: str) -> Reply:
    """Returns the reply to a resend, from the record of the first request."""
    if record.state is RecordState.NOT_RUN:
        return error_reply(Code.KEY_SEALED, "the key was refused before and never runs.")
    if record.fingerprint != fingerprint:
        return error_reply(Code.KEY_REUSED, "the key belongs to a request with other content.")
    if record.reply is None:
        return error_reply(Code.ANSWER_DISCARDED, "the request ran; its answer is not kept.")
    return record.reply


def _state(
    query: KeyQuery, state: RecordState, code: Code | None, reply: Reply | None = None
) -> KeyState:
    if code is not None or reply is None:
        return KeyState(query.query_id, state, code or "", 0, (), b"")
    return KeyState(query.query_id, state, "", reply.status, reply.headers, reply.body)


def _reply_of(state: KeyState) -> Reply:
    if not state.code and state.state == RecordState.DONE:
        return Reply(state.status, Outcome.COMPLETE, headers=state.headers, body=state.body)
    try:
        return error_reply(Code(state.code), "stated by the owner of the key.")
    except ValueError:
        return error_reply(Code.INTERNAL_ERROR, "the owner's answer is not of this version.")
