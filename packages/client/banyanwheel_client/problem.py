"""Problem documents (RFC 9457) as the entries send them."""

import msgspec

__all__ = ["Problem"]


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A refusal or failure; ``retry_after`` is seconds, from the response header."""

    type: str = "about:blank"
    title: str = ""
    status: int = 0
    detail: str = ""
    reason: str = ""
    outcome: str = ""
    id: str = ""
    place: str = ""
    retry_after: float | None = None

    @classmethod
    def from_response(cls, response):
        """Reads a tornado HTTP response; a body of another kind becomes detail."""
        try:
            problem = msgspec.json.decode(response.body, type=cls)
        except msgspec.MsgspecError:
            text = response.body.decode(errors="replace").strip()
            problem = cls(title=response.reason, detail=text[:200])
        return msgspec.structs.replace(
            problem,
            status=response.code,
            retry_after=_seconds(response.headers.get("Retry-After")),
        )

    @property
    def summary(self):
        """One line for a person."""
        words = [self.reason or self.title or f"HTTP status {self.status}"]
        if self.outcome:
            words.append(f"({self.outcome})")
        if self.place:
            words.append(f"at {self.place}")
        text = " ".join(words)
        if self.detail:
            text = f"{text}: {self.detail}"
        if self.retry_after is not None:
            text = f"{text}; retry after {self.retry_after:g} s"
        if self.id:
            text = f"{text} [{self.id}]"
        return " ".join(text.split())


def _seconds(header):
    try:
        return max(float(header), 0.0)
    except (TypeError, ValueError):
        return None
