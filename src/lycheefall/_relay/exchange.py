"""Handle one request from its headers to the end of its response.

identify > place > send > respond.
"""

import asyncio

from lycheefall._core.messages.relay import Crash
from lycheefall._core.relay import RequestKind, UpstreamRecord
from lycheefall._operate.exposition import ATTEMPTS
from lycheefall._relay import connection_pool, headers, notices, stopping
from lycheefall._relay.exchange_log import log_attempt_ended, log_end, log_routed
from lycheefall._relay.exchange_state import Exchange, Failure, NextStep, Relay, ReportEnd
from lycheefall._relay.identify import fingerprint, identify_request
from lycheefall._relay.messages import (
    PromptGenerated,
    RequestEnded,
    SuspectedCrash,
)
from lycheefall._relay.passing import hold_or_pass_on
from lycheefall._relay.placement import request_placement
from lycheefall._relay.refusals import forward_response, give_up, time_out
from lycheefall._relay.replacement import Stall, progress_or_place
from lycheefall._relay.streams import GENERATED_DELIVERIES, forward_stream
from lycheefall._rules import byte_budget
from lycheefall._rules.byte_budget import Holding
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    FirstByte,
    Outcome,
    Place,
    Refuse,
)
from lycheefall._wire import slow_peers
from lycheefall._wire.http_server import (
    CallerConnection,
    IncomingRequest,
    RequestHandler,
    finish_response,
)
from lycheefall._wire.http_upstream import (
    ExchangeError,
    FailureCause,
    OutgoingRequest,
    ResponseHead,
    UpstreamConnection,
    discard,
    get_header,
    read_head,
    send_request,
    skip_body,
)

# Time without the first byte of a repeatable request after which another upstream is considered, as
# a multiple of the route's target and as a fraction of the remaining time.
FIRST_BYTE_STALL_RATIO = 3.0
ATTEMPT_TIME_RATIO = 0.45
# An exchange is cancelled this long after its deadline, so that a refusal or an attempt that times
# out at the deadline is handled first, with its own outcome and response.
DEADLINE_MARGIN_S = 0.02
# An upstream that refuses a request after this time was waiting for a lost rank of its group.
GROUP_STALL_S = 0.9
# Values of the priority header: ranks 0, 1 and 2 become 1, 4 and 7, and later ranks 9.
_PRIORITY_STEP = 3
_FIRST_PRIORITY = 1
_LAST_PRIORITY = 9


def request_handler(relay: Relay) -> RequestHandler:
    """Return the handler for requests from callers."""

    async def handle(request: IncomingRequest, caller: CallerConnection) -> None:
        exchange = await identify_request(relay, request, caller)
        if exchange is None:
            return
        outcome = "cancelled"
        limit = stopping.limit(relay, exchange.deadline_s + DEADLINE_MARGIN_S)
        relay.timeouts.add(limit)
        try:
            async with limit:
                await _run_attempts(relay, exchange)
            outcome = str(exchange.status)
        except TimeoutError:
            outcome = "timeout"
            await time_out(relay, exchange)
        finally:
            relay.timeouts.discard(limit)
            if exchange.failure is not None:
                byte_budget.close(relay.response_bytes, exchange.failure.holding)
            relay.dispatch.add(RequestEnded(exchange.number))
            log_end(relay, exchange, outcome)

    return handle


async def _run_attempts(relay: Relay, exchange: Exchange) -> None:
    """Send the request to upstreams in turn until one responds."""
    while True:
        placement = await request_placement(relay, exchange, exchange.deadline_s)
        if isinstance(placement, Refuse):
            await give_up(relay, exchange, placement)
            return
        result: NextStep | Place = placement
        while isinstance(result, Place):
            result = await _attempt(relay, exchange, result)
        if result is NextStep.GIVE_UP:
            await give_up(relay, exchange, None)
        if result is not NextStep.TRY_ELSEWHERE:
            return


async def _attempt(relay: Relay, exchange: Exchange, place: Place) -> NextStep | Place:
    """Send the request to one upstream and forward its response, unless it is revoked before."""
    task = asyncio.current_task()
    assert task is not None
    cancellations = task.cancelling()
    revoked = exchange.revoked
    exchange.is_revocable = True
    is_open = True
    is_cancelled = False

    def end_attempt(_: object) -> None:
        # A timeout would cancel one iteration of the event loop later, when output that arrives
        # meanwhile may already be on its way to the caller.
        nonlocal is_cancelled
        # The callback may be pending when the attempt ends and the next one begins.
        if is_open and exchange.is_revocable:
            is_cancelled = task.cancel()

    if revoked is not None:
        revoked.add_done_callback(end_attempt)
    try:
        return await _run_attempt(relay, exchange, place)
    except asyncio.CancelledError:
        if not is_cancelled or task.uncancel() > cancellations:
            raise
    finally:
        is_open = exchange.is_revocable = False
        if revoked is not None:
            revoked.remove_done_callback(end_attempt)
    # The upstream may have crashed on the prompt just before.
    await _report_possible_crash(relay, exchange, place.record)
    return _next_after_failure(exchange)


