"""Streams for callers and targets, framing checks, and error responses to unreadable requests."""

import asyncio
import dataclasses
import json
import socket
from collections.abc import Callable
from typing import Any

from tornado import httputil, iostream

from orioleloft_core.errors import ERROR_RESPONSES, ErrorCode, ExecutionOutcome

OUTCOME_HEADER = "Orioleloft-Outcome"
CODE_HEADER = "Orioleloft-Code"
SUPPORTED_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"})
# Time and bytes for a lingering close: after a refusal the rest of the request is read and dropped.
# Closing a socket with unread bytes resets the connection, and the reset can discard the refusal
# before the caller reads it.
LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024

# Bytes that tornado writes for a request that it cannot parse.
_PARSER_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class NoDelayStream(iostream.IOStream):
    """A stream with TCP_NODELAY that shows whether received bytes are unread."""

    _has_nodelay = False

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the receive buffer of the stream holds bytes."""
        return self._read_buffer_size > 0

    def peek(self) -> bytes | None:
        """Peeks one byte of the socket: b"" if it is closed, None if nothing has arrived."""
        if self.closed():
            return b""
        try:
            return self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def set_nodelay(self, value: bool) -> None:
        """Sets TCP_NODELAY at the first call and ignores all later ones.

        The parser enables Nagle's algorithm after each message. The second of two responses in a
        row would then wait for the acknowledgement of the first, up to 40 ms.
        """
        if not self._has_nodelay:
            self._has_nodelay = True
            super().set_nodelay(True)


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Error for a request that is refused while it is read.

    Attributes:
        code: code of the error.
        message: description of the error.
        headers: names and values of further headers of the response.
    """

    code: ErrorCode
    message: str
    headers: tuple[tuple[str, str], ...] = ()


