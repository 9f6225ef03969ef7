"""Responses that the entry generates: refusals, timeouts and the result of failed attempts."""

from lycheefall._relay import headers
from lycheefall._relay.exchange_log import log_cut, log_refused, record_first_byte
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._rules import planned_stop
from lycheefall._rules.dispatch_messages import RefusalReason, Refuse
from lycheefall._wire.http_server import (
    CallerConnection,
    Headers,
    is_response_started,
    send_local_response,
    send_response,
)
from lycheefall._wire.http_upstream import ResponseHead


async def refuse(
    relay: Relay, caller: CallerConnection, status: int, reason: str, retry_after_s: float | None
) -> None:
    """Send an error response with a reason and an optional Retry-After time."""
    extra: Headers = ()
    if retry_after_s is not None:
        extra = ((relay.dialect.headers.retry_after, f"{retry_after_s:g}".encode()),)
    await send_local_response(
        caller,
        status,
        ((b"Content-Type", b"application/json"), *extra),
        relay.dialect.encode_error(reason),
    )


async def give_up(relay: Relay, exchange: Exchange, refusal: Refuse | None) -> None:
    """Respond after the last attempt.

    The response is the error of an upstream if there is one. Otherwise it is 503 if the request
    certainly did not run, and 502 if it may have run.
    """
    if exchange.has_stream_begun or exchange.is_passed_on:
        # The server resets the connection, so that the response does not look complete.
        exchange.status = 0
        return
    if exchange.failure is not None:
        await forward_response(exchange, exchange.failure.head, exchange.failure.body)
        return
    exchange.status = 502 if exchange.possible_runs > 0 else 503
    reason = RefusalReason.ALL_TRIED.value if refusal is None else refusal.reason.value
    retry_after_s = None if refusal is None or exchange.possible_runs else refusal.retry_after_s
    waiting = 0 if refusal is None else refusal.waiting
    log_refused(relay, exchange, reason, waiting, retry_after_s)
    await refuse(relay, exchange.caller, exchange.status, reason, retry_after_s)


async def time_out(relay: Relay, exchange: Exchange) -> None:
    """Respond to a request whose time has passed: 504 if it may have run, else 503."""
    is_stopping = relay.stop is not None and relay.now() < exchange.deadline_s
    if is_stopping:
        log_cut(relay, exchange)
    if exchange.caller.is_disconnected or is_response_started(exchange.caller):
        return
    exchange.status = 504 if exchange.possible_runs > 0 else 503
    reason = RefusalReason.STOPPING.value if is_stopping else "deadline exceeded"
    may_return = is_stopping and not exchange.possible_runs
    retry_after_s = planned_stop.RETRY_AFTER_S if may_return else None
    log_refused(relay, exchange, reason, 0, retry_after_s)
    await refuse(relay, exchange.caller, exchange.status, reason, retry_after_s)


async def forward_response(exchange: Exchange, head: ResponseHead, body: bytes) -> None:
    """Forward a complete response of an upstream."""
    exchange.status = head.status
    record_first_byte(exchange)
    sent_headers = headers.response_headers(head, exchange.request.method, body)
    content = b"" if exchange.request.method == b"HEAD" else body
    await send_response(exchange.caller, head.status, head.reason, sent_headers, content)
