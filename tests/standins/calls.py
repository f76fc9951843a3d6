"""Plain HTTP calls for tests, and running them in the background."""

import json
import threading
import urllib.error
import urllib.request

__all__ = ["TIMEOUT_S", "call", "in_thread"]

TIMEOUT_S = 60


def call(method, address, path, body=None, **headers):
    """Returns the status and the decoded JSON answer, None for an empty one.

    Raises OSError where the connection breaks, ValueError where it is not JSON.
    """
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={name.replace("_", "-"): value for name, value in headers.items()},
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            text = response.read()
            return response.status, json.loads(text) if text else None
    except urllib.error.HTTPError as error:
        text = error.read()
        return error.code, json.loads(text) if text else None


def in_thread(function, *arguments):
    """Starts a call; returns a function that waits for what the call returns."""
    answers = []
    thread = threading.Thread(target=lambda: answers.append(function(*arguments)))
    thread.start()

    def result():
        thread.join(TIMEOUT_S)
        return answers[0]

    return result
