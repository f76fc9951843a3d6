"""An operator who sends commands to an entry over HTTP."""

import urllib.error
import urllib.request

import msgspec

from .calls import TIMEOUT_S

__all__ = ["Operator"]


class Operator:
    """Commands through one entry at an HTTP address."""

    def __init__(self, address):
        self._address = address

    def command(self, text):
        """Runs a command; returns the HTTP status and the objects of the answer."""
        request = urllib.request.Request(
            f"http://{self._address}/v1/commands",
            data=text.encode(),
            headers={"Content-Type": "text/plain"},
        )
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                return response.status, _objects(response)
        except urllib.error.HTTPError as error:
            return error.code, _objects(error)

    def rows(self, text):
        """Runs a command that must succeed; returns its rows."""
        status, rows = self.command(text)
        if status != 200:
            raise ValueError(f"{text}: {rows}")
        return [row for row in rows if "incomplete" not in row]

    def publish(self, document, base=None):
        """Publishes a configuration made from the version at the offset ``base``.

        Without it, from the version in force at the entry. Returns the HTTP status
        and the row or problem that answers it.
        """
        text = f"reconfigure {msgspec.json.encode(document).decode()}"
        if base is not None:
            text += f" from {base}"
        status, rows = self.command(text)
        return status, rows[0]


def _objects(response):
    return [msgspec.json.decode(line) for line in response.read().splitlines() if line]
