"""Hold the body of a response, or pass it on as it arrives, no faster than its caller reads."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._relay import headers
from lycheefall._relay.exchange_log import record_first_byte
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._relay.streams import check_not_ended
from lycheefall._rules import byte_budget, response_window
from lycheefall._rules.response_window import Delivery
from lycheefall._wire.http_server import (
    Headers,
    send_data,
    start_response,
    unsent_bytes,
)
from lycheefall._wire.http_upstream import (
    MAX_BODY_BYTES,
    ExchangeError,
    FailureCause,
    ResponseHead,
    UpstreamConnection,
    append_part,
    check_size,
    declared_length,
    is_chunked,
    read_data,
)
from lycheefall._wire.slow_peers import watch

# An upstream ends a response that is not read for some seconds, so another part is read after this
# time although the caller is behind, if the memory allows it.
READ_AT_LEAST_S = 1.0


async def hold_or_pass_on(
    relay: Relay, exchange: Exchange, connection: UpstreamConnection, head: ResponseHead
) -> bytes | None:
    """Return the body of a response, or None once it was passed on to the caller."""
    holding, budget = exchange.holding, relay.response_bytes
    assert holding is not None
    length_bytes = declared_length(connection, head)
    must_hold = exchange.has_stream_begun or (head.status >= 500 and exchange.may_repeat)
    delivery = response_window.choose_delivery(budget, length_bytes, must_hold)
    if delivery is Delivery.REJECT:
        raise ExchangeError(FailureCause.TOO_LARGE, "no memory for the response")
    if delivery is Delivery.PASS_ON:
        await _pass_on(relay, exchange, connection, head, length_bytes, [])
        return None
    if length_bytes is not None:
        byte_budget.settle(holding)
        byte_budget.resize(budget, holding, length_bytes)
    may_pass_on = is_chunked(head) and not must_hold
    parts: list[bytearray] = []
    size_bytes = 0
    while (data := await read_data(connection)) is not None:
        size_bytes += len(data)
        check_size(size_bytes, MAX_BODY_BYTES)
        append_part(parts, data)
        if length_bytes is not None:
            continue
        byte_budget.resize(budget, holding, size_bytes)
        check_not_ended(holding)
        if may_pass_on and response_window.holds_more_than_share(budget, size_bytes):
            await _pass_on(relay, exchange, connection, head, None, parts)
            return None
    check_not_ended(holding)
    byte_budget.settle(holding)
    return b"".join(parts)


async def _pass_on(
    relay: Relay,
    exchange: Exchange,
    connection: UpstreamConnection,
    head: ResponseHead,
    length_bytes: int | None,
    held: list[bytearray],
) -> None:
    """Send the body of a response, first what is held and then the rest as it arrives.

    The end of the response is left to the caller of this function, so that one that breaks off with
    an ExchangeError doesn't look complete.
    """
    held_bytes = sum(len(part) for part in held)
    _log_passed_on(exchange, length_bytes, held_bytes)
    assert exchange.holding is not None
    byte_budget.settle(exchange.holding)
    exchange.is_revocable = False
    exchange.is_passed_on = True
    exchange.status = head.status
    record_first_byte(exchange)
    transport = exchange.caller.writer.transport
    relay.passed_on += 1
    try:
        await start_response(
            exchange.caller, head.status, head.reason, _headers(head, length_bytes)
        )
        while held:
            part = bytes(held.pop(0))
            held_bytes -= len(part)
            await _send(relay, exchange, part, held_bytes)
        while (data := await read_data(connection)) is not None:
            if length_bytes is None:
                check_size(exchange.sent_bytes + len(data), MAX_BODY_BYTES)
            await _send(relay, exchange, data)
    finally:
        relay.passed_on -= 1
        if not transport.is_closing():
            transport.set_write_buffer_limits()


async def _send(relay: Relay, exchange: Exchange, data: bytes, held_bytes: int = 0) -> None:
    """Send a part, and wait while the caller is behind by more than its window."""
    caller, budget = exchange.caller, relay.response_bytes
    transport = caller.writer.transport
    exchange.sent_bytes += len(data)
    _charge(relay, exchange, unsent_bytes(caller) + len(data) + held_bytes)
    transport.set_write_buffer_limits(response_window.window_bytes(budget, relay.passed_on))
    watch(relay.watched, transport, exchange.sent_bytes)
    exchange.read_ahead_bytes -= len(data)
    wait_s = 0.0 if exchange.read_ahead_bytes > 0 else READ_AT_LEAST_S
    # Writes all of the part before it waits.
    has_caught_up = await _ends_within(send_data(caller, data), wait_s)
    while not has_caught_up and exchange.read_ahead_bytes <= 0:
        exchange.read_ahead_bytes = response_window.read_ahead_bytes(budget, relay.passed_on)
        if not exchange.read_ahead_bytes:
            has_caught_up = await _ends_within(caller.writer.drain(), READ_AT_LEAST_S)
    if has_caught_up:
        exchange.read_ahead_bytes = 0
    _charge(relay, exchange, unsent_bytes(caller) + held_bytes)


async def _ends_within(progress: Coroutine[Any, Any, None], timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await progress
    except TimeoutError:
        return False
    return True


def _charge(relay: Relay, exchange: Exchange, size_bytes: int) -> None:
    assert exchange.holding is not None
    byte_budget.resize(relay.response_bytes, exchange.holding, size_bytes)


def _headers(head: ResponseHead, length_bytes: int | None) -> Headers:
    return (
        headers.stream_headers(head) if length_bytes is None else headers.end_to_end(head.headers)
    )


def _log_passed_on(exchange: Exchange, length_bytes: int | None, held_bytes: int) -> None:
    log(
        Event.RESPONSE_PASSED_ON,
        request=exchange.attempt_id.decode("latin-1"),
        upstream=exchange.tried[-1].upstream,
        length=length_bytes,
        held=held_bytes,
    )
