import asyncio

import msgspec
import pytest
import zmq

from banyanwheel_core.errors import ListenError
from banyanwheel_daemon import transport as transport_module
from banyanwheel_daemon.transport import Peer, Transport
from banyanwheel_jobs.messages import (
    ForwardedReply,
    InspectionRequest,
    InspectionResult,
    Misaddressed,
)

TIMEOUT_S = 20
GULF = Peer("gulf-1", "0000000000000001")
REEF = Peer("reef-1", "0000000000000002")


def ping(number):
    return InspectionRequest(number, "show jobs")


def pong(number):
    return ForwardedReply(number, "state")


class Endpoint:
    """A transport that keeps what it receives."""

    def __init__(self, peer):
        self.peer = peer
        self.envelopes = []
        self.transport = Transport(
            peer.name, peer.incarnation, "127.0.0.1:0", self.receive
        )

    @property
    def messages(self):
        return [m for envelope in self.envelopes for m in envelope.messages]

    def receive(self, envelope):
        self.envelopes.append(envelope)

    def send(self, other, message):
        self.transport.send(other.peer, other.transport.address, message)

    async def wait(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition(self):
                await asyncio.sleep(0.001)


def run(scenario, *peers):
    """Runs a scenario with one endpoint for each peer."""

    async def main():
        endpoints = [Endpoint(peer) for peer in peers]
        try:
            await scenario(*endpoints)
        finally:
            for endpoint in endpoints:
                endpoint.transport.close()

    asyncio.run(main())


def test_messages_of_one_turn_arrive_as_one_envelope():
    async def scenario(gulf, reef):
        for number in range(5):
            gulf.send(reef, ping(number))
        await reef.wait(lambda end: end.envelopes)
        (envelope,) = reef.envelopes
        assert envelope.messages == tuple(ping(number) for number in range(5))
        assert (envelope.sender, envelope.incarnation) == (GULF.name, GULF.incarnation)
        assert envelope.recipient == REEF.incarnation

    run(scenario, GULF, REEF)


def test_bytes_in_a_message_arrive_as_they_are():
    rows = bytes(range(256))

    async def scenario(gulf, reef):
        gulf.send(reef, InspectionResult(1, rows))
        await reef.wait(lambda end: end.messages)
        assert reef.messages == [InspectionResult(1, rows)]

    run(scenario, GULF, REEF)


def test_an_answer_without_address_returns_on_the_newest_connection():
    async def scenario(gulf, reef):
        for number in range(2):
            gulf.send(reef, ping(number))
            await reef.wait(lambda end, n=number: len(end.messages) == n + 1)
            reef.transport.send(GULF, None, pong(number))
            await gulf.wait(lambda end, n=number: len(end.messages) == n + 1)
            gulf.transport.reopen(REEF.name)
        assert gulf.messages == [pong(0), pong(1)]
        assert gulf.transport.counts.reopened == 2

    run(scenario, GULF, REEF)


def test_a_burst_beyond_the_drain_limit_arrives_whole_and_in_order():
    count = transport_module.MAX_ENVELOPES_PER_DRAIN * 3

    async def scenario(gulf, reef):
        gulf.send(reef, ping(0))
        await reef.wait(lambda end: end.messages)
        for number in range(1, count):
            gulf.send(reef, ping(number))
            gulf.transport.flush()
        await reef.wait(lambda end: len(end.messages) == count)
        assert reef.messages == [ping(number) for number in range(count)]

    run(scenario, GULF, REEF)


@pytest.mark.parametrize(
    "frames",
    [
        [b"\xff\x00garbage"],
        [b"[1,2,3]"],
        [msgspec.msgpack.encode(["a", "b", "", [["Nonsense", 1]]])],
        [msgspec.msgpack.encode(["a", "b", "", [["Inspect", "one", ""]]])],
        [b""],
        [b"", b"[]"],
        [b"\x91" * 100_000],
    ],
)
def test_garbage_is_dropped_and_the_next_message_arrives(frames):
    async def scenario(gulf, reef):
        with zmq.Context() as context, context.socket(zmq.DEALER) as socket:
            socket.linger = 0
            socket.connect(f"tcp://{reef.transport.address}")
            socket.send_multipart(frames)
            await reef.wait(lambda end: end.transport.counts.malformed == 1)
        gulf.send(reef, ping(1))
        await reef.wait(lambda end: end.messages)
        assert reef.messages == [ping(1)]

    run(scenario, GULF, REEF)


def test_a_message_for_an_earlier_incarnation_is_answered_and_not_delivered():
    async def scenario(gulf, reef):
        gulf.transport.send(
            Peer(REEF.name, "000000000000000f"),
            reef.transport.address,
            ping(1),
        )
        await gulf.wait(lambda end: end.messages)
        assert gulf.messages == [Misaddressed(REEF.incarnation)]
        assert reef.messages == []
        assert reef.transport.counts.misaddressed == 1

    run(scenario, GULF, REEF)


def test_a_peer_that_restarted_tells_its_new_incarnation():
    async def scenario(gulf, reef):
        gulf.send(reef, ping(1))
        await reef.wait(lambda end: end.messages)
        address = reef.transport.address
        reef.transport.close()
        received = []
        restarted = Transport(REEF.name, "00000000000000ff", address, received.append)
        gulf.transport.send(REEF, address, ping(2))
        await gulf.wait(lambda end: end.messages)
        restarted.close()
        assert gulf.messages == [Misaddressed("00000000000000ff")]
        assert received == []

    run(scenario, GULF, REEF)


def test_a_batch_above_the_size_limit_is_split(monkeypatch):
    monkeypatch.setattr(transport_module, "MAX_ENVELOPE_BYTES", 1_000)
    rows = [
        InspectionResult(n, b"x" * size)
        for n, size in enumerate((300, 300, 300, 2_000))
    ]

    async def scenario(gulf, reef):
        for message in [*rows, InspectionResult(4, b"")]:
            gulf.send(reef, message)
        await reef.wait(lambda end: len(end.messages) == 4)
        assert [message.number for message in reef.messages] == [0, 1, 2, 4]
        assert gulf.transport.counts.oversized == 1

    run(scenario, GULF, REEF)


def test_a_message_that_cannot_be_encoded_keeps_no_other_from_being_sent():
    async def scenario(gulf, reef):
        for message in (ping(1), ping(2**64), ping(3)):
            gulf.send(reef, message)
        await reef.wait(lambda end: len(end.messages) == 2)
        assert [message.number for message in reef.messages] == [1, 3]
        assert gulf.transport.counts.oversized == 1

    run(scenario, GULF, REEF)


def test_a_peer_that_never_wrote_is_unroutable_without_an_address():
    async def scenario(gulf):
        gulf.transport.send(REEF, None, ping(1))
        await gulf.wait(lambda end: end.transport.counts.unroutable == 1)

    run(scenario, GULF)


def test_idle_connections_are_closed_and_used_ones_kept():
    async def scenario(gulf, reef):
        gulf.send(reef, ping(1))
        await reef.wait(lambda end: end.messages)
        now = gulf.transport._clock()
        gulf.transport.close_idle(now, idle_seconds=60)
        assert gulf.transport.connections == 1
        gulf.transport.close_idle(now + 61, idle_seconds=60)
        assert gulf.transport.connections == 0

    run(scenario, GULF, REEF)


def test_the_last_messages_of_a_process_that_ends_still_arrive():
    async def scenario(gulf, reef):
        last = Endpoint(Peer("gulf-2", "0000000000000003"))
        for number in range(100):
            last.send(reef, ping(number))
        last.transport.close(linger_ms=TIMEOUT_S * 1_000)
        await reef.wait(lambda end: len(end.messages) == 100)

    run(scenario, GULF, REEF)


def test_an_address_that_is_taken_is_a_listen_error():
    async def scenario(gulf):
        address = gulf.transport.address
        with pytest.raises(ListenError) as caught:
            Transport("reef-1", "2", address, print)
        assert str(caught.value) == f"{address}: Address already in use"

    run(scenario, GULF)


@pytest.mark.parametrize("odd", ["nonsense", "10.0.0.1:-1", ""])
def test_a_message_to_an_odd_address_keeps_no_other_from_being_sent(odd):
    """One odd entry of the list kept a dispatcher's heartbeats from all runners."""

    async def scenario(gulf, reef):
        gulf.transport.send(Peer(odd, ""), odd, ping(1))
        gulf.send(reef, ping(2))
        await reef.wait(lambda end: end.messages)
        assert reef.messages == [ping(2)]
        assert gulf.transport.counts.unroutable == 1

    run(scenario, GULF, REEF)
