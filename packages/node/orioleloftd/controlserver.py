"""HTTP server for small responses: shared state, metrics, entry addresses, readiness."""

from collections.abc import Callable

from tornado import httpserver, httputil

ControlResponse = tuple[int, str, bytes]


class ControlServer:
    """Serves complete responses over HTTP from a synchronous handler.

    Args:
        respond: returns status, content type and body for method, path and query parameters.
    """

    def __init__(self, respond: Callable[[str, str, dict[str, str]], ControlResponse]) -> None:
        self._respond = respond
        self._server = httpserver.HTTPServer(self._handle)

    def listen(self, host: str, port: int) -> None:
        """Starts to accept connections on an address."""
        self._server.listen(port, host)

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        arguments = {
            name: values[-1].decode("latin1") for name, values in request.arguments.items()
        }
        status, content_type, body = self._respond(request.method, request.path, arguments)
        headers = httputil.HTTPHeaders(
            {"Content-Type": content_type, "Content-Length": str(len(body))}
        )
        reason = httputil.responses.get(status, "Unknown")
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()
