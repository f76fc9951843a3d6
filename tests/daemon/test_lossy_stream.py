import os

from banyanwheel_daemon.logs import LossyStream

LINE = b"x" * 99 + b"\n"


def test_a_reader_that_does_not_read_holds_nothing_up():
    reader, writer = os.pipe()
    stream = LossyStream(writer)
    for _ in range(10_000):
        stream.write(LINE)
    assert stream.lost > 0
    os.set_blocking(reader, False)
    data = os.read(reader, 10_000_000)
    stream.write(LINE)
    data += os.read(reader, 10_000_000)
    assert set(data.splitlines()) == {LINE.strip()}
    os.close(reader)
    os.close(writer)
