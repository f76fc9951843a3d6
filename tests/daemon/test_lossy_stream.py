import os

from banyanwheel_daemon.logs import LossyStream

LINE = b"x" * 99 + b"\n"


def test_writes_to_a_stalled_reader_do_not_block_and_drop_whole_lines():
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
