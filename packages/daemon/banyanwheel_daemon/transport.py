"""Messages between the system's processes, over ZeroMQ on the tornado loop.

Every process binds one ROUTER socket and connects one DEALER socket to each peer that
it addresses. The sockets' descriptors are edge-triggered, so a socket is read until it
is empty after each wake-up and after each send.
"""

import time
from dataclasses import dataclass

import msgspec
import zmq
from eliot import log_message
from tornado.ioloop import IOLoop

from banyanwheel_core.errors import ListenError
from banyanwheel_jobs.messages import Envelope, Misaddressed

__all__ = ["Counts", "Peer", "Transport"]

HIGH_WATER_MARK = 1_000  # envelopes per connection and direction
MAX_ENVELOPE_BYTES = 16 * 1024 * 1024
MAX_ENVELOPES_PER_DRAIN = 100  # then other callbacks run first
CONNECT_TIMEOUT_MS = 1_000
HANDSHAKE_TIMEOUT_MS = 2_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 5_000
SWEEPS_PER_IDLE_TIME = 10
SCHEME = "tcp://"


@dataclass(frozen=True, slots=True)
class Peer:
    """One incarnation of a process; any of them if ``incarnation`` is empty."""

    name: str
    incarnation: str


@dataclass(slots=True)
class Counts:
    """Totals of a transport since its start; bytes are of encoded envelopes.

    ``oversized`` messages are too large to be sent, or hold numbers that are.
    """

    messages_in: int = 0
    messages_out: int = 0
    envelopes_in: int = 0
    envelopes_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    malformed: int = 0
    misaddressed: int = 0
    unroutable: int = 0
    overflowed: int = 0
    oversized: int = 0
    reopened: int = 0


@dataclass(slots=True)
class _Route:
    """The ROUTER's return route to a peer; ``last_used`` in seconds of the clock."""

    routing_id: bytes
    last_used: float


@dataclass(slots=True)
class _Connection:
    """A DEALER socket and the time of its last send, in seconds of the clock."""

    socket: zmq.Socket
    last_used: float