async def _run_attempt(relay: Relay, exchange: Exchange, place: Place) -> NextStep | Place:
    """Send the request to one upstream and forward its response."""
    record = place.record
    exchange.tried.append(record)
    exchange.attempt_deliveries = 0
    log_routed(relay, exchange, place)
    started_s = relay.now()
    report_end = _end_reporter(relay, exchange, record, started_s)
    try:
        connection = await connection_pool.acquire(
            relay.connections, record, exchange.is_repeatable, started_s
        )
    except ExchangeError as error:
        report_end(Outcome.NOT_CONNECTED, str(error))
        return NextStep.TRY_ELSEWHERE
    except asyncio.CancelledError:
        report_end(_outcome_of_cancellation(exchange), "")
        raise
    if not stopping.may_send(relay, exchange):
        discard(connection)
        report_end(Outcome.CANCELLED, "the entry stops")
        return NextStep.TRY_ELSEWHERE
    if not relay.may_use(record):
        discard(connection)
        report_end(Outcome.CANCELLED, "the data centre was evacuated")
        return NextStep.TRY_ELSEWHERE
    exchange.holding = Holding(end=lambda: discard(connection))
    try:
        return await _send_and_receive(relay, exchange, record, connection, report_end)
    except ExchangeError as error:
        discard(connection)
        has_ended_it = exchange.holding is not None and exchange.holding.is_ended
        detail = "no memory for the response" if has_ended_it else str(error)
        try:
            if error.cause is FailureCause.BROKEN and not has_ended_it:
                await _report_possible_crash(relay, exchange, record)
        finally:
            report_end(Outcome.LOST, detail)
        return _next_after_failure(exchange)
    except BaseException:
        discard(connection)
        report_end(_outcome_of_cancellation(exchange), "")
        raise
    finally:
        if exchange.holding is not None:
            byte_budget.close(relay.response_bytes, exchange.holding)
            exchange.holding = None


def _outcome_of_cancellation(exchange: Exchange) -> Outcome:
    is_revoked = exchange.revoked is not None and exchange.revoked.done() and exchange.is_revocable
    return Outcome.REVOKED if is_revoked else Outcome.CANCELLED


def _end_reporter(
    relay: Relay, exchange: Exchange, record: UpstreamRecord, started_s: float
) -> ReportEnd:
    """Return a function that reports the end of an attempt; only its first call has an effect."""
    is_open = True

    def report_end(outcome: Outcome, detail: str) -> None:
        nonlocal is_open
        if not is_open:
            return
        is_open = False
        # The response to the caller may follow, and nothing may replace it.
        exchange.is_revocable = False
        took_s = relay.now() - started_s
        stalled = outcome is Outcome.NOT_RUN and took_s > GROUP_STALL_S
        had_first_byte = exchange.answered_by is record
        relay.dispatch.add(
            AttemptEnded(record.pool, record.upstream, outcome, had_first_byte, stalled)
        )
        ATTEMPTS.labels(record.pool, outcome.value).inc()
        if outcome is not Outcome.ANSWERED:
            log_attempt_ended(exchange, record, outcome, took_s, detail)

    return report_end


async def _send_and_receive(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    report_end: ReportEnd,
) -> NextStep | Place:
    """Send the request, and forward the response unless another attempt has to follow."""
    names = relay.dialect.headers
    sent_s = relay.now()
    send_request(connection, _upstream_request(relay, exchange, record, sent_s))
    slow_peers.watch(relay.watched, connection.writer.transport, len(exchange.request.body))
    exchange.attempts_sent += 1
    exchange.possible_runs += 1
    try:
        async with asyncio.timeout_at(exchange.deadline_s):
            head = await _head_or_place(relay, exchange, connection, sent_s)
    except TimeoutError:
        discard(connection)
        report_end(Outcome.TIMED_OUT, "no response before the deadline")
        await time_out(relay, exchange)
        return NextStep.DONE
    if isinstance(head, Place):
        discard(connection)
        report_end(Outcome.TIMED_OUT, "no response yet, and another upstream is sooner")
        return head
    notices.report(relay.dialect.headers, relay.dispatch, record, head)
    # 421: the server at this address is not the expected upstream.
    if head.status == 421 or get_header(head.headers, names.not_run) is not None:
        await skip_body(connection)
        connection_pool.put_back(relay.connections, record, connection, relay.now())
        exchange.possible_runs -= 1
        report_end(Outcome.NOT_RUN, f"status {head.status}")
        return NextStep.TRY_ELSEWHERE
    exchange.answered_by = record
    relay.dispatch.offer(FirstByte(record.pool, record.upstream, relay.now() - sent_s))
    # Without the seal, the response may not come from the upstream itself.
    if head.status < 300 and not headers.is_sealed(names, head):
        raise ExchangeError(FailureCause.BROKEN, "the response has no seal header")
    if head.status == 200 and exchange.identified.route.kind is RequestKind.STREAMING:
        return await forward_stream(relay, exchange, record, connection, head, report_end)
    return await _forward_response(relay, exchange, record, connection, head, report_end)


