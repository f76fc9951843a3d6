"""Runs ``banyanwheeld`` with its messages counted by type.

``python -m benchmarks.instrumented VARIANT ROLE --settings FILE``. VARIANT is the
text of a :class:`Variant`. The counts are in the metrics under ``banyanwheel.sent``,
with the type as the reason.
"""

import sys

from banyanwheel_core.messages import MemberRecord, Reserve
from banyanwheel_daemon import agent
from banyanwheel_daemon.__main__ import run
from banyanwheel_daemon.node import Node

from .variant import Variant

__all__ = ["main"]

COUNTER = "banyanwheel.sent"


class _Classifier:
    """Names the type of a message, and for a reservation what it changes."""

    def __init__(self):
        self._upto = {}

    def classify(self, peer, message):
        """Returns the label under which a message is counted."""
        name = type(message).__name__
        if not isinstance(message, Reserve):
            return name
        key = (peer, message.flow)
        before = self._upto.get(key, 0)
        self._upto[key] = message.upto
        if message.upto == before:
            return "ReserveRepeated"
        return "ReserveLowered" if message.upto < before else name


def main(arguments):
    """Runs the daemon with the counters in place."""
    variant, *rest = arguments
    Variant.parse(variant).apply(agent)
    agent.MemberRecord = _plain_record
    _count_messages()
    sys.argv[1:] = rest
    run()


def _plain_record(**fields):
    """Lets an advertised address be encoded: msgspec takes no subclass of str."""
    return MemberRecord(**{**fields, "address": str(fields["address"])})


def _count_messages():
    send = Node._send
    classifier = _Classifier()

    def counted(node, peer, message):
        if peer != node.identity:
            node._metrics.count(COUNTER, classifier.classify(peer, message))
        send(node, peer, message)

    Node._send = counted


if __name__ == "__main__":
    main(sys.argv[1:])
