"""The form of the headers exchanged with targets; nothing else knows it.

A target states its load on every answer and on `GET /load`::

    Load-Report: incarnation=5f2c;in_flight=2;state=warm

It refuses a request before starting it with status 503 and `Load-Shed: not-started`.
"""

from collections.abc import Iterable

from tornado import httputil

from orioleloft_core.request import Headers, LoadReport, Request, Warmth

LOAD_REPORT = "Load-Report"
LOAD_SHED = "Load-Shed"
LOAD_PATH = "/load"
NOT_STARTED = "not-started"
DEADLINE_MS = "Deadline-Ms"
REQUEST_ID = "Orioleloft-Request-Id"
KEY = "Orioleloft-Key"
CUSTOMER = "Orioleloft-Customer"

SHED_STATUS = 503
MAX_INCARNATION_CHARS = 64

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# These state facts of one hop; a copy from the other side would be taken for a true statement.
_OWN = frozenset({"load-report", "load-shed", "deadline-ms"})
_OWN_PREFIX = "orioleloft-"
_REWRITTEN_IN_REQUESTS = frozenset({"host", "content-length", "expect"})


def request_headers(headers: httputil.HTTPHeaders) -> Headers:
    """Returns the headers of a caller's request that may be passed on to a target."""
    return _end_to_end(headers, _REWRITTEN_IN_REQUESTS)


def answer_headers(headers: httputil.HTTPHeaders, keep_length: bool) -> Headers:
    """Returns the headers of a target's answer that may be passed on to the caller.

    Args:
        headers: headers of the answer.
        keep_length: whether `Content-Length` describes a body that is not sent, as for `HEAD`.
    """
    return _end_to_end(headers, frozenset() if keep_length else frozenset({"content-length"}))


def to_target(request: Request, host: str, remaining_ms: int) -> httputil.HTTPHeaders:
    """Builds the headers that a target receives.

    Args:
        request: the request.
        host: `host:port` of the target.
        remaining_ms: time left until the deadline, in milliseconds.
    """
    headers = httputil.HTTPHeaders()
    headers["Host"] = host
    for name, value in request.headers:
        headers.add(name, value)
    headers[DEADLINE_MS] = str(remaining_ms)
    headers[REQUEST_ID] = request.id
    if request.customer:
        headers[CUSTOMER] = request.customer
    if request.key:
        headers[KEY] = request.key
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(request.body))
    return headers


def read_report(headers: httputil.HTTPHeaders) -> LoadReport | None:
    """Reads a load report; returns None if there is none or it is malformed."""
    fields = dict(_pairs(headers.get(LOAD_REPORT, "")))
    incarnation = fields.get("incarnation", "")
    in_flight = fields.get("in_flight", "")
    state = fields.get("state", "")
    if not 0 < len(incarnation) <= MAX_INCARNATION_CHARS:
        return None
    if not (in_flight.isascii() and in_flight.isdigit() and len(in_flight) < 10):
        return None
    if state not in Warmth.__members__.values():
        return None
    return LoadReport(incarnation, int(in_flight), Warmth(state))


def write_report(report: LoadReport) -> str:
    """Returns the value of the `Load-Report` header."""
    return (
        f"incarnation={report.incarnation};in_flight={report.in_flight};state={report.warmth.value}"
    )


def is_shed(status: int, headers: httputil.HTTPHeaders) -> bool:
    """Tells whether the target refused the request before it started it."""
    return status == SHED_STATUS and headers.get(LOAD_SHED, "").strip() == NOT_STARTED


def closes(version: str, headers: httputil.HTTPHeaders) -> bool:
    """Tells whether the target closes the connection after this answer."""
    return version != "HTTP/1.1" or "close" in connection_tokens(headers)


def connection_tokens(headers: httputil.HTTPHeaders) -> frozenset[str]:
    """Returns the options of the `Connection` header in lower case."""
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(token.strip().lower() for token in value.split(","))


def has_length(status: int, headers: httputil.HTTPHeaders) -> bool:
    """Tells whether the end of the answer can be recognised.

    The end of a body without length and chunks is the end of the connection, which looks the same
    when the body was cut short.
    """
    if status in (204, 304):
        return True
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _pairs(text: str) -> Iterable[tuple[str, str]]:
    for part in text.split(";"):
        name, _, value = part.partition("=")
        yield name.strip(), value.strip()


def _end_to_end(headers: httputil.HTTPHeaders, removed: frozenset[str]) -> Headers:
    named = connection_tokens(headers)
    kept = []
    for name, value in headers.get_all():
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in named or lower in removed or lower in _OWN:
            continue
        if not lower.startswith(_OWN_PREFIX):
            kept.append((name, value))
    return tuple(kept)
