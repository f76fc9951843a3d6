"""Puts a configuration on the platform's log, with the operator's rights."""

import msgspec

from banyanwheel_jobs.ports import AppendOutcome, LogUnavailable
from banyanwheel_platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TOPIC,
    decode_configuration,
    encode_configuration,
)
from banyanwheel_platform.log import LogClient

from .errors import ConflictError, FailedError, UnknownOutcomeError, UnreachableError

__all__ = ["Publisher"]

PARTITION = 0
FIRST_VERSION = 1


class Publisher:
    """Publishes versions made from the one in force."""

    def __init__(self, log):
        self._log = log

    @classmethod
    def from_address(cls, address):
        """Returns a publisher to the log at ``ip:port``."""
        return cls(LogClient(address))

    async def publish(self, document):
        """Publishes a ConfigurationDocument; returns its version.

        Raises ConflictError where another version came first, or the version in force
        is not lower.
        """
        base, in_force, end = await self._read()
        version = document.version or max(FIRST_VERSION, in_force + 1)
        if version <= in_force:
            raise ConflictError(f"version {in_force} is in force, not below {version}")
        data = encode_configuration(document, version, base)
        record = (CONFIGURATION_KEY, data)
        try:
            result = await self._log.append(OPERATOR_TOPIC, PARTITION, [record], at=end)
        except LogUnavailable as error:
            if error.sent:
                raise UnknownOutcomeError(f"outcome unknown: {error}") from error
            raise UnreachableError(f"not published: {error}") from error
        if result.outcome is AppendOutcome.MOVED:
            raise ConflictError("another version came first; nothing was published")
        return version

    async def _read(self):
        """Returns the version in force as bytes, its number, and the log's end."""
        try:
            records, end = await self._log.newest(OPERATOR_TOPIC, PARTITION)
        except LogUnavailable as error:
            raise UnreachableError(f"not published: {error}") from error
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value:
                return record.value, self._version_of(record.value), end
        return None, FIRST_VERSION - 1, end

    @staticmethod
    def _version_of(data):
        try:
            return decode_configuration(data).version
        except msgspec.MsgspecError as error:
            message = f"the version in force can't be read: {error}"
            raise FailedError(message) from error
