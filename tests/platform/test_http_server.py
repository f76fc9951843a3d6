"""What the server does with single connections, within one process."""

import asyncio
import gc
import logging
import socket
import weakref

import pytest

from banyanwheel_platform.client_stream import CHUNKS_PER_TURN
from banyanwheel_platform.http import answer
from banyanwheel_platform.http_server import (
    MAX_ARGUMENTS,
    RECEIVE_BUFFER_BYTES,
    HttpServer,
)
from banyanwheel_platform.request_budget import (
    CONNECTION_BYTES,
    MachineLimits,
    RequestBudget,
)
from tests.standins.layout import Ports

MIB = 1024 * 1024
LIMITS = MachineLimits(request_bytes=MIB, work_bytes=MIB, connections=8)
POST = b"POST / HTTP/1.1\r\nHost: here\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = POST + b"Content-Length: 4\r\n\r\nbody"
TIMEOUT_S = 20
LARGE = b"x" * (64 * MIB)  # more than the kernel buffers


class World:
    """A server whose requests are kept, and its budget."""

    def __init__(self, address):
        self.requests = []
        self.refused = []
        self.budget = RequestBudget(
            LIMITS, lambda reason, phase: self.refused.append(reason)
        )
        self.server = HttpServer(
            self.requests.append, self.budget, max_body_bytes=lambda: 600_000
        )
        self._target = address.split(":")
        self.server.listen(self._target[0], int(self._target[1]))

    async def send(self, data):
        """Returns the two ends of a new connection, after sending."""
        reader, writer = await asyncio.open_connection(*self._target)
        writer.write(data)
        return reader, writer

    async def wait_for(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.001)


@pytest.fixture
def play(caplog):
    """Runs a coroutine function with a World; nothing unexpected may be logged."""

    def play(scenario):
        async def run():
            ports = Ports()
            world = World(ports.reserve())
            try:
                await scenario(world)
            finally:
                world.server.stop()
                await world.server.close()
                ports.close()
            assert (world.budget.connections, world.budget.charged) == (0, 0)

        with caplog.at_level(logging.WARNING):
            asyncio.run(run())
        assert [record.getMessage() for record in caplog.records] == []

    return play


def test_a_request_that_is_served_survives_larger_ones(play):
    async def scenario(world):
        reader, writer = await world.send(WHOLE)
        await world.wait_for(lambda: world.requests)
        others = [
            await world.send(POST + b"Content-Length: 500000\r\n\r\n" + b"x" * 499_999)
            for _ in range(4)
        ]
        await world.wait_for(lambda: world.refused)
        answer(world.requests[0], 200, b"done")
        async with asyncio.timeout(TIMEOUT_S):
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200 ")
        assert set(world.refused) == {"request-memory"}
        for _, other in [(reader, writer), *others]:
            other.close()

    play(scenario)


def test_a_released_body_holds_nothing(play):
    async def scenario(world):
        _, writer = await world.send(
            POST + b"Content-Length: 500000\r\n\r\n" + b"x" * 500_000
        )
        await world.wait_for(lambda: world.requests)
        assert world.budget.charged > 500_000
        world.requests[0].release_body()
        assert world.budget.charged == CONNECTION_BYTES
        writer.close()

    play(scenario)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_what_follows_a_request_counts_while_it_is_served(play, framing):
    """Each connection could hold 16 KB that nothing counted."""

    async def scenario(world):
        request = WHOLE
        if framing == "chunks":
            body = b"1\r\nx\r\n" * 4 + b"0\r\n\r\n"
            request = POST + b"Transfer-Encoding: chunked\r\n\r\n" + body
        following = b"x" * 10_000
        _, writer = await world.send(request + following)
        await world.wait_for(lambda: world.requests)
        world.requests[0].release_body()
        held = world.budget.charged - CONNECTION_BYTES
        assert len(following) <= held <= len(request + following)
        answer(world.requests[0], 200)
        assert world.budget.charged - CONNECTION_BYTES == held
        writer.close()

    play(scenario)


