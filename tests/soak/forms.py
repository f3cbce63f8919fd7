"""Forms of a reply of which some part has no end."""

import asyncio

PAD = b"a" * 4096
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

# (what is sent first, what is sent then until the connection is closed)
FORMS = [
    (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", PAD),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", PAD),
    (b"HTTP/1.1 200 OK\r\nA: ", PAD),
    (b"HTTP/1.1 200 OK\r\n", b"A: " + PAD + b"\r\n"),
    (b"HTTP/1.1 200 OK\r\n\r\n", PAD),
    (b"", PAD),
    (CHUNKED, b"1000\r\n" + PAD + b"\r\n"),
    (CHUNKED, b"1\r\na\r\n" * 1000),
    (CHUNKED + b"1;", PAD),
    (CHUNKED + b"0\r\n", b"A: " + PAD + b"\r\n"),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
]


def send_endlessly(connection, form):
    """Sends the form on a blocking socket until it is closed or reset, for at most ten seconds."""
    begin, repeated = form
    connection.settimeout(10)
    connection.sendall(begin + repeated)
    while True:
        connection.sendall(repeated)


async def write_endlessly(writer, form):
    """As send_endlessly, on a stream, without a time limit."""
    begin, repeated = form
    writer.write(begin)
    while not writer.is_closing():
        writer.write(repeated)
        await writer.drain()
        await asyncio.sleep(0)
