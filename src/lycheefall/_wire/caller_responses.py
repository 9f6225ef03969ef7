"""Send responses to callers."""

import h11

from lycheefall._wire.caller_connection import CallerConnection, Headers, recount


async def send_local_response(
    caller: CallerConnection, status: int, headers: Headers = (), body: bytes = b""
) -> None:
    """Send a complete response that this process generated."""
    length = (b"Content-Length", str(len(body)).encode())
    await send_response(caller, status, b"", (*headers, length), body)


async def send_response(
    caller: CallerConnection, status: int, reason: bytes, headers: Headers, body: bytes
) -> None:
    """Send a complete response with a single write.

    If the process were killed between two writes, the caller would receive only the head.
    """
    events = [_head(caller, status, reason, headers), h11.EndOfMessage()]
    if body:
        events.insert(1, h11.Data(data=body))
    write_events(caller, *events)
    await caller.writer.drain()


async def start_response(
    caller: CallerConnection, status: int, reason: bytes, headers: Headers
) -> None:
    """Send the head of a response."""
    write_events(caller, _head(caller, status, reason, headers))
    await caller.writer.drain()


async def send_data(caller: CallerConnection, data: bytes) -> None:
    """Send a part of the response body."""
    if data:
        write_events(caller, h11.Data(data=data))
        await caller.writer.drain()


async def finish_response(caller: CallerConnection) -> None:
    """End the response; without this, the caller sees that it is truncated."""
    write_events(caller, h11.EndOfMessage())
    await caller.writer.drain()


def is_response_started(caller: CallerConnection) -> bool:
    """Return whether the head of the response was sent."""
    return caller.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)


def _head(caller: CallerConnection, status: int, reason: bytes, headers: Headers) -> h11.Response:
    extra: Headers = ((b"Connection", b"close"),) if caller.server.is_closing else ()
    return h11.Response(status_code=status, reason=reason, headers=[*headers, *extra])


def write_events(caller: CallerConnection, *events: h11.Event) -> None:
    """Send parts of a response with a single write."""
    data = b"".join(caller.http.send(event) or b"" for event in events)
    if data:
        caller.writer.write(data)
        if caller.http.our_state in (h11.DONE, h11.MUST_CLOSE):
            # The outcome of the request no longer depends on the connection.
            caller.share.is_in_progress = False
        if caller.server.counts_output:
            recount(caller)
