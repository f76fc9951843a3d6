"""The agent's local HTTP endpoint, where its backend server announces itself."""

from banyanwheel_core.models import Announcement

from .handlers import BodyHandler, build_application, count_nothing, probe_routes

__all__ = ["RENEWALS_PER_LIFETIME", "make_application"]

RENEWALS_PER_LIFETIME = 3
MAX_ANNOUNCEMENT_BYTES = 64 * 1024


class _AnnouncementHandler(BodyHandler):
    """``PUT /v1/backend``: announces, renews or leaves."""

    def initialize(self, worker, on_announcement):
        self._worker = worker
        self._on_announcement = on_announcement

    def put(self):
        announcement = self.read_json(Announcement)
        self._on_announcement(announcement)
        renew_within_ms = announcement.lifetime_ms // RENEWALS_PER_LIFETIME
        self.write_json(
            {"worker": self._worker, "renew_within_ms": max(1, renew_within_ms)}
        )


def make_application(
    worker, on_announcement, is_ready, render_metrics, count_refusal=count_nothing
):
    """Returns the tornado application of an agent's local endpoint.

    ``on_announcement(Announcement)`` is called for each one accepted, ``is_ready()``
    tells whether new work is welcome, ``render_metrics()`` gives bytes, and
    ``count_refusal(reason)`` is called for each announcement refused.
    """
    options = {"worker": worker, "on_announcement": on_announcement}
    routes = [
        (r"/v1/backend", _AnnouncementHandler, options),
        *probe_routes(is_ready, render_metrics),
    ]
    return build_application(routes, MAX_ANNOUNCEMENT_BYTES, count_refusal)
