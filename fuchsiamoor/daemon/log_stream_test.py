import asyncio
import os

from fuchsiamoor.daemon import log_stream


def _read_available(descriptor):
    os.set_blocking(descriptor, False)
    found = b""
    while True:
        try:
            chunk = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return found
        if not chunk:
            return found
        found += chunk


def test_lines_are_written_in_order():
    reader, writer = os.pipe()
    stream = log_stream.LogStream(writer)
    for number in range(3):
        stream.write(f"{number}\n")
    assert _read_available(reader) == b"0\n1\n2\n"


def test_stalled_reader_does_not_block_and_dropped_lines_are_reported():
    async def main():
        reader, writer = os.pipe()
        stream = log_stream.LogStream(writer, max_buffered_bytes=1_000)
        for number in range(20_000):
            stream.write(f"{number:09}\n")
        found = b""
        for _ in range(50):
            found += _read_available(reader)
            await asyncio.sleep(0.001)
        return found.decode().splitlines()

    lines = asyncio.run(main())
    assert lines[0] == "000000000"
    assert '"event": "log lines dropped"' in lines[-1]
    numbers = [int(line) for line in lines[:-1]]
    assert numbers == sorted(numbers)
    assert len(numbers) < 20_000


def test_lines_within_the_delay_are_written_together():
    async def main():
        reader, writer = os.pipe()
        stream = log_stream.LogStream(writer, delay_ms=30)
        stream.write("a\n")
        stream.write("b\n")
        at_once = _read_available(reader)
        await asyncio.sleep(0.1)
        delayed = _read_available(reader)
        stream.write("c\n")
        stream.flush()
        return at_once, delayed, _read_available(reader)

    assert asyncio.run(main()) == (b"", b"a\nb\n", b"c\n")


def test_a_delayed_line_is_written_at_once_without_an_event_loop():
    reader, writer = os.pipe()
    stream = log_stream.LogStream(writer, delay_ms=30)
    stream.write("a\n")
    assert _read_available(reader) == b"a\n"


def test_line_for_a_closed_reader_is_dropped():
    reader, writer = os.pipe()
    os.close(reader)
    stream = log_stream.LogStream(writer)
    stream.write("a\n")
    assert stream.dropped == 1
