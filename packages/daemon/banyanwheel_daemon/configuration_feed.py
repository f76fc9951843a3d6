"""Follows the operator's configuration on the log."""

import asyncio

import msgspec

from banyanwheel_jobs.ports import LogTruncated, LogUnavailable

__all__ = ["ConfigurationFeed"]

PARTITION = 0
RETRY_S = 0.25  # an outage must not add much to the time a version takes
RETRY_MAX_S = 1.0


class ConfigurationFeed:
    """Passes each newer version on; a version never goes back.

    ``decode(data)`` returns an object with ``version`` or raises msgspec.MsgspecError.
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
        """Follows until cancelled."""
        offset = None
        pause = RETRY_S
        while True:
            try:
                offset = await self._read(offset)
                pause = RETRY_S
            except LogTruncated as error:
                self._event_log("configuration:truncated", first=error.first)
                offset = None
            except LogUnavailable as error:
                self._event_log(
                    "log:unavailable", call="configuration", fault=str(error)
                )
                # What was missed meanwhile is found among the newest records.
                offset = None
                await asyncio.sleep(pause)
                pause = min(RETRY_MAX_S, pause * 2)

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
            version = self._decode(record.value)
        except msgspec.MsgspecError as error:
            self._event_log(
                "configuration:unreadable", offset=record.offset, fault=str(error)
            )
            return
        if version.version <= self._version:
            return
        self._event_log(
            "configuration:in-force", version=version.version, before=self._version
        )
        self._version = version.version
        self._on_version(version)