def test_the_kernel_keeps_little_of_what_is_not_read_yet(play):
    """It grows such a buffer to megabytes, and the platform counts it."""

    async def scenario(world):
        _, writer = await world.send(WHOLE)
        await world.wait_for(lambda: world.requests)
        connected = world.requests[0].connection.stream.socket
        size = connected.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert size <= 2 * RECEIVE_BUFFER_BYTES  # the kernel's own share included
        writer.close()

    play(scenario)


def test_requests_that_follow_each_other_hold_nothing_in_the_end(play):
    async def scenario(world):
        world.server.handle = lambda request: (
            world.requests.append(request),
            answer(request, 200, b"{}"),
        )
        _, writer = await world.send(WHOLE * 500)
        await world.wait_for(lambda: len(world.requests) == 500)
        await world.wait_for(lambda: world.budget.charged == CONNECTION_BYTES)
        writer.close()

    play(scenario)


def test_a_client_that_does_not_take_its_answer_makes_room_for_others(play):
    """Answers that nobody reads would fill the memory as requests do."""

    async def scenario(world):
        _, writer = await world.send(WHOLE)
        await world.wait_for(lambda: world.requests)
        answer(world.requests[0], 200, LARGE)
        assert world.budget.charged > len(LARGE)
        await world.send(WHOLE)
        await world.wait_for(lambda: world.refused)
        assert world.refused == ["request-memory"]
        writer.transport.abort()

    play(scenario)


def test_a_body_that_is_not_asked_for_is_refused_without_being_asked_for(play):
    async def scenario(world):
        head = b"Content-Length: 600001\r\nExpect: 100-continue\r\n\r\n"
        reader, writer = await world.send(POST + head)
        async with asyncio.timeout(TIMEOUT_S):
            received = await reader.readuntil(b"{}")
        assert received.startswith(b"HTTP/1.1 413 ")
        assert b"100" not in received.splitlines()[0]
        assert (world.refused, world.requests) == (["too-large"], [])
        writer.close()

    play(scenario)


def test_many_header_fields_are_not_kept_while_a_request_is_served(play):
    """Three thousand fields of five bytes take 1 MB as objects."""

    async def scenario(world):
        fields = b"".join(b"a%d:\r\n" % number for number in range(2_000))
        _, writer = await world.send(WHOLE.replace(b"Content", fields + b"Content", 1))
        await world.wait_for(lambda: world.requests)
        names = set(world.requests[0].headers)
        assert names == {"Host", "Content-Length"}
        writer.close()

    play(scenario)


def test_the_oldest_unfinished_connection_makes_room_for_a_new_one(play):
    async def scenario(world):
        clients = [await world.send(POST) for _ in range(LIMITS.connections + 1)]
        async with asyncio.timeout(TIMEOUT_S):
            assert await clients[0][0].read() == b""
        assert world.refused == ["connection-limit"]
        _, writer = clients[-1]
        writer.write(b"Content-Length: 4\r\n\r\nbody")
        await world.wait_for(lambda: world.requests)
        for _, writer in clients:
            writer.close()

    play(scenario)


def test_a_request_that_is_answered_is_no_longer_served(play):
    """A set of clients that had all just been answered kept any new one out."""

    async def scenario(world):
        _, writer = await world.send(WHOLE)
        await world.wait_for(lambda: world.requests)
        assert world.budget.expire(1e9) == []
        answer(world.requests[0], 200, b"done")
        assert len(world.budget.expire(1e9)) == 1
        writer.close()

    play(scenario)


def test_small_chunks_take_turns_and_lose_nothing(play):
    async def scenario(world):
        chunks = 3 * CHUNKS_PER_TURN
        head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
        request = head + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n"
        clients = [await world.send(request) for _ in range(3)]
        await world.wait_for(lambda: len(world.requests) == 3)
        assert {request.body for request in world.requests} == {b"x" * chunks}
        for _, writer in clients:
            writer.close()

    play(scenario)


