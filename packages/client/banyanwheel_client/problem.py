"""Reads the problem documents that dispatchers send."""

import msgspec

from banyanwheel_core.problems import Problem

__all__ = ["read_problem", "summary"]


def read_problem(response):
    """Returns the Problem of an HTTP response; a body of another kind is detail."""
    try:
        problem = msgspec.json.decode(response.body, type=Problem)
    except msgspec.MsgspecError:
        text = response.body.decode(errors="replace").strip()
        problem = Problem(title=response.reason, detail=text[:200])
    return msgspec.structs.replace(problem, status=response.code)


def summary(problem):
    """Returns one line for a person."""
    words = [problem.reason or problem.title or f"HTTP status {problem.status}"]
    if problem.outcome:
        words.append(f"({problem.outcome})")
    if problem.place:
        words.append(f"at {problem.place}")
    text = " ".join(words)
    if problem.detail:
        text = f"{text}: {problem.detail}"
    if problem.retry_after_ms:
        text = f"{text}; retry after {problem.retry_after_ms / 1000:g} s"
    if problem.id:
        text = f"{text} [{problem.id}]"
    return " ".join(text.split())
