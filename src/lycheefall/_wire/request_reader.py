"""Read requests of callers, whose heads and bodies are held in bounded memory.

The parser sees one head at a time. Bodies in chunks are decoded here, as the parser would take five
times as long for chunks of one byte.
"""

import asyncio
import re

import h11

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._rules import byte_budget, connection_account
from lycheefall._rules.byte_budget import FREE_BYTES
from lycheefall._rules.connection_account import CloseReason
from lycheefall._wire.caller_connection import (
    READ_BYTES,
    CallerConnection,
    Headers,
    HttpLimits,
    IncomingRequest,
    Intake,
    recount,
)
from lycheefall._wire.caller_input import INPUT_BYTES
from lycheefall._wire.chunked_body import ChunkedBody, InvalidChunk, Stage

# Time that a large request waits for room, shorter than the time after which callers give up on a
# request that is not read; and the time after which they may return.
BODY_WAIT_S = 0.4
BODY_RETRY_AFTER_S = 0.5
# Less is parsed at once; for more, connections take turns.
SHORT_PARSE_BYTES = 2_048
# Memory of a decoded header field besides its bytes, and the cost of a head that is not charged.
_FIELD_BYTES = 320
_FREE_HEAD_BYTES = 8_192
_HEAD_END = re.compile(rb"\n\r?\n")
# The parser rejects a head that begins with such a byte without waiting for its end.
_FIRST_VALID_BYTE = 0x21
_LAST_CHUNK = b"0\r\n\r\n"


class RejectedRequest(Exception):
    """An invalid request; the connection is closed after the response."""

    def __init__(self, status: int, headers: Headers = ()) -> None:
        super().__init__(status)
        self.status = status
        self.headers = headers


async def read_request(caller: CallerConnection) -> IncomingRequest | None:
    """Return the next request, or None if the connection ends or is idle for too long."""
    head = await _read_head(caller)
    if head is None:
        return None
    received_s = asyncio.get_running_loop().time()
    limits = caller.server.limits()
    head_bytes = max(0, _head_cost(head) - _FREE_HEAD_BYTES)
    body = await _read_body(caller, head, limits, head_bytes)
    headers = tuple((bytes(name), bytes(value)) for name, value in head.headers.raw_items())
    return IncomingRequest(bytes(head.method), bytes(head.target), headers, body, received_s)


async def take_turn(intake: Intake) -> None:
    """Wait for one iteration of the event loop in which no other connection parses much."""
    async with intake.parsing:
        await asyncio.sleep(0)


def release_body(caller: CallerConnection) -> None:
    """Return the memory of the request's head and body."""
    intake = caller.server.intake
    caller.part_bytes = 0
    byte_budget.close(intake.body_bytes, caller.share.body)
    intake.has_released_body.set()


async def _read_head(caller: CallerConnection) -> h11.Request | None:
    """Return the head of the next request, or None if the connection ends or is idle too long.

    The limits may change while the connection is idle, and the latest ones hold for the request.
    """
    now = asyncio.get_running_loop().time
    idle_since_s = now()
    searched_bytes = 0
    while True:
        buffer = caller.reader.buffer
        limits = caller.server.limits()
        end = _head_end(buffer, searched_bytes)
        if end:
            return await _parse_head(caller, end, limits)
        if len(buffer) > limits.header_bytes:
            raise RejectedRequest(431)
        caller.reader.high_bytes = max(INPUT_BYTES, limits.header_bytes)
        searched_bytes = len(buffer)
        ends_s = idle_since_s + limits.idle_timeout_s
        if buffer:
            ends_s = now() + limits.header_timeout_s
        try:
            async with asyncio.timeout_at(ends_s):
                if not await caller.reader.more():
                    return None
        except TimeoutError as error:
            if caller.reader.buffer:
                raise RejectedRequest(408) from error
            if now() < idle_since_s + caller.server.limits().idle_timeout_s:
                continue
            return None


def _head_end(buffer: bytearray, searched_bytes: int) -> int:
    """Return the length of the head at the start of the buffer, or 0 if it is incomplete."""
    if buffer and buffer[0] < _FIRST_VALID_BYTE:
        return len(buffer)
    end = _HEAD_END.search(buffer, max(0, searched_bytes - 2))
    return end.end() if end else 0


async def _parse_head(caller: CallerConnection, size_bytes: int, limits: HttpLimits) -> h11.Request:
    # It may have arrived together with the previous request.
    caller.is_idle = False
    if size_bytes > SHORT_PARSE_BYTES:
        await take_turn(caller.server.intake)
    caller.http.receive_data(caller.reader.take(size_bytes))
    event = _next_event(caller)
    if not isinstance(event, h11.Request):
        raise RejectedRequest(400)
    if _head_size(event) > limits.header_bytes:
        raise RejectedRequest(431)
    return event


