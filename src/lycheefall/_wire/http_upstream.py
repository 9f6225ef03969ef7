"""HTTP/1.1 client for upstreams, with one exchange at a time on a connection."""

import asyncio
from enum import Enum

import h11
from msgspec import Struct

from lycheefall._core.ids import Address
from lycheefall._wire.http_server import READ_BYTES, Headers
from lycheefall._wire.sockets import enable_dead_peer_detection, limit_receive_buffer

# Idle time after which a connection is not reused, if the upstream states no Keep-Alive timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Upstreams state their idle timeout in whole seconds; connections are abandoned this much earlier.
IDLE_MARGIN_S = 0.5
# Limits on the head and the body of a response, after which the connection is closed. A faulty
# upstream may send bytes without end. The head limit is the default of the limit on requests, and
# the body limit four times that of request bodies.
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 16 * 1024 * 1024
# Bytes that the kernel receives for one connection before the entry reads them; with it the links'
# delay of a few milliseconds allows for some tens of megabytes a second.
RECEIVE_BUFFER_BYTES = 131_072
# The reader stops reading at twice this size.
READER_BYTES = 32_768
# Responses with these statuses have no body; a Content-Length is that of another response.
NO_BODY_STATUS = frozenset((204, 304))
# Informational (1xx) responses before the final one.
MAX_INFORMATIONAL_RESPONSES = 8
# Responses to other requests that are skipped; an upstream may respond twice to the previous one.
MAX_STRAY_RESPONSES = 2


class FailureCause(Enum):
    """Why an exchange ended without a complete response."""

    NOT_CONNECTED = "not-connected"
    # The host is up, but nothing listens on the port.
    CONNECTION_REFUSED = "connection-refused"
    # The connection was closed, or the received data is not valid HTTP.
    BROKEN = "broken"
    # The response exceeds a limit of this process.
    TOO_LARGE = "too-large"


class ExchangeError(Exception):
    """No complete response was received; the request may have run if it was sent."""

    def __init__(self, cause: FailureCause, detail: str) -> None:
        super().__init__(detail)
        self.cause = cause


class ResponseHead(Struct, frozen=True):
    """Status line and headers of the response of an upstream."""

    status: int
    reason: bytes
    headers: Headers


class OutgoingRequest(Struct, frozen=True):
    """A request as it is sent to an upstream."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # Header that the upstream echoes to identify the request, and its value; an empty value means
    # that the request has no id, so that a response with one belongs to another request.
    echo: tuple[bytes, bytes]


class _Protocol(asyncio.StreamReaderProtocol):
    """Marks a connection as unusable if it receives data while no request is open on it."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        super().__init__(reader)
        self.is_idle = False
        self.is_usable = True

    def data_received(self, data: bytes) -> None:
        if self.is_idle:
            self.is_usable = False
        super().data_received(data)

    def eof_received(self) -> bool | None:
        self.is_usable = False
        return super().eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        self.is_usable = False
        super().connection_lost(error)