async def _forward_response(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    head: ResponseHead,
    report_end: ReportEnd,
) -> NextStep:
    """Forward a response: a small one once it is complete, so that a truncated one is retried."""
    body = await hold_or_pass_on(relay, exchange, connection, head)
    connection_pool.put_back(relay.connections, record, connection, relay.now())
    if body is None:
        is_failure = head.status >= 500
        report_end(Outcome.FAILED if is_failure else Outcome.ANSWERED, f"status {head.status}")
        _report_generated(relay, exchange, head)
        await finish_response(exchange.caller)
        return NextStep.DONE
    if head.status >= 500:
        assert exchange.holding is not None
        _keep_failure(relay, exchange, Failure(head, body, exchange.holding))
        report_end(Outcome.FAILED, f"status {head.status}")
        return _next_after_failure(exchange)
    report_end(Outcome.ANSWERED, "")
    _report_generated(relay, exchange, head)
    if exchange.has_stream_begun:
        # A stream that was partly sent to the caller can't be replaced by another response.
        return NextStep.GIVE_UP
    slow_peers.watch(relay.watched, exchange.caller.writer.transport, len(body))
    await forward_response(exchange, head, body)
    return NextStep.DONE


def _report_generated(relay: Relay, exchange: Exchange, head: ResponseHead) -> None:
    if exchange.prompt_parts and head.status < 300:
        relay.dispatch.offer(PromptGenerated(exchange.number, exchange.prompt_parts))


def _keep_failure(relay: Relay, exchange: Exchange, failure: Failure) -> None:
    """Keep an error response, with its bytes, in place of an earlier one."""
    if exchange.failure is not None:
        byte_budget.close(relay.response_bytes, exchange.failure.holding)
    exchange.failure, exchange.holding = failure, None


def _upstream_request(
    relay: Relay, exchange: Exchange, record: UpstreamRecord, now_s: float
) -> OutgoingRequest:
    names = relay.dialect.headers
    remaining_ms = max(1, int((exchange.deadline_s - now_s) * 1000))
    is_stream = exchange.identified.route.kind is RequestKind.STREAMING
    sent_headers = headers.upstream_headers(
        names,
        exchange.request,
        record.upstream,
        exchange.identified.team,
        remaining_ms,
        _upstream_priority(exchange.identified.urgency.rank) if is_stream else None,
        exchange.events.last_id,
    )
    request = exchange.request
    echo = (names.attempt, exchange.attempt_id)
    return OutgoingRequest(request.method, request.target, sent_headers, request.body, echo)


def _upstream_priority(rank: int) -> int:
    return min(_LAST_PRIORITY, _FIRST_PRIORITY + _PRIORITY_STEP * rank)


async def _head_or_place(
    relay: Relay, exchange: Exchange, connection: UpstreamConnection, sent_s: float
) -> ResponseHead | Place:
    """Return the head of the response, or the upstream that replaces one without a response."""
    if not exchange.may_repeat:
        return await read_head(connection)
    stall_limit_s = exchange.identified.route.target_s * FIRST_BYTE_STALL_RATIO
    attempt_limit_s = (exchange.deadline_s - sent_s) * ATTEMPT_TIME_RATIO
    stall = Stall(sent_s, sent_s + min(stall_limit_s, attempt_limit_s))
    return await progress_or_place(relay, exchange, stall, read_head(connection))


def _next_after_failure(exchange: Exchange) -> NextStep:
    """Retry a request that may have run only if it is repeatable and has attempts left."""
    return NextStep.TRY_ELSEWHERE if exchange.may_repeat else NextStep.GIVE_UP


async def _report_possible_crash(relay: Relay, exchange: Exchange, record: UpstreamRecord) -> None:
    """Report a suspected crash of an upstream that was sent the request.

    Other entries act on a crash, so it is confirmed first where it matters to them: if the upstream
    was about to generate on a prompt, or if its group stalls without it.
    """
    is_suspect = exchange.attempt_deliveries < GENERATED_DELIVERIES
    parts = exchange.prompt_parts if is_suspect else ()
    is_refusing = False
    if parts or record.group is not None:
        pool = relay.connections
        is_refusing = await connection_pool.refuses_connections(pool, record, relay.now())
    crash = Crash(
        fingerprint(relay, exchange.request),
        record.upstream,
        record.start_time_ms,
        parts if is_refusing else (),
        is_refusing,
    )
    relay.dispatch.offer(SuspectedCrash(crash))
