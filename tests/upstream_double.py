"""Test double of an upstream on a loopback port; tests write its responses byte by byte."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field


@dataclass
class ReceivedRequest:
    """A request as received."""

    request_line: str
    headers: dict[str, str]
    header_names: list[str]
    body: bytes
    # Number of the connection that it arrived on.
    connection: int


@dataclass
class Exchange:
    """A request without a response yet, and its connection."""

    received: ReceivedRequest
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    double: "UpstreamDouble"

    async def send(self, data: bytes) -> None:
        """Send bytes immediately."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        connection: socket.socket = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


RequestHandler = Callable[[Exchange], Awaitable[None]]


@dataclass
class UpstreamDouble:
    """A listening upstream and the requests that it received."""

    answer: RequestHandler
    port: int = 0
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    # Connections that broke before the response to a request.
    dropped: int = 0
    # Bytes that a handler sent without end.
    sent_bytes: int = 0
    server: asyncio.Server | None = None

    def close(self) -> None:
        """Stop listening; open connections remain."""
        if self.server is not None:
            self.server.close()

    @property
    def address(self) -> str:
        """Address of the upstream."""
        return f"127.0.0.1:{self.port}"


@asynccontextmanager
async def upstream(answer: RequestHandler) -> AsyncIterator[UpstreamDouble]:
    """Run an upstream that handles each request with a function."""
    double = UpstreamDouble(answer)
    writers: set[asyncio.StreamWriter] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        double.connections += 1
        number = double.connections
        writers.add(writer)
        try:
            while (received := await read_request(reader, number)) is not None:
                double.received.append(received)
                await double.answer(Exchange(received, reader, writer, double))
        except (ConnectionError, asyncio.IncompleteReadError):
            double.dropped += 1
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    double.server = server
    double.port = server.sockets[0].getsockname()[1]
    try:
        yield double
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()


async def read_request(reader: asyncio.StreamReader, connection: int) -> ReceivedRequest | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    request_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [row.partition(": ")[::2] for row in lines]
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(request_line, headers, [name for name, _ in pairs], body, connection)


def complete_response(
    received: ReceivedRequest, body: bytes = b"answer", status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return a complete response with a Content-Length."""
    attempt = received.headers.get("attempt-id", "")
    head = (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def stream_head(received: ReceivedRequest) -> bytes:
    """Return the headers of a chunked event stream."""
    attempt = received.headers.get("attempt-id", "")
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


LAST_CHUNK = b"0\r\n\r\n"
