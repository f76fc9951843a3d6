"""Follows the operator's configuration on the log."""

import asyncio

import msgspec

from banyanwheel_jobs.ports import LogTruncated, LogUnavailable

__all__ = ["ConfigurationFeed"]

PARTITION = 0
RETRY_DELAY_S = 0.25  # an outage must add little to the time a new version takes
MAX_RETRY_DELAY_S = 1.0


class ConfigurationFeed:
    """Passes on each configuration whose version is higher than the last one.

    ``decode(data)`` returns an object with ``version`` or raises msgspec.MsgspecError;
    ``on_version(configuration)`` gets each newer one.
    """

    def __init__(self, log, topic, key, decode, on_version, event_log):
        self._log = log
        self._topic = topic
        self._key = key
        self._decode = decode
        self._on_version = on_version
        self._event_log = event_log
        self._version = -1

    async def run(self):
        """Follows the topic until cancelled; retries while the log is unavailable."""
        offset = None
        delay_s = RETRY_DELAY_S
        while True:
            try:
                offset = await self._read(offset)
                delay_s = RETRY_DELAY_S
            except LogTruncated as error:
                self._event_log("configuration:truncated", first=error.first)
                offset = None
            except LogUnavailable as error:
                self._event_log(
                    "log:unavailable", call="configuration", fault=str(error)
                )
                # Starts over from the newest records, which include those published
                # during the outage.
                offset = None
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _read(self, offset):
        if offset is None:
            records, offset = await self._log.newest(self._topic, PARTITION)
        else:
            records, offset = await self._log.follow(self._topic, PARTITION, offset)
        for record in records:
            if record.key == self._key and record.value is not None:
                self._apply(record)
        return offset

    def _apply(self, record):
        try:
            configuration = self._decode(record.value)
        except msgspec.MsgspecError as error:
            self._event_log(
                "configuration:unreadable", offset=record.offset, fault=str(error)
            )
            return
        if configuration.version <= self._version:
            return
        self._event_log(
            "configuration:in-force",
            version=configuration.version,
            before=self._version,
        )
        self._version = configuration.version
        self._on_version(configuration)