class UpstreamConnection(Struct, eq=False):
    """A connection and the state of its exchange, owned by one task at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: _Protocol
    http: h11.Connection
    request: OutgoingRequest | None = None
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    idle_until_s: float = 0.0
    is_new: bool = True


async def connect(address: Address, timeout_s: float) -> UpstreamConnection:
    """Open a connection; raise ExchangeError if that fails or times out."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(READER_BYTES)
    protocol = _Protocol(reader)
    try:
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(lambda: protocol, host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        is_refused = isinstance(error, ConnectionRefusedError)
        cause = FailureCause.CONNECTION_REFUSED if is_refused else FailureCause.NOT_CONNECTED
        raise ExchangeError(cause, f"{address}: {error!r}") from error
    enable_dead_peer_detection(transport)
    limit_receive_buffer(transport, RECEIVE_BUFFER_BYTES)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return UpstreamConnection(reader, writer, protocol, _new_http())


def is_reusable(connection: UpstreamConnection, now_s: float) -> bool:
    """Return whether the next request may use this connection."""
    return connection.protocol.is_usable and now_s < connection.idle_until_s


def send_request(connection: UpstreamConnection, request: OutgoingRequest) -> None:
    """Start an exchange; a single write ensures that no other request interleaves with this one."""
    connection.protocol.is_idle = False
    connection.request = request
    connection.writer.write(_encode_request(connection.http, request))


async def read_head(connection: UpstreamConnection) -> ResponseHead:
    """Return the head of the response to the request; raise ExchangeError if there is none."""
    for _ in range(MAX_STRAY_RESPONSES + 1):
        head = await _next_head(connection)
        if _matches_request(connection, head):
            return head
        await skip_body(connection)
        _skip_response(connection)
    raise ExchangeError(FailureCause.BROKEN, "the responses belong to other requests")


async def read_data(connection: UpstreamConnection) -> bytes | None:
    """Return the next part of the body, or None at its end; raise ExchangeError if truncated."""
    event = await _next_event(connection)
    if isinstance(event, h11.Data):
        return bytes(event.data)
    if isinstance(event, h11.EndOfMessage):
        return None
    raise ExchangeError(FailureCause.BROKEN, "the response was truncated")


async def read_body(connection: UpstreamConnection, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the remaining body; raise ExchangeError if it is truncated or too large."""
    parts: list[bytearray] = []
    size_bytes = 0
    while (data := await read_data(connection)) is not None:
        size_bytes += len(data)
        check_size(size_bytes, max_bytes)
        append_part(parts, data)
    return b"".join(parts)


def append_part(parts: list[bytearray], data: bytes) -> None:
    """Append to a body; small parts are joined, as each object costs some dozen bytes."""
    if parts and len(parts[-1]) + len(data) <= READ_BYTES:
        parts[-1] += data
    else:
        parts.append(bytearray(data))


async def skip_body(connection: UpstreamConnection) -> None:
    """Read and drop the remaining body; raise ExchangeError if it is truncated or too large."""
    size_bytes = 0
    while (data := await read_data(connection)) is not None:
        size_bytes += len(data)
        check_size(size_bytes, MAX_BODY_BYTES)


def check_size(size_bytes: int, max_bytes: int) -> None:
    """Raise ExchangeError if a body is too large."""
    if size_bytes > max_bytes:
        raise ExchangeError(
            FailureCause.TOO_LARGE, f"the body of the response exceeds {max_bytes} bytes"
        )


def declared_length(connection: UpstreamConnection, head: ResponseHead) -> int | None:
    """Return the length of the body that a head declares, or None if it declares none."""
    is_head = connection.request is not None and connection.request.method == b"HEAD"
    if is_head or head.status in NO_BODY_STATUS:
        return 0
    if get_header(head.headers, b"transfer-encoding") is not None:
        return None
    value = get_header(head.headers, b"content-length")
    return None if value is None else int(value)


def is_chunked(head: ResponseHead) -> bool:
    """Return whether the body of a response comes in chunks, so that its end can be recognised."""
    return get_header(head.headers, b"transfer-encoding") is not None


def release(connection: UpstreamConnection, now_s: float) -> bool:
    """End an exchange; if the connection can't be reused, close it and return False."""
    http = connection.http
    is_done = http.our_state is h11.DONE and http.their_state is h11.DONE
    if not is_done or not connection.protocol.is_usable or http.trailing_data[0]:
        discard(connection)
        return False
    http.start_next_cycle()
    connection.request = None
    connection.is_new = False
    connection.protocol.is_idle = True
    connection.idle_until_s = now_s + connection.idle_timeout_s
    return True


def discard(connection: UpstreamConnection) -> None:
    """Abort a connection; the upstream then drops the request that is open on it."""
    connection.protocol.is_usable = False
    connection.writer.transport.abort()


def _new_http() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _encode_request(http: h11.Connection, request: OutgoingRequest) -> bytes:
    head = h11.Request(method=request.method, target=request.target, headers=[*request.headers])
    parts = [http.send(head)]
    if request.body:
        parts.append(http.send(h11.Data(data=request.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


async def _next_head(connection: UpstreamConnection) -> ResponseHead:
    for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
        event = await _next_event(connection)
        if isinstance(event, h11.InformationalResponse):
            continue
        if not isinstance(event, h11.Response):
            raise ExchangeError(FailureCause.BROKEN, "no response was received")
        headers = tuple((bytes(name), bytes(value)) for name, value in event.headers.raw_items())
        _record_idle_timeout(connection, event)
        return ResponseHead(event.status_code, bytes(event.reason), headers)
    raise ExchangeError(FailureCause.BROKEN, "too many informational responses")


async def _next_event(connection: UpstreamConnection) -> object:
    try:
        while (event := connection.http.next_event()) is h11.NEED_DATA:
            connection.http.receive_data(await connection.reader.read(READ_BYTES))
    except (OSError, h11.RemoteProtocolError) as error:
        raise ExchangeError(FailureCause.BROKEN, repr(error)) from error
    return event


def _matches_request(connection: UpstreamConnection, head: ResponseHead) -> bool:
    """Return whether a response belongs to the request.

    An error may lack the echo header on a new connection. On a kept one it may be a late copy of
    the response to an earlier request.
    """
    if connection.request is None:
        return False
    name, expected = connection.request.echo
    echoed = get_header(head.headers, name) or b""
    return echoed == expected or (not echoed and head.status >= 300 and connection.is_new)


def _skip_response(connection: UpstreamConnection) -> None:
    """Prepare to read the next response: this one answers another request, ours is still open."""
    received = connection.http.trailing_data[0]
    if connection.request is None or connection.http.their_state is not h11.DONE:
        raise ExchangeError(
            FailureCause.BROKEN, "the connection ends after a response to another request"
        )
    # h11 expects one response per request. A new parser is given the request, which isn't sent
    # again, and the bytes received after the skipped response.
    connection.http = _new_http()
    _encode_request(connection.http, connection.request)
    if received:
        connection.http.receive_data(received)


def _record_idle_timeout(connection: UpstreamConnection, response: h11.Response) -> None:
    for name, value in response.headers:
        if name == b"keep-alive":
            connection.idle_timeout_s = max(0.0, _parse_timeout(value) - IDLE_MARGIN_S)


def _parse_timeout(value: bytes) -> float:
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return float(text)
    return DEFAULT_IDLE_TIMEOUT_S


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header, or None; names are case-insensitive."""
    wanted = name.lower()
    for candidate, value in headers:
        if candidate.lower() == wanted:
            return value
    return None
