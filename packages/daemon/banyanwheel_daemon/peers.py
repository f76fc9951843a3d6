"""Messages to and from other processes, by address."""

from uuid import uuid4

from .transport import Peer, Transport

__all__ = ["Peers"]

HEARTBEAT_MS = 400  # an unresponsive connection is replaced in about 1 s
IDLE_TIMEOUT_S = 10.0


class Peers:
    """A transport whose peers are named by the addresses where others reach them.

    ``name`` is the address where others reach this process, ``address`` the one it
    binds. ``on_message(address, incarnation, message)`` gets every message; an error
    that it raises is logged and doesn't keep it from the next message. ``clock``
    returns monotonic seconds.
    """

    def __init__(self, name, address, on_message, clock, event_log):
        self.incarnation = uuid4().hex[:12]
        self._on_message = on_message
        self._event_log = event_log
        self._transport = Transport(
            name,
            self.incarnation,
            address,
            self._receive,
            heartbeat_ms=HEARTBEAT_MS,
            clock=clock,
        )

    @property
    def address(self):
        """The bound address as ``ip:port``."""
        return self._transport.address

    def send(self, address, message, incarnation=""):
        """Queues a message to a process; an empty ``incarnation`` means any."""
        self._transport.send(Peer(address, incarnation), address, message)

    def reply(self, address, incarnation, message):
        """Queues a message to a process over the connection that it has opened."""
        self._transport.send(Peer(address, incarnation), None, message)

    def reopen(self, address):
        """Opens new connections to an unresponsive process."""
        self._transport.reopen(address)

    def close_idle(self, now):
        """Closes connections that have not been used for ``IDLE_TIMEOUT_S``."""
        self._transport.close_idle(now, IDLE_TIMEOUT_S)

    def close(self, linger_ms=0):
        """Closes all connections; blocks up to ``linger_ms`` to send what is left."""
        self._transport.close(linger_ms)

    def _receive(self, envelope):
        for message in envelope.messages:
            try:
                self._on_message(envelope.sender, envelope.incarnation, message)
            except Exception as error:
                self._event_log.fault(
                    error, sender=envelope.sender, message=type(message).__name__
                )
