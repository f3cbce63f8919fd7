"""Forms of replies that are no answers: without end, misleading, or of no request."""

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

# The body of every reply below. No caller may get it.
STRAY_BODY = b"of no request"
LENGTH = b"Content-Length: %d\r\n\r\n%s" % (len(STRAY_BODY), STRAY_BODY)
CHUNKS = b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(STRAY_BODY), STRAY_BODY)
NAMED = b"X-Request-Id: %s\r\nX-Server-Stamp: %s\r\n"

# In place of the reply to a request; %s are its id and a stamp.
MISLEADING = [
    b"HTTP/1.1 200 OK\r\n" + NAMED + b"Content-Encoding: gzip\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\n" + NAMED + b"Content-Encoding:\r\nContent-Encoding: gzip\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\n" + NAMED + b"Transfer-Encoding: gzip, chunked\r\n" + CHUNKS,
    b"HTTP/1.1 200 OK\r\n" + NAMED + b"Transfer-Encoding: gzip\r\n\r\n" + STRAY_BODY,
    b"HTTP/1.1 200 OK\r\n" + NAMED + b"X-Request-Id: other\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\n" + NAMED + b"X-Server-Stamp: other\r\n" + LENGTH,
    b"HTTP/1.1 404 Not Found\r\n" + NAMED + b"Content-Encoding: gzip\r\n" + LENGTH,
    b"HTTP/1.1 503 Full\r\n" + NAMED + b"X-Request-Id: other\r\nX-Not-Executed: 1\r\n" + LENGTH,
]

# After a whole reply.
STRAY = [
    b"HTTP/1.1 500 Failed\r\n" + LENGTH,
    b"HTTP/1.1 404 Not Found\r\n" + LENGTH,
    b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + LENGTH,
    b"HTTP/1.1 421 Misdirected\r\n" + LENGTH,
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
