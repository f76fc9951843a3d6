"""Adapter to the platform's log service: append, read and follow streams.

Protocol: ``POST /streams/{name}/records`` with a JSON body answers 201 and
``{"offset": n}``; ``GET /streams/{name}/records?from=N&limit=M&wait_ms=W`` answers
``{"first": a, "next": b, "records": [{"offset", "age_ms", "data"}, ...]}``.
"""

import asyncio
from time import monotonic
from urllib.parse import quote, urlencode

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from banyanwheel_core.errors import BanyanwheelError
from banyanwheel_core.streams import Page, Record

__all__ = [
    "AppendUncertain",
    "Follower",
    "LogError",
    "LogRefused",
    "LogService",
    "LogUnavailable",
    "Page",
    "Record",
]

REQUEST_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
MAX_WAIT_MS = 20_000
PAGE_RECORDS = 500
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 10.0
PAUSE_FACTOR = 2.0

HTTP_CREATED = 201
HTTP_OK = 200
HTTP_NO_ANSWER = 599  # tornado's code for a request without an answer
MAX_CONNECTIONS = 10


class LogError(BanyanwheelError):
    """Base of the log service's errors."""


class LogUnavailable(LogError):
    """The log service did not answer; nothing was appended."""


class LogRefused(LogError):
    """The log service refused the request for good; nothing was appended."""


class AppendUncertain(LogError):
    """An append was sent and its answer lost; it may have taken effect."""


class _Appended(msgspec.Struct, frozen=True):
    offset: int


_PAGES = msgspec.json.Decoder(Page)
_APPENDED = msgspec.json.Decoder(_Appended)


class LogService:
    """A client of one log service."""

    def __init__(self, url, client=None, *, timeout_s=REQUEST_TIMEOUT_S):
        self._url = url.rstrip("/")
        self._client = client or AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )
        self._timeout_s = timeout_s

    @classmethod
    def from_settings(cls, settings, client=None):
        """Builds a client from :class:`LogServiceSettings`."""
        return cls(settings.url, client)

    async def append(self, stream, data):
        """Appends JSON bytes and returns their offset.

        Raises LogUnavailable or LogRefused when nothing was appended, and
        AppendUncertain when that is not known.
        """
        sending = _Sending(data)
        request = HTTPRequest(
            self._records_url(stream),
            method="POST",
            body_producer=sending.produce,
            headers=sending.headers,
            follow_redirects=False,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self._timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception as error:
            response = _failed(request, error)
        if response.code == HTTP_NO_ANSWER and not sending.begun:
            raise LogUnavailable(f"appending to '{stream}': {response.error}")
        return _offset_of(stream, response)

    async def read(self, stream, start, limit=PAGE_RECORDS, wait_ms=0):
        """Reads up to ``limit`` records from offset ``start``.

        With ``wait_ms`` the service holds an empty answer back that long. Raises
        LogUnavailable or LogRefused.
        """
        query = urlencode({"from": start, "limit": limit, "wait_ms": wait_ms})
        request = HTTPRequest(
            f"{self._records_url(stream)}?{query}",
            follow_redirects=False,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self._timeout_s + wait_ms / 1000,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception as error:
            response = _failed(request, error)
        return _page_of(stream, response)

    def _records_url(self, stream):
        return f"{self._url}/streams/{quote(stream, safe='')}/records"


class Follower:
    """Tails one stream and hands each page to a callback.

    ``on_page(page)`` is called for every answer, also for an empty one;
    ``on_lost(error)`` for each read that failed. ``spacing()`` gives the seconds
    between two reads at the end of a stream, so that many readers of a busy stream
    take several records at once; without it the next read follows at once.
    """

    def __init__(
        self, log, stream, *, start=0, poll_ms=2_000, spacing=lambda: 0.0, random
    ):
        self._log = log
        self._next = start
        self._poll_ms = min(poll_ms, MAX_WAIT_MS)
        self._random = random
        self._failures = 0
        self._stream = stream
        self._spacing = spacing
        self._rewound = None

    @property
    def next(self):
        """The offset that is read next."""
        return self._next

    def rewind(self, offset):
        """Reads on from ``offset``; the answer to a read in progress is dropped."""
        self._rewound = offset

    async def follow(self, on_page, on_lost):
        """Reads until cancelled; pauses grow while the log does not answer."""
        while True:
            started = monotonic()
            try:
                page = await self._log.read(
                    self._stream, self._next, wait_ms=self._poll_ms
                )
            except LogError as error:
                on_lost(error)
                await asyncio.sleep(self._pause())
                continue
            self._failures = 0
            if self._rewound is not None:
                self._next, self._rewound = self._rewound, None
                continue
            self._next = page.resume
            on_page(page)
            await asyncio.sleep(self._rest(page, started))

    def _rest(self, page, started):
        """Returns the pause after a page; an empty one may not have been held back."""
        if len(page.records) >= PAGE_RECORDS:
            return 0.0
        if page.records:
            whole_s = self._random.uniform(0.5, 1.0) * self._spacing()
        else:
            whole_s = self._poll_ms / 1000
        return max(0.0, whole_s - (monotonic() - started))

    def _pause(self):
        longest = min(MAX_PAUSE_S, FIRST_PAUSE_S * PAUSE_FACTOR**self._failures)
        self._failures += 1
        return self._random.uniform(longest / 2, longest)


class _Sending:
    """A request body that knows whether any of it may have left the process."""

    def __init__(self, data):
        self.begun = False
        self._data = data

    @property
    def headers(self):
        return {
            "Content-Type": "application/json",
            "Content-Length": str(len(self._data)),
        }

    async def produce(self, write):
        self.begun = True
        await write(self._data)


def _failed(request, error):
    return HTTPResponse(request, HTTP_NO_ANSWER, error=error)


def _offset_of(stream, response):
    if response.code != HTTP_CREATED:
        message = f"appending to '{stream}': {_describe(response)}"
        raise LogRefused(message) if _is_refusal(response) else AppendUncertain(message)
    try:
        return _APPENDED.decode(response.body).offset
    except msgspec.MsgspecError as error:
        raise AppendUncertain(f"appending to '{stream}': {error}") from error


def _page_of(stream, response):
    if response.code != HTTP_OK:
        message = f"reading '{stream}': {_describe(response)}"
        raise LogRefused(message) if _is_refusal(response) else LogUnavailable(message)
    try:
        return _PAGES.decode(response.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise LogUnavailable(f"reading '{stream}': {error}") from error


def _is_refusal(response):
    """Tells whether the service itself turned the request down (4xx)."""
    return response.code // 100 == 4


def _describe(response):
    return str(response.error or f"HTTP {response.code}: {response.reason}")
