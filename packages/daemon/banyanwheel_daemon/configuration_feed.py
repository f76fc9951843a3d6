"""Follows the operator's topic on the log: the configuration and evacuations."""

import asyncio

import msgspec

from banyanwheel_jobs.ports import LogTruncated, LogUnavailable
from banyanwheel_platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TOPIC,
    decode_configuration,
    decode_evacuation,
)
from banyanwheel_platform.log import HOLD_MS

__all__ = ["ConfigurationFeed", "ConfigurationReader", "EvacuationReader"]

PARTITION = 0
RETRY_DELAY_S = 0.25  # an outage must add little to the time a new version takes
MAX_RETRY_DELAY_S = 1.0
# Each call to the log has a price. With 0.6 s until it times out, a read of a runner
# lasts for 3.1 s of the 5 s in which an evacuation has to be in force.
RUNNER_HOLD_MS = 2_500
# A read over a connection that has gone silent fails 0.6 s after its hold. The delay of
# the next try and its answer, within 1 s, come on top.
RECOVERY_MS = 1_850
MIN_HOLD_MS = 100


class ConfigurationFeed:
    """Passes the records of the topic on to its readers, over a single held read.

    A reader has ``replace(records)`` for the newest record of each key, and
    ``update(records)`` for later ones.
    """

    def __init__(self, log, readers, event_log, hold_ms=HOLD_MS):
        self._log = log
        self._readers = readers
        self._event_log = event_log
        self._hold_ms = hold_ms

    @classmethod
    def for_dispatcher(cls, log, configure, evacuation, event_log, evacuation_ms):
        """Returns the feed of a dispatcher; ``configure`` gets a new RoutingTable.

        ``evacuation`` is an EvacuationReader, which is left out if ``evacuation_ms`` is
        None.
        """
        configuration = ConfigurationReader(
            CONFIGURATION_KEY, decode_configuration, configure, event_log
        )
        if evacuation_ms is None:
            return cls(log, [configuration], event_log)
        # Evacuations go first: a fault in the other reader must not keep them.
        hold_ms = _hold_ms(evacuation_ms, HOLD_MS)
        return cls(log, [evacuation, configuration], event_log, hold_ms)

    @classmethod
    def for_runner(cls, log, evacuation, event_log, evacuation_ms):
        """Returns the feed of a runner, which follows evacuations only."""
        hold_ms = _hold_ms(evacuation_ms, RUNNER_HOLD_MS)
        return cls(log, [evacuation], event_log, hold_ms)

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
            records, offset = await self._log.newest(OPERATOR_TOPIC, PARTITION)
            for reader in self._readers:
                reader.replace(records)
            return offset
        records, offset = await self._log.follow(
            OPERATOR_TOPIC, PARTITION, offset, self._hold_ms
        )
        for reader in self._readers if records else ():
            reader.update(records)
        return offset


class ConfigurationReader:
    """Passes on each configuration whose version is higher than the last one.

    ``decode(data)`` returns an object with ``version`` or raises msgspec.MsgspecError;
    ``on_version(configuration)`` gets each newer one.
    """

    def __init__(self, key, decode, on_version, event_log):
        self._key = key
        self._decode = decode
        self._on_version = on_version
        self._event_log = event_log
        self._version = -1

    def replace(self, records):
        """Applies the newest records; without one the last version stays in force."""
        self.update(records)

    def update(self, records):
        """Applies the records of the configuration's key."""
        for record in records:
            if record.key == self._key and record.value is not None:
                self._apply(record)

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


class EvacuationReader:
    """Keeps an Evacuations up to date, and logs what comes into force.

    ``on_change()`` is called after each change, and once the set is known.
    """

    def __init__(self, evacuations, on_change, event_log):
        self._evacuations = evacuations
        self._on_change = on_change
        self._event_log = event_log

    def replace(self, records):
        """Puts in force what the newest records of all keys say."""
        known = self._evacuations.known
        change = self._evacuations.replace(_decode_evacuations(records))
        self._announce(change, first=not known)

    def update(self, records):
        """Applies later records."""
        self._announce(self._evacuations.update(_decode_evacuations(records)))

    def log_unmatched(self, data_centres):
        """Logs the evacuations that name none of ``data_centres``, each once."""
        for name in self._evacuations.newly_unmatched(data_centres):
            self._event_log("evacuation:no-such-data-centre", data_centre=name)

    def _announce(self, change, first=False):
        for record in change.unreadable:
            self._event_log(
                "evacuation:unreadable",
                key=record.key,
                offset=record.offset,
                fault=record.fault,
            )
        for name in change.begun:
            self._event_log("evacuation:in-force", data_centre=name)
        for name in change.lifted:
            self._event_log("evacuation:lifted", data_centre=name)
        if first or change.begun or change.lifted:
            self._on_change()


def _decode_evacuations(records):
    decoded = [decode_evacuation(record) for record in records]
    return [record for record in decoded if record is not None]


def _hold_ms(evacuation_ms, longest_ms):
    """Returns how long a read is held for evacuations to be in force in time."""
    return max(MIN_HOLD_MS, min(longest_ms, evacuation_ms - RECOVERY_MS))
