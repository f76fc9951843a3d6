"""The system's two streams on the log service, as one process follows them."""

import asyncio
import time

import msgspec
from eliot import log_message

from banyanwheel_core.messages import MemberRecord

from .log_service import Follower

__all__ = ["Streams"]


class Streams:
    """Feeds the membership and the configuration from the log.

    ``on_members()`` is called after each page of announcements,
    ``on_versions(changed)`` after each page of configuration versions.
    """

    def __init__(self, log, settings, members, configuration, random):
        self._members = members
        self._configuration = configuration
        self._followed = set()
        self._members_follower = Follower(
            log,
            settings.members_stream,
            poll_ms=settings.poll_ms,
            spacing=lambda: members.read_spacing_s,
            random=random,
        )
        self._versions_follower = Follower(
            log, settings.configuration_stream, poll_ms=settings.poll_ms, random=random
        )

    @property
    def read(self):
        """Whether both streams have been read at least once."""
        return len(self._followed) == 2

    async def follow(self, on_members, on_versions):
        """Follows both streams until cancelled."""
        await asyncio.gather(
            self._members_follower.follow(
                lambda page: self._take_members(page, on_members), self._members_lost
            ),
            self._versions_follower.follow(
                lambda page: self._take_versions(page, on_versions), _versions_lost
            ),
        )

    def rewind(self):
        """Reads versions again from where the configuration wants them."""
        self._versions_follower.rewind(self._configuration.position)

    def _take_members(self, page, on_members):
        now = time.monotonic()
        self._followed.add("members")
        self._members.log_seen(now)
        for record in page.records:
            self._take_member(record, now)
        self._members.tick(now)
        on_members()

    def _take_member(self, record, now):
        try:
            member = msgspec.json.decode(record.data, type=MemberRecord)
        except msgspec.MsgspecError as error:
            log_message("members:malformed", offset=record.offset, fault=str(error))
            return
        self._members.apply(member, record.offset, record.age_ms, now)

    def _members_lost(self, error):
        self._members.log_lost(time.monotonic())
        log_message("members:unreadable", fault=str(error))

    def _take_versions(self, page, on_versions):
        self._followed.add("configuration")
        on_versions(self._configuration.apply_page(page, time.monotonic()))


def _versions_lost(error):
    log_message("log:unreadable", fault=str(error))
