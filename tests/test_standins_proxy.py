"""The fault-injecting proxy as a process, in front of a small echo server."""

import socket
import threading
import time

import pytest

from tests.standins.calls import TIMEOUT_S, call
from tests.standins.process import StandIns

SILENCE_S = 0.3


@pytest.fixture
def start(tmp_path):
    with StandIns(tmp_path) as stand_ins:
        yield stand_ins.start


@pytest.fixture
def echo_server():
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=serve, args=(listener,), daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()


@pytest.fixture
def proxy(start, echo_server):
    return start("proxy", to=echo_server).ready


def serve(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=echo, args=(connection,), daemon=True).start()


def echo(connection):
    with connection:
        while chunk := connection.recv(65_536):
            connection.sendall(chunk)


def connect(proxy):
    host, port = proxy["address"].split(":")
    return socket.create_connection((host, int(port)), timeout=TIMEOUT_S)


def ask(connection, data=b"hello"):
    connection.sendall(data)
    return receive(connection, len(data))


def receive(connection, size):
    data = b""
    while len(data) < size and (chunk := connection.recv(65_536)):
        data += chunk
    return data


def is_silent(connection):
    connection.settimeout(SILENCE_S)
    try:
        connection.sendall(b"hello")
        connection.recv(1)
    except TimeoutError:
        return True
    finally:
        connection.settimeout(TIMEOUT_S)
    return False


def set_faults(proxy, **faults):
    assert call("PUT", proxy["control"], "/faults", faults)[0] == 200


def test_relays_bytes_and_the_end_of_a_connection(proxy):
    with connect(proxy) as connection:
        assert ask(connection, b"x" * 1_000_000) == b"x" * 1_000_000


def test_cut_closes_connections_and_refuses_new_ones_until_mended(proxy):
    with connect(proxy) as connection:
        ask(connection)
        set_faults(proxy, cut=True)
        assert connection.recv(1) == b""
    with pytest.raises(ConnectionRefusedError):
        connect(proxy)
    set_faults(proxy)
    with connect(proxy) as connection:
        assert ask(connection) == b"hello"


def test_frozen_connections_stay_silent_and_new_ones_work(proxy):
    with connect(proxy) as frozen:
        ask(frozen)
        assert call("POST", proxy["control"], "/freeze")[0] == 204
        assert is_silent(frozen)
        with connect(proxy) as connection:
            assert ask(connection) == b"hello"
        assert is_silent(frozen)


@pytest.mark.parametrize("fault", ["drop_to_server", "drop_to_client"])
def test_a_dropped_direction_is_silent_and_not_closed(proxy, fault):
    with connect(proxy) as connection:
        ask(connection)
        set_faults(proxy, **{fault: True})
        assert is_silent(connection)
        set_faults(proxy)
        assert ask(connection) == b"hello"


def test_a_lost_answer_closes_its_connection_once(proxy):
    set_faults(proxy, lose_answers=1)
    with connect(proxy) as connection:
        assert ask(connection) == b""
    with connect(proxy) as connection:
        assert ask(connection) == b"hello"


def test_a_delay_holds_for_all_chunks_together(proxy):
    set_faults(proxy, delay_to_server_ms=300, delay_to_client_ms=200)
    chunks = 100
    with connect(proxy) as connection:
        began = time.monotonic()
        for _ in range(chunks):
            connection.sendall(b"x")
            time.sleep(0.001)
        assert receive(connection, chunks) == b"x" * chunks
        took_s = time.monotonic() - began
    # One chunk after the other would need half a second for each.
    assert 0.5 <= took_s < chunks * 0.5 / 2