class CallerStream(NoDelayStream):
    """A caller's connection, which replaces the parser's refusals by complete error responses.

    Attributes:
        refusal: reason of a refusal, if it is more specific than the parser's.
        on_first_byte: called when the first byte of a request arrives.
        has_pending_responses: whether earlier pipelined requests still await their responses, which
            must be written before a refusal.
        on_refusal_deferred: called when a refusal is deferred; nothing more is read then.
    """

    refusal: Refusal | None = None
    on_first_byte: Callable[[], None] | None = None
    has_pending_responses: Callable[[], bool] | None = None
    on_refusal_deferred: Callable[[], None] | None = None
    _is_lingering = False
    _deferred_refusal: bytes | None = None
    _is_unreadable = False
    _is_eof = False

    @property
    def has_deferred_refusal(self) -> bool:
        """Whether a refusal is deferred until earlier responses are written."""
        return self._deferred_refusal is not None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; calls `on_first_byte` once when bytes arrive."""
        count = super().read_from_fd(buf)
        if count == 0:
            self._is_eof = True
        if count and self.on_first_byte is not None:
            callback, self.on_first_byte = self.on_first_byte, None
            callback()
        return count

    def write(self, data: bytes | memoryview) -> Any:
        """Writes bytes; replaces the parser's bare refusal by one with code and outcome."""
        if data != _PARSER_REFUSAL:
            return super().write(data)
        default = Refusal(ErrorCode.MALFORMED_REQUEST, "The request is not valid HTTP/1.1.")
        if self._defer(self.refusal or default):
            done = asyncio.get_running_loop().create_future()
            done.set_result(None)
            return done
        self._is_lingering = True
        return super().write(encode_refusal(self.refusal or default))

    def apply_header_limit(self, max_bytes: int) -> None:
        """Changes the limit of the header that is awaited or read, in bytes.

        The parser states it as it begins to wait. A header that has begun to arrive keeps a higher
        limit.
        """
        if self._read_regex is None:
            return
        if self.has_unread_bytes:
            max_bytes = max(max_bytes, self._read_max_bytes)
        self._read_max_bytes = max_bytes

    def refuse(self, refusal: Refusal) -> None:
        """Writes a refusal, after any pending responses, and closes the connection."""
        if self.closed() or self.has_deferred_refusal:
            return
        self.refusal = refusal
        self.write(_PARSER_REFUSAL)
        self.close()

    def _defer(self, refusal: Refusal) -> bool:
        """Defers a refusal if earlier responses are pending; returns whether it was deferred."""
        if self.has_pending_responses is None or not self.has_pending_responses():
            return False
        self._deferred_refusal = encode_refusal(refusal)
        if self.on_refusal_deferred is not None:
            self.on_refusal_deferred()
        return True

    def write_deferred_refusal(self) -> None:
        """Writes the deferred refusal, if any, and closes the connection."""
        deferred, self._deferred_refusal = self._deferred_refusal, None
        if deferred is None or self.closed():
            return
        if self._is_unreadable and not self.writing():
            self._send_unbuffered(deferred)
            super().close()
            return
        self._is_lingering = True
        super().write(deferred)
        self.close()

    def close(self, exc_info: Any = False) -> None:
        """Closes the connection, by a lingering close after a refusal.

        Does nothing while a refusal is deferred, unless the caller has closed the connection.
        """
        if isinstance(exc_info, iostream.UnsatisfiableReadError) and not self.closed():
            # The header block is over the limit. The stream cannot be read any more.
            self._is_unreadable = True
            refusal = Refusal(ErrorCode.REQUEST_TOO_LARGE, "The header block is too large.")
            if not self._defer(refusal):
                self._send_unbuffered(encode_refusal(refusal))
        is_closed_by_peer = self._is_eof or isinstance(exc_info, OSError)
        if self.has_deferred_refusal and not is_closed_by_peer:
            return
        if not self._is_lingering or self.closed():
            super().close(exc_info)
            return
        self._is_lingering = False
        asyncio.get_running_loop().create_task(self._linger())

    def close_gracefully(self) -> None:
        """Closes so that the caller can read all responses, even if it is still sending."""
        # Closing with unread bytes resets the connection.
        self._is_lingering = self.has_unread_bytes or bool(self.peek())
        self.close()

    def close_idle(self) -> None:
        """Ends the connection if no byte of a request has arrived.

        It is closed in one direction first, because a request that crosses the end would
        otherwise meet a reset. Its caller reads the end of the connection instead.
        """
        if self.has_unread_bytes or self.peek():
            return
        try:
            self._shut_down_writing()
        except OSError:
            super().close()
            return
        asyncio.get_running_loop().call_later(LINGER_S, super().close)

    def on_closed_by_caller(self) -> None:
        """Closes the connection because the caller has closed it; a deferred refusal is dropped."""
        self._is_eof = True
        self._deferred_refusal = None
        self.close()

    def abort(self) -> None:
        """Closes immediately and drops a deferred refusal."""
        self._deferred_refusal = None
        self._is_lingering = False
        super().close()

    async def _linger(self) -> None:
        try:
            async with asyncio.timeout(LINGER_S):
                self._shut_down_writing()
                remaining = LINGER_BYTES
                while remaining > 0:
                    remaining -= len(await self.read_bytes(65536, partial=True))
        except (TimeoutError, OSError, AssertionError, iostream.StreamClosedError):
            pass
        super().close()

    def _shut_down_writing(self) -> None:
        if not self.writing():
            self.socket.shutdown(socket.SHUT_WR)

    def _send_unbuffered(self, data: bytes) -> None:
        try:
            self.socket.send(data)
            self.socket.shutdown(socket.SHUT_WR)
            # Reading the received bytes avoids a reset that would discard the refusal.
            for _ in range(LINGER_BYTES // 65536):
                if not self.socket.recv(65536):
                    return
        except OSError:
            return


def error_body(code: ErrorCode, message: str, outcome: ExecutionOutcome) -> bytes:
    """Returns the JSON body of an error."""
    document = {
        "code": code.value,
        "message": message,
        "outcome": outcome.value,
        "remedy": ERROR_RESPONSES[code].remedy,
    }
    return json.dumps(document).encode()


def encode_response(status: int, headers: httputil.HTTPHeaders, body: bytes) -> bytes:
    """Encodes a response for a caller.

    Args:
        status: HTTP status.
        headers: all headers; the parser that read them rejects line breaks.
        body: the body, empty where none may be sent.
    """
    lines = [f"HTTP/1.1 {status} {httputil.responses.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body


def encode_refusal(refusal: Refusal) -> bytes:
    """Encodes the error response for a refusal, with `Connection: close`."""
    kind = ERROR_RESPONSES[refusal.code]
    body = error_body(refusal.code, refusal.message, kind.outcome)
    headers = httputil.HTTPHeaders(
        {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Connection": "close",
            OUTCOME_HEADER: kind.outcome.value,
            CODE_HEADER: refusal.code.value,
        }
    )
    for name, value in refusal.headers:
        headers.add(name, value)
    return encode_response(kind.status, headers, body)


def check_framing(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders, max_body_bytes: int
) -> Refusal | None:
    """Checks the request line and framing headers against request smuggling.

    A request that another HTTP parser could delimit differently is refused.

    Returns:
        The refusal, or None if the request is accepted.
    """
    lengths = headers.get_list("Content-Length")
    codings = headers.get_list("Transfer-Encoding")
    checks = [
        (start_line.method not in SUPPORTED_METHODS, "The method is not supported."),
        (not _is_origin_form(start_line.path), "The request target is not a path."),
        (len(headers.get_list("Host")) != 1, "The request needs exactly one Host header."),
        (bool(lengths and codings), "Content-Length and Transfer-Encoding exclude each other."),
        (len(lengths) > 1, "Content-Length occurs more than once."),
        (not _is_valid_length(lengths), "Content-Length is not a number."),
        (codings not in ([], ["chunked"]), "The only Transfer-Encoding supported is chunked."),
        (
            bool(codings) and start_line.version != "HTTP/1.1",
            "Transfer-Encoding needs HTTP/1.1.",
        ),
    ]
    for is_faulty, message in checks:
        if is_faulty:
            return Refusal(ErrorCode.MALFORMED_REQUEST, message)
    if lengths and int(lengths[0]) > max_body_bytes:
        return Refusal(ErrorCode.REQUEST_TOO_LARGE, f"The body is over {max_body_bytes} bytes.")
    return None


def _is_origin_form(path: str) -> bool:
    return path.isascii() and path.startswith("/") and "#" not in path


def _is_valid_length(lengths: list[str]) -> bool:
    return all(text.isascii() and text.isdigit() and len(text) < 16 for text in lengths)


def connection_options(headers: httputil.HTTPHeaders) -> frozenset[str]:
    """Returns the options of the `Connection` header in lower case."""
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(token.strip().lower() for token in value.split(","))
