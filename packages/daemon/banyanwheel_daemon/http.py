"""Writes the responses of the HTTP server for operators and health probes."""

import msgspec

from banyanwheel_core.problems import CONTENT_TYPE
from banyanwheel_platform.http import JSON_TYPE, answer

__all__ = ["answer", "answer_json", "answer_problem"]


def answer_json(request, value, code=200, content_type=JSON_TYPE, headers=None):
    """Writes a value that msgspec can encode as a JSON response."""
    body = msgspec.json.encode(value)
    answer(request, code, body, content_type, headers)


def answer_problem(request, problem):
    """Writes a Problem as a response with its status and Retry-After header."""
    headers = {}
    if problem.retry_after_s:
        headers["Retry-After"] = str(problem.retry_after_s)
    answer_json(request, problem, problem.status, CONTENT_TYPE, headers)
