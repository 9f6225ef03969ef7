"""Answers of the entry's own: refusals, and what is said when all attempts have failed."""

from lycheefall._relay import headers
from lycheefall._relay.exchange_log import log_refused, measure
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._rules.dispatch_messages import RefusalReason, Refuse
from lycheefall._wire.http_server import (
    CallerConnection,
    Headers,
    send_local_response,
    send_response,
)
from lycheefall._wire.http_upstream import ResponseHead


async def refuse(
    relay: Relay, caller: CallerConnection, status: int, reason: str, retry_after_s: float | None
) -> None:
    """Send an answer that no upstream made."""
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
    """Answer at once with what is known: an upstream's failure, a promise, or neither."""
    if exchange.has_begun:
        exchange.status = 0
        return
    if exchange.failure is not None:
        await send_whole(exchange, exchange.failure.head, exchange.failure.body)
        return
    exchange.status = 502 if exchange.sent > 0 else 503
    reason = RefusalReason.ALL_TRIED.value if refusal is None else refusal.reason.value
    retry_after_s = None if refusal is None or exchange.sent else refusal.retry_after_s
    waiting = 0 if refusal is None else refusal.waiting
    log_refused(relay, exchange, reason, waiting, retry_after_s)
    await refuse(relay, exchange.caller, exchange.status, reason, retry_after_s)


async def time_out(relay: Relay, exchange: Exchange) -> None:
    """Answer a request whose time is over."""
    if exchange.has_begun or exchange.caller.is_disconnected:
        return
    exchange.status = 504 if exchange.sent > 0 else 503
    log_refused(relay, exchange, "its time is over", 0, None)
    await refuse(relay, exchange.caller, exchange.status, "the time is over", None)


async def send_whole(exchange: Exchange, head: ResponseHead, body: bytes) -> None:
    """Pass a complete answer of an upstream on."""
    exchange.status = head.status
    measure(exchange)
    sent = headers.to_caller(head, exchange.request.method, body)
    kept = b"" if exchange.request.method == b"HEAD" else body
    await send_response(exchange.caller, head.status, head.reason, sent, kept)
