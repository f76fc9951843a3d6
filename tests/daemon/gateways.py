"""A request gateway around an owner, for a dispatcher that places tasks itself."""

from itertools import count

from banyanwheel_daemon.request_gateway import RequestGateway
from banyanwheel_daemon.transient_requests import TransientRequests
from banyanwheel_jobs.cells.placers import Placers
from tests.jobs.world import EventRecorder

__all__ = ["NOW", "build_gateway"]

NOW = 100.0


def build_gateway(
    owner,
    partitions,
    *,
    send=None,
    send_reply=None,
    ownership=None,
    placers=None,
    own_offers=lambda: (),
    send_to_placer=None,
    clock=lambda: NOW,
    admits=lambda submission: True,
):
    """Returns a RequestGateway; ``own_offers`` gives None for an entry."""
    clocks = (clock, lambda: 0)
    event_log = EventRecorder()
    numbers = count(1)
    transient = TransientRequests(
        owner,
        placers or Placers(),
        clocks,
        event_log,
        send=send_to_placer,
        numbers=numbers,
        own_offers=own_offers,
        admits=admits,
    )
    return RequestGateway(
        owner,
        partitions,
        clocks,
        event_log,
        send=send,
        send_reply=send_reply,
        ownership=ownership,
        transient=transient,
        numbers=numbers,
        admits=admits,
    )
