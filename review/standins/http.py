"""Shared HTTP helpers of the stand-ins."""

import json

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses

__all__ = ["JSON", "listen", "send"]

JSON = "application/json"


def listen(handle, address):
    """Serves ``handle(request)`` at ``(host, port)``."""
    host, port = address
    server = HTTPServer(handle)
    server.listen(port, host)
    return server


def send(request, code, body, kind=JSON):
    """Answers a request; a body that isn't bytes is encoded as JSON."""
    stream = request.connection.stream
    if stream is None or stream.closed():
        return
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = HTTPHeaders({"Content-Type": kind, "Content-Length": str(len(data))})
    line = ResponseStartLine("", code, responses.get(code, "Unknown"))
    request.connection.write_headers(line, fields, data)
    request.connection.finish()
