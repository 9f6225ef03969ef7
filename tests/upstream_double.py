"""An upstream on a loopback port whose answers a test writes byte for byte."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field


@dataclass
class Seen:
    """A request as it arrived."""

    line: str
    headers: dict[str, str]
    names: list[str]
    body: bytes
    # Number of the connection over which it came.
    connection: int


@dataclass
class Exchange:
    """An open request and the connection to answer it over."""

    received: Seen
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    double: "UpstreamDouble"

    async def send(self, data: bytes) -> None:
        """Send bytes now."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        connection: socket.socket = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


RequestHandler = Callable[[Exchange], Awaitable[None]]


@dataclass
class UpstreamDouble:
    """A listening upstream."""

    answer: RequestHandler
    port: int = 0
    received: list[Seen] = field(default_factory=list)
    connections: int = 0
    # Requests whose connection ended before they were answered.
    dropped: int = 0
    server: asyncio.Server | None = None

    def close(self) -> None:
        """Listen no more."""
        if self.server is not None:
            self.server.close()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self.port}"


@asynccontextmanager
async def upstream(answer: RequestHandler) -> AsyncIterator[UpstreamDouble]:
    """Run an upstream that answers each request with a function."""
    made = UpstreamDouble(answer)
    writers: set[asyncio.StreamWriter] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        made.connections += 1
        number = made.connections
        writers.add(writer)
        try:
            while (received := await read_request(reader, number)) is not None:
                made.received.append(received)
                await made.answer(Exchange(received, reader, writer, made))
        except (ConnectionError, asyncio.IncompleteReadError):
            made.dropped += 1
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    made.server = server
    made.port = server.sockets[0].getsockname()[1]
    try:
        yield made
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()


async def read_request(reader: asyncio.StreamReader, connection: int) -> Seen | None:
    """Read one request, or return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *rows = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [row.partition(": ")[::2] for row in rows]
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Seen(line, headers, [name for name, _ in pairs], body, connection)


def complete_response(
    received: Seen, body: bytes = b"answer", status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return a whole answer with a length."""
    attempt = received.headers.get("attempt-id", "")
    head = (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def stream_head(received: Seen) -> bytes:
    """Return the head of a stream of unknown length."""
    attempt = received.headers.get("attempt-id", "")
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


LAST_CHUNK = b"0\r\n\r\n"
