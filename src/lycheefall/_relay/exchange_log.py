"""Log lines and measures of one request."""

import asyncio

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._operate.exposition import LATENCY_S, REQUESTS
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._rules.dispatch_messages import PauseObserved, Place
from lycheefall._rules.identification import Index, Unidentified
from lycheefall._wire.http_server import IncomingRequest
from lycheefall._wire.http_upstream import get_header

# A stream tells the dispatcher its longest pause this often.
PAUSE_PERIOD_S = 0.4


def measure(exchange: Exchange) -> None:
    """Note that the answer begins."""
    delay_s = asyncio.get_running_loop().time() - exchange.request.received_s
    exchange.first_byte_s = exchange.last_event_s = delay_s
    LATENCY_S.labels(exchange.found.route.name).observe(delay_s)


def measure_pause(relay: Relay, exchange: Exchange) -> None:
    """Note a pause, and tell the dispatcher of the longest one from time to time."""
    since_s = relay.now() - exchange.request.received_s
    pause_s = since_s - exchange.last_event_s
    exchange.last_event_s = since_s
    exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
    exchange.recent_pause_s = max(exchange.recent_pause_s, pause_s)
    target_s = exchange.found.route.pause_target_s
    source = exchange.answered_by
    if source is None:
        return
    relay.note_pass(source, pause_s, target_s)
    if target_s and since_s - exchange.pause_told_s >= PAUSE_PERIOD_S:
        told = PauseObserved(source.pool, source.upstream, exchange.recent_pause_s, target_s)
        relay.dispatch.offer(told)
        exchange.recent_pause_s = 0.0
        exchange.pause_told_s = since_s


def log_placed(relay: Relay, exchange: Exchange, place: Place) -> None:
    """Write to which upstream a request goes, and why."""
    index = relay.index.value
    log(
        Event.REQUEST_ROUTED,
        request=exchange.attempt_id.decode("latin-1"),
        route=exchange.found.route.name,
        team=exchange.found.team,
        rank=exchange.found.urgency.rank,
        upstream=place.record.upstream,
        sequence=place.record.sequence,
        load=place.load,
        waited_s=round(place.waited_s, 4),
        left_s=round(exchange.caller_deadline_s - relay.now(), 3),
        tried=len(exchange.tried) - 1,
        revision=0 if index is None else index.configuration.revision,
    )


def log_refused(
    relay: Relay, exchange: Exchange, reason: str, waiting: int, retry_after_s: float | None
) -> None:
    """Write why a request gets no upstream's answer."""
    log(
        Event.REQUEST_REFUSED,
        request=exchange.attempt_id.decode("latin-1"),
        route=exchange.found.route.name,
        rank=exchange.found.urgency.rank,
        status=exchange.status or 503,
        reason=reason,
        waiting=waiting,
        sent=exchange.sent,
        upstreams=relay.known().upstreams,
        retry_after_s=retry_after_s,
        came_back=exchange.came_back,
        left_s=round(exchange.caller_deadline_s - relay.now(), 3),
        held_s=round(relay.now() - exchange.request.received_s, 4),
    )


def log_without_configuration(relay: Relay, request: IncomingRequest, reason: str) -> None:
    """Write that a request came before the entry knew any configuration."""
    attempt = get_header(request.headers, relay.dialect.headers.attempt) or b""
    REQUESTS.labels("", "no-configuration").inc()
    log(
        Event.REQUEST_REFUSED,
        request=attempt.decode("latin-1"),
        status=503,
        reason=reason,
        held_s=round(relay.now() - request.received_s, 4),
    )


def log_unidentified(
    relay: Relay, request: IncomingRequest, found: Unidentified, index: Index
) -> None:
    """Write that no route or team fits a request."""
    attempt = get_header(request.headers, relay.dialect.headers.attempt) or b""
    REQUESTS.labels("", found.value).inc()
    log(
        Event.REQUEST_REFUSED,
        request=attempt.decode("latin-1"),
        reason=found.value,
        target=request.target.decode("latin-1"),
        revision=index.configuration.revision,
    )


def log_end(relay: Relay, exchange: Exchange, outcome: str) -> None:
    """Write how a request ended."""
    REQUESTS.labels(exchange.found.route.name, outcome).inc()
    cancelled = outcome == "cancelled"
    log(
        Event.REQUEST_CANCELLED if cancelled else Event.REQUEST_ANSWERED,
        request=exchange.attempt_id.decode("latin-1"),
        outcome=outcome,
        sent=exchange.sent,
        last_event=exchange.events.last_id,
        first_byte_s=None if exchange.first_byte_s is None else round(exchange.first_byte_s, 4),
        longest_pause_s=round(exchange.longest_pause_s, 4),
        took_s=round(relay.now() - exchange.request.received_s, 4),
    )