class Transport:
    """Carries batches of messages to and from peers.

    ``on_envelope(envelope)`` is called on the loop for each envelope received.
    A connection unresponsive for three times ``heartbeat_ms`` is replaced; 0 disables
    this check. ``clock`` gives monotonic seconds. Create it inside a running
    loop.
    """

    def __init__(
        self,
        name,
        incarnation,
        bind_address,
        on_envelope,
        *,
        heartbeat_ms=0,
        clock=time.monotonic,
    ):
        self._name = name
        self._incarnation = incarnation
        self._on_envelope = on_envelope
        self._clock = clock
        self._loop = IOLoop.current()
        self._encoder = msgspec.msgpack.Encoder()
        self._heartbeat_ms = heartbeat_ms
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._connections = {}  # by (peer name, address)
        self._routes = {}  # by Peer
        self._batches = {}  # lists of messages by (Peer, address or None)
        self._draining = set()  # sockets with a drain already scheduled
        self._next_sweep = 0.0  # monotonic seconds
        self.counts = Counts()
        self._context = zmq.Context(io_threads=1)
        self._router = self._open_socket(zmq.ROUTER)
        self._bind(bind_address)

    @property
    def address(self):
        """The bound address as ``ip:port``."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix(SCHEME)

    @property
    def connections(self):
        """The number of open connections to peers."""
        return len(self._connections)

    def send(self, peer, address, message):
        """Queues a message; those for a peer are sent together after this turn.

        With ``address`` None it returns on the route of the peer's newest envelope.
        """
        if not self._batches:
            self._loop.add_callback(self._flush)
        self._batches.setdefault((peer, address), []).append(message)

    def reopen(self, peer_name):
        """Replaces all connections to a peer by new ones."""
        for key in [key for key in self._connections if key[0] == peer_name]:
            self._close_connection(key)
            self._connect(key)
            self.counts.reopened += 1

    def close_idle(self, now, idle_seconds):
        """Closes connections, and drops return routes, unused for ``idle_seconds``.

        May be called at every tick: it looks only a few times per ``idle_seconds``.
        """
        if now < self._next_sweep:
            return
        self._next_sweep = now + idle_seconds / SWEEPS_PER_IDLE_TIME
        oldest = now - idle_seconds
        for key, connection in list(self._connections.items()):
            if connection.last_used < oldest:
                self._close_connection(key)
        for peer, route in list(self._routes.items()):
            if route.last_used < oldest:
                del self._routes[peer]

    def close(self, linger_ms=0):
        """Closes every socket, and waits up to ``linger_ms`` for what is unsent.

        The wait blocks the loop, so it's for a process that ends. What is sent after
        is dropped.
        """
        if self._router.closed:
            return
        if linger_ms:
            self._flush()
        self._batches.clear()
        for key in list(self._connections):
            self._close_connection(key, linger_ms)
        self._close_socket(self._router, linger_ms)
        self._context.term()

    def flush(self):
        """Sends what is queued now, without waiting for the end of the turn."""
        self._flush()

    def _bind(self, address):
        try:
            self._router.bind(SCHEME + address)
        except zmq.ZMQError as error:
            self.close()
            raise ListenError(f"{address}: {zmq.strerror(error.errno)}") from error

    def _open_socket(self, kind):
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.set_hwm(HIGH_WATER_MARK)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_ENVELOPE_BYTES)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        if self._heartbeat_ms:
            socket.setsockopt(zmq.HEARTBEAT_IVL, self._heartbeat_ms)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 3 * self._heartbeat_ms)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self._loop.add_handler(
            socket.fd, lambda fd, events: self._drain(socket), IOLoop.READ
        )
        return socket

    def _connect(self, key):
        _, address = key
        socket = self._open_socket(zmq.DEALER)
        try:
            socket.connect(SCHEME + address)
        except zmq.ZMQError:
            self._close_socket(socket)
            raise
        connection = _Connection(socket, self._clock())
        self._connections[key] = connection
        return connection

    def _close_connection(self, key, linger_ms=0):
        self._close_socket(self._connections.pop(key).socket, linger_ms)

    def _close_socket(self, socket, linger_ms=0):
        self._loop.remove_handler(socket.fd)
        self._draining.discard(socket)
        socket.close(linger_ms)

    def _flush(self):
        batches, self._batches = self._batches, {}
        if self._router.closed:
            return
        sockets = {}
        for (peer, address), batch in batches.items():
            socket = self._send_batch(peer, address, batch)
            if socket is not None:
                sockets[id(socket)] = socket
        for socket in sockets.values():
            self._drain(socket)

    def _send_batch(self, peer, address, batch):
        """Returns the socket used, or None where the peer can't be reached."""
        if address is None:
            return self._reply(peer, batch)
        key = (peer.name, address)
        try:
            connection = self._connections.get(key) or self._connect(key)
        except zmq.ZMQError as error:
            self.counts.unroutable += len(batch)
            log_message("transport:unroutable", address=address, fault=str(error))
            return None
        connection.last_used = self._clock()
        self._send_messages(connection.socket, [], peer.incarnation, batch)
        return connection.socket

    def _reply(self, peer, batch):
        route = self._routes.get(peer)
        if route is None:
            self.counts.unroutable += len(batch)
            return None
        prefix = [route.routing_id]
        self._send_messages(self._router, prefix, peer.incarnation, batch)
        return self._router

    def _send_messages(self, socket, prefix, recipient, batch):
        envelope = Envelope(self._name, self._incarnation, recipient, tuple(batch))
        try:
            body = self._encoder.encode(envelope)
            fault = "" if len(body) <= MAX_ENVELOPE_BYTES else f"{len(body)} bytes"
        except (OverflowError, TypeError) as error:
            fault = str(error)
        if not fault:
            self._send_frames(socket, [*prefix, body], len(batch))
        elif len(batch) > 1:
            self._send_halves(socket, prefix, recipient, batch)
        else:
            self.counts.oversized += 1
            kind = type(batch[0]).__name__
            log_message("transport:oversized", message=kind, fault=fault)

    def _send_halves(self, socket, prefix, recipient, batch):
        middle = len(batch) // 2
        for half in (batch[:middle], batch[middle:]):
            self._send_messages(socket, prefix, recipient, half)

    def _send_frames(self, socket, frames, messages):
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            self.counts.overflowed += messages
            return
        self.counts.envelopes_out += 1
        self.counts.messages_out += messages
        self.counts.bytes_out += len(frames[-1])

    def _drain(self, socket):
        """Reads until the socket is empty, or up to a limit and again next turn."""
        self._draining.discard(socket)
        empty = False
        try:
            for _ in range(MAX_ENVELOPES_PER_DRAIN):
                if socket.closed:
                    empty = True
                    break
                try:
                    frames = socket.recv_multipart(zmq.NOBLOCK)
                except zmq.Again:
                    empty = True
                    break
                self._receive(socket, frames)
        finally:
            if not empty:
                self._drain_later(socket)

    def _drain_later(self, socket):
        if socket not in self._draining:
            self._draining.add(socket)
            self._loop.add_callback(self._drain_again, socket)

    def _drain_again(self, socket):
        if socket in self._draining:
            self._drain(socket)

    def _receive(self, socket, frames):
        body = frames[-1]
        self.counts.bytes_in += len(body)
        envelope = self._decode(frames, 2 if socket is self._router else 1)
        if envelope is None:
            return
        self.counts.envelopes_in += 1
        self.counts.messages_in += len(envelope.messages)
        if envelope.recipient and envelope.recipient != self._incarnation:
            self._reject(socket, frames[:-1], envelope)
            return
        if socket is self._router:
            peer = Peer(envelope.sender, envelope.incarnation)
            self._routes[peer] = _Route(frames[0], self._clock())
        self._on_envelope(envelope)

    def _decode(self, frames, expected):
        """Returns the envelope, or None for anything that isn't one."""
        fault = f"{len(frames)} frames in place of {expected}"
        if len(frames) == expected:
            try:
                return self._decoder.decode(frames[-1])
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
                fault = str(error)
        self.counts.malformed += 1
        log_message("transport:malformed", fault=fault, bytes=len(frames[-1]))
        return None

    def _reject(self, socket, prefix, envelope):
        """Tells the sender which incarnation runs here; never answers a notice."""
        self.counts.misaddressed += 1
        if any(isinstance(message, Misaddressed) for message in envelope.messages):
            return
        notice = Misaddressed(self._incarnation)
        self._send_messages(socket, prefix, envelope.incarnation, [notice])
