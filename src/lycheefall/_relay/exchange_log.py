"""Log lines and metrics of one request."""

import asyncio

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.relay import UpstreamRecord
from lycheefall._operate.exposition import FIRST_BYTE_LATENCY_S, REQUESTS
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._rules.dispatch_messages import Outcome, PauseObserved, Place
from lycheefall._rules.identification import Index, Unidentified
from lycheefall._wire.http_server import IncomingRequest, unsent_bytes
from lycheefall._wire.http_upstream import get_header

# Period in which a stream reports its longest pause to the dispatcher.
PAUSE_REPORT_PERIOD_S = 0.4


def record_first_byte(exchange: Exchange) -> None:
    """Record the time to the first byte of the response."""
    delay_s = asyncio.get_running_loop().time() - exchange.request.received_s
    exchange.first_byte_s = exchange.last_event_s = delay_s
    FIRST_BYTE_LATENCY_S.labels(exchange.identified.route.name).observe(delay_s)


def record_pause(relay: Relay, exchange: Exchange) -> None:
    """Record the pause before an event, and periodically report the longest to the dispatcher."""
    since_s = relay.now() - exchange.request.received_s
    pause_s = since_s - exchange.last_event_s
    exchange.last_event_s = since_s
    exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
    exchange.recent_pause_s = max(exchange.recent_pause_s, pause_s)
    target_s = exchange.identified.route.pause_target_s
    source = exchange.answered_by
    if source is None:
        return
    relay.observe_pass(source, pause_s, target_s)
    if target_s and since_s - exchange.pause_reported_s >= PAUSE_REPORT_PERIOD_S:
        observed = PauseObserved(source.pool, source.upstream, exchange.recent_pause_s, target_s)
        relay.dispatch.offer(observed)
        exchange.recent_pause_s = 0.0
        exchange.pause_reported_s = since_s


def log_routed(relay: Relay, exchange: Exchange, place: Place) -> None:
    """Log the upstream that a request is sent to, and the basis of the decision."""
    index = relay.index.value
    log(
        Event.REQUEST_ROUTED,
        request=exchange.attempt_id.decode("latin-1"),
        route=exchange.identified.route.name,
        team=exchange.identified.team,
        rank=exchange.identified.urgency.rank,
        upstream=place.record.upstream,
        sequence=place.record.sequence,
        load=place.load,
        waited_s=round(place.waited_s, 4),
        left_s=round(exchange.caller_deadline_s - relay.now(), 3),
        tried=len(exchange.tried) - 1,
        revision=0 if index is None else index.configuration.revision,
    )


def log_attempt_ended(
    exchange: Exchange, record: UpstreamRecord, outcome: Outcome, took_s: float, detail: str
) -> None:
    """Log an attempt without an answer; a lost or revoked one with its progress."""
    progress: dict[str, object] = {}
    if outcome in (Outcome.LOST, Outcome.REVOKED):
        progress = {
            "sent": exchange.possible_runs,
            "tried": len(exchange.tried) - 1,
            "last_event": exchange.events.last_id,
            "prompt_parts": exchange.prompt_parts,
        }
    log(
        Event.ATTEMPT_ENDED,
        request=exchange.attempt_id.decode("latin-1"),
        upstream=record.upstream,
        outcome=outcome.value,
        took_s=round(took_s, 4),
        detail=detail,
        **progress,
    )


def log_refused(
    relay: Relay, exchange: Exchange, reason: str, waiting: int, retry_after_s: float | None
) -> None:
    """Log why a request is refused."""
    log(
        Event.REQUEST_REFUSED,
        request=exchange.attempt_id.decode("latin-1"),
        route=exchange.identified.route.name,
        rank=exchange.identified.urgency.rank,
        status=exchange.status or 503,
        reason=reason,
        waiting=waiting,
        sent=exchange.possible_runs,
        upstreams=relay.dispatch_snapshot().upstream_count,
        retry_after_s=retry_after_s,
        came_back=exchange.is_caller_retry,
        left_s=round(exchange.caller_deadline_s - relay.now(), 3),
        held_s=round(relay.now() - exchange.request.received_s, 4),
    )


def log_cut(relay: Relay, exchange: Exchange) -> None:
    """Log a request that a planned stop ends before its own deadline."""
    if relay.stop is None:
        return
    log(
        Event.REQUEST_CUT,
        request=exchange.attempt_id.decode("latin-1"),
        route=exchange.identified.route.name,
        # Negative for a request that came before the signal.
        received_s=round(exchange.request.received_s - relay.stop.began_s, 3),
        left_s=round(exchange.deadline_s - relay.now(), 3),
        sent=exchange.possible_runs,
        stream_begun=exchange.has_stream_begun,
        last_event=exchange.events.last_id,
        unsent_bytes=unsent_bytes(exchange.caller),
    )


def log_without_configuration(relay: Relay, request: IncomingRequest, reason: str) -> None:
    """Log a request that arrived before the first configuration."""
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
    relay: Relay, request: IncomingRequest, reason: Unidentified, index: Index
) -> None:
    """Log a request that matches no route or API key."""
    attempt = get_header(request.headers, relay.dialect.headers.attempt) or b""
    REQUESTS.labels("", reason.value).inc()
    log(
        Event.REQUEST_REFUSED,
        request=attempt.decode("latin-1"),
        reason=reason.value,
        target=request.target.decode("latin-1"),
        revision=index.configuration.revision,
    )


def log_end(relay: Relay, exchange: Exchange, outcome: str) -> None:
    """Log and count the end of a request."""
    REQUESTS.labels(exchange.identified.route.name, outcome).inc()
    cancelled = outcome == "cancelled"
    log(
        Event.REQUEST_CANCELLED if cancelled else Event.REQUEST_ANSWERED,
        request=exchange.attempt_id.decode("latin-1"),
        outcome=outcome,
        sent=exchange.possible_runs,
        last_event=exchange.events.last_id,
        first_byte_s=None if exchange.first_byte_s is None else round(exchange.first_byte_s, 4),
        longest_pause_s=round(exchange.longest_pause_s, 4),
        took_s=round(relay.now() - exchange.request.received_s, 4),
    )