def test_arguments_of_a_query_are_read_when_asked_for(play):
    """Parsed ones took some 300 KB of each request that had a thousand."""

    async def scenario(world):
        query = b"?" + b"&".join(b"%x=" % number for number in range(998))
        _, writer = await world.send(
            WHOLE.replace(b"/ ", b"/a" + query + b"&wait=1&wait=2 ", 1)
        )
        await world.wait_for(lambda: world.requests)
        (request,) = world.requests
        assert (request.path, request.arguments) == ("/a", {})
        assert request.argument("wait") == "2"
        assert request.argument("3e5") == request.argument("none") == ""
        writer.close()

    play(scenario)


def test_a_query_of_too_many_arguments_is_a_bad_request(play):
    async def scenario(world):
        query = b"?" + b"&" * MAX_ARGUMENTS
        reader, writer = await world.send(WHOLE.replace(b"/ ", b"/a" + query + b" ", 1))
        async with asyncio.timeout(TIMEOUT_S):
            assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
        assert world.requests == []
        writer.close()

    play(scenario)


def test_what_a_connection_has_sent_is_not_read_once_it_is_given_up(play):
    """Requests in its buffer were served, to nobody, and its chunks took turns."""

    async def scenario(world):
        _, writer = await world.send(WHOLE + WHOLE)
        await world.wait_for(lambda: world.requests)
        world.requests[0].connection.context.close()
        await world.wait_for(lambda: not world.budget.connections)
        assert len(world.requests) == 1
        writer.close()

    play(scenario)


def test_a_connection_that_is_given_up_waits_for_no_turn(play):
    async def scenario(world):
        chunks = b"1\r\nx\r\n" * 100 * CHUNKS_PER_TURN
        _, writer = await world.send(
            POST + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
        )
        await world.wait_for(lambda: world.budget.connections)
        (account,) = world.budget.expire(asyncio.get_running_loop().time() + 1_000)
        account.close()
        for _ in range(3):
            await asyncio.sleep(0)
        assert account.close is None
        writer.close()

    play(scenario)


class WaitingTurns:
    """Turns that are never due."""

    def __init__(self):
        self.taken = []

    def take(self):
        turn = asyncio.get_running_loop().create_future()
        self.taken.append(turn)
        return turn


def test_a_turn_that_is_not_due_keeps_nothing_of_a_connection_that_is_given_up(play):
    """Bodies in chunks of 16 KB took 137 MB where 128 were allowed."""

    async def scenario(world):
        turns = world.server.turns = WaitingTurns()
        gc.collect()
        gc.disable()
        try:
            _, writer = await world.send(CHUNKED + b"1\r\nx\r\n")
            await world.wait_for(lambda: turns.taken)
            (account,) = world.budget.expire(1e9)
            reference = weakref.ref(account.close.__self__.stream)
            account.close()
            await world.wait_for(lambda: reference() is None)
            writer.close()
        finally:
            gc.enable()

    play(scenario)


@pytest.mark.parametrize(
    "sent",
    [POST, WHOLE[:-1], CHUNKED + b"1\r\nx\r\n" * 100 * CHUNKS_PER_TURN],
    ids=["header", "body", "chunks"],
)
def test_a_connection_that_ends_leaves_no_work_for_the_garbage_collector(play, sent):
    """Thousands of them filled the memory between two of its runs."""

    async def scenario(world):
        gc.collect()
        gc.disable()
        try:
            _, writer = await world.send(sent)
            await world.wait_for(lambda: world.budget.connections)
            clients = [each.close.__self__ for each in world.budget.expire(1e9)]
            references = [weakref.ref(client.stream) for client in clients]
            for client in clients:
                client.close()
            del client, clients
            world.requests.clear()
            await world.wait_for(lambda: all(each() is None for each in references))
            assert references
            writer.close()
        finally:
            gc.enable()

    play(scenario)