async def _read_body(
    caller: CallerConnection, head: h11.Request, limits: HttpLimits, head_bytes: int
) -> bytes:
    declared_bytes = _declared_length(head)
    if declared_bytes > limits.body_bytes:
        raise RejectedRequest(413)
    # A head that is waiting is already held.
    wait_s = BODY_WAIT_S if head_bytes <= FREE_BYTES else 0.0
    await _reserve_body(caller, head_bytes + declared_bytes, wait_s)
    if declared_bytes >= READ_BYTES:
        caller.reader.high_bytes = READ_BYTES
    if caller.http.they_are_waiting_for_100_continue:
        response = h11.InformationalResponse(status_code=100, headers=[])
        caller.writer.write(caller.http.send(response) or b"")
    if _is_chunked(head):
        content = await _read_chunks(caller, limits, head_bytes)
        caller.http.receive_data(_LAST_CHUNK)
    else:
        content = await _read_declared(caller, limits, declared_bytes)
    if not isinstance(_next_event(caller), h11.EndOfMessage):
        raise RejectedRequest(400)
    caller.reader.high_bytes = INPUT_BYTES
    intake = caller.server.intake
    byte_budget.resize(intake.body_bytes, caller.share.body, head_bytes + len(content))
    return bytes(content)


async def _read_declared(
    caller: CallerConnection, limits: HttpLimits, declared_bytes: int
) -> bytearray:
    content = bytearray()
    while len(content) < declared_bytes:
        data = caller.reader.take(min(READ_BYTES, declared_bytes - len(content)))
        if not data:
            await _wait_for_part(caller, limits)
            continue
        caller.http.receive_data(data)
        event = _next_event(caller)
        if not isinstance(event, h11.Data):
            raise RejectedRequest(400)
        content += event.data
        _count_part(caller, len(content))
    return content


async def _read_chunks(caller: CallerConnection, limits: HttpLimits, head_bytes: int) -> bytearray:
    body = ChunkedBody()
    has_room = False
    while True:
        if len(caller.reader.buffer) > SHORT_PARSE_BYTES:
            await take_turn(caller.server.intake)
        try:
            used_bytes = caller.reader.decode_into(body, INPUT_BYTES)
        except InvalidChunk as error:
            raise RejectedRequest(400) from error
        size_bytes = len(body.content)
        if size_bytes + body.missing_bytes > limits.body_bytes:
            raise RejectedRequest(413)
        if body.dropped_bytes > limits.header_bytes:
            raise RejectedRequest(431)
        if size_bytes > FREE_BYTES and not has_room:
            # The length is not known before the end.
            await _reserve_body(caller, head_bytes + limits.body_bytes, BODY_WAIT_S)
            has_room = True
        _count_part(caller, size_bytes)
        if body.stage is Stage.END:
            return body.content
        if used_bytes:
            continue
        if len(caller.reader.buffer) > limits.header_bytes:
            raise RejectedRequest(431)
        await _wait_for_part(caller, limits)


def _count_part(caller: CallerConnection, size_bytes: int) -> None:
    # The rest is charged to the budget of bodies.
    caller.part_bytes = min(size_bytes, FREE_BYTES)


async def _wait_for_part(caller: CallerConnection, limits: HttpLimits) -> None:
    try:
        async with asyncio.timeout(limits.idle_timeout_s):
            if not await caller.reader.more():
                raise ConnectionResetError("the caller disconnected before the end of its request")
    except TimeoutError as error:
        raise RejectedRequest(408) from error


async def _reserve_body(caller: CallerConnection, size_bytes: int, wait_s: float) -> None:
    """Wait for room for a request that is read; reject it if there is none in time."""
    intake = caller.server.intake
    now = asyncio.get_running_loop().time
    try:
        async with asyncio.timeout(wait_s):
            while not byte_budget.has_room(intake.body_bytes, size_bytes):
                for share in connection_account.choose_for_body(intake.account, now()):
                    share.close(CloseReason.BODY_STALLED)
                intake.has_released_body.clear()
                await intake.has_released_body.wait()
    except TimeoutError as error:
        held_bytes = intake.body_bytes.charged_bytes
        log(Event.BODY_REFUSED, size_bytes=size_bytes, held_bytes=held_bytes)
        retry_after = (b"Retry-After", str(BODY_RETRY_AFTER_S).encode())
        raise RejectedRequest(503, (retry_after,)) from error
    byte_budget.resize(intake.body_bytes, caller.share.body, size_bytes)
    recount(caller)


def _head_size(head: h11.Request) -> int:
    # Each header line has 4 more bytes: the colon, a space and the line end.
    pairs = head.headers.raw_items()
    return len(head.target) + sum(len(name) + len(value) + 4 for name, value in pairs)


def _head_cost(head: h11.Request) -> int:
    """Return the memory of a decoded head."""
    return _head_size(head) + _FIELD_BYTES * len(head.headers)


def _declared_length(head: h11.Request) -> int:
    if _is_chunked(head):
        return 0
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _is_chunked(head: h11.Request) -> bool:
    """Return whether the body is in chunks; the parser accepts no other transfer coding."""
    return any(name == b"transfer-encoding" for name, _ in head.headers)


def _next_event(caller: CallerConnection) -> object:
    try:
        return caller.http.next_event()
    except h11.RemoteProtocolError as error:
        raise RejectedRequest(error.error_status_hint) from error
