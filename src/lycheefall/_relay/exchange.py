"""One request from its head to the end of its answer: identify > place > send > answer."""

import asyncio

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.messages.relay import Crash
from lycheefall._core.relay import RequestKind, UpstreamRecord
from lycheefall._operate.exposition import ATTEMPTS
from lycheefall._relay import connections, headers
from lycheefall._relay.exchange_log import log_end, log_placed
from lycheefall._relay.exchange_state import End, Exchange, Failure, Next, Relay
from lycheefall._relay.identify import fingerprint, identified
from lycheefall._relay.messages import CrashSeen, Seek, TeamDone
from lycheefall._relay.refusals import give_up, send_whole, time_out
from lycheefall._relay.streams import pass_stream
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    DispatchRequest,
    FirstByte,
    Outcome,
    Place,
    Refuse,
    Withdraw,
)
from lycheefall._wire.http_server import CallerConnection, Handle, IncomingRequest
from lycheefall._wire.http_upstream import (
    ExchangeError,
    FailureCause,
    OutgoingRequest,
    ResponseHead,
    UpstreamConnection,
    discard,
    get_header,
    read_body,
    read_head,
    send_request,
)

# A repeatable request is sent elsewhere when the first byte takes this many times the target.
FIRST_BYTE_PATIENCE = 3.0
# Part of its time that an attempt of a repeatable request may take before another one begins.
ATTEMPT_TIME_RATIO = 0.45
# Time before the end of a request's time at which a refusal still reaches its caller.
ANSWER_MARGIN_S = 0.02
# An upstream that refuses after this time waited for a rank of its group that is lost.
GROUP_STALL_S = 0.9
_RANK_STEP = 3
_FIRST_RANK = 1
_LAST_RANK = 9


def relaying(relay: Relay) -> Handle:
    """Return the handler of callers' requests."""

    async def handle(request: IncomingRequest, caller: CallerConnection) -> None:
        exchange = await identified(relay, request, caller)
        if exchange is None:
            return
        outcome = "cancelled"
        try:
            async with asyncio.timeout_at(exchange.limit_s + ANSWER_MARGIN_S):
                await _run(relay, exchange)
            outcome = str(exchange.status)
        except TimeoutError:
            outcome = "timeout"
            await time_out(relay, exchange)
        finally:
            relay.dispatch.offer(TeamDone(exchange.number))
            log_end(relay, exchange, outcome)

    return handle


async def _run(relay: Relay, exchange: Exchange) -> None:
    """Send the request to one upstream after the other until one answers."""
    while True:
        found = await _seek(relay, exchange, exchange.limit_s)
        if isinstance(found, Refuse):
            await give_up(relay, exchange, found)
            return
        result: Next | Place = found
        while isinstance(result, Place):
            result = await _attempt(relay, exchange, result)
        if result is Next.GIVE_UP:
            await give_up(relay, exchange, None)
        if result is not Next.TRY_ELSEWHERE:
            return


async def _seek(relay: Relay, exchange: Exchange, limit_s: float) -> Place | Refuse:
    """Ask for a place; the dispatcher lets the request wait or refuses it."""
    found: asyncio.Future[Place | Refuse] = asyncio.get_running_loop().create_future()
    # A stream that has begun is as urgent as one that just arrived: its caller waits mid-answer.
    since_s = relay.now() if exchange.has_begun else exchange.request.received_s
    is_late = exchange.came_back and not exchange.has_begun
    request = DispatchRequest(
        number=exchange.number,
        pool=exchange.found.pool,
        kind=exchange.found.route.kind,
        urgency=exchange.found.urgency,
        team=exchange.found.team,
        arrived_s=since_s,
        target_s=since_s + (0.0 if is_late else exchange.found.route.target_s),
        deadline_s=limit_s,
        tried=tuple(each.upstream for each in exchange.tried),
        is_retry=exchange.arrivals > 0,
    )
    await relay.dispatch.put(Seek(request, found))
    try:
        return await found
    except asyncio.CancelledError:
        relay.dispatch.offer(Withdraw(exchange.number))
        raise


async def _attempt(relay: Relay, exchange: Exchange, place: Place) -> Next | Place:
    """Send the request to one upstream and pass its answer on."""
    record = place.record
    exchange.tried.append(record)
    log_placed(relay, exchange, place)
    started_s = relay.now()
    ended = _ending(relay, exchange, record, started_s)
    try:
        connection = await connections.take(
            relay.connections, record, exchange.is_repeatable, started_s
        )
    except ExchangeError as error:
        ended(Outcome.NOT_CONNECTED, str(error))
        return Next.TRY_ELSEWHERE
    except asyncio.CancelledError:
        ended(Outcome.CANCELLED, "")
        raise
    try:
        return await _exchange(relay, exchange, record, connection, ended)
    except ExchangeError as error:
        discard(connection)
        _note_crash(relay, exchange, record, error)
        ended(Outcome.LOST, str(error))
        return _after_loss(exchange)
    except BaseException:
        discard(connection)
        ended(Outcome.CANCELLED, "")
        raise


def _ending(relay: Relay, exchange: Exchange, record: UpstreamRecord, started_s: float) -> End:
    """Return the function that reports the end of an attempt, once."""
    is_open = True

    def end(outcome: Outcome, detail: str) -> None:
        nonlocal is_open
        if not is_open:
            return
        is_open = False
        took_s = relay.now() - started_s
        stalled = outcome is Outcome.NOT_RUN and took_s > GROUP_STALL_S
        had_answered = exchange.answered_by is record
        relay.dispatch.offer(
            AttemptEnded(record.pool, record.upstream, outcome, had_answered, stalled)
        )
        ATTEMPTS.labels(record.pool, outcome.value).inc()
        if outcome is not Outcome.ANSWERED:
            log(
                Event.ATTEMPT_ENDED,
                request=exchange.attempt_id.decode("latin-1"),
                upstream=record.upstream,
                outcome=outcome.value,
                took_s=round(took_s, 4),
                detail=detail,
            )

    return end


async def _exchange(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    ended: End,
) -> Next | Place:
    names = relay.dialect.headers
    sent_s = relay.now()
    send_request(connection, _outgoing(relay, exchange, record, sent_s))
    exchange.arrivals += 1
    exchange.sent += 1
    try:
        async with asyncio.timeout_at(_first_byte_limit_s(exchange, sent_s)):
            head = await read_head(connection)
    except TimeoutError:
        discard(connection)
        ended(Outcome.TIMED_OUT, "no answer began in time")
        if relay.now() >= exchange.limit_s:
            await time_out(relay, exchange)
            return Next.DONE
        return _after_loss(exchange)
    if head.status == 421 or get_header(head.headers, names.not_run) is not None:
        await read_body(connection)
        connections.give_back(relay.connections, record, connection, relay.now())
        exchange.sent -= 1
        ended(Outcome.NOT_RUN, f"status {head.status}")
        return Next.TRY_ELSEWHERE
    exchange.answered_by = record
    relay.dispatch.offer(FirstByte(record.pool, record.upstream, relay.now() - sent_s))
    if head.status < 300 and get_header(head.headers, names.seal) is None:
        raise ExchangeError(FailureCause.BROKEN, "the answer has no seal")
    if head.status == 200 and exchange.found.route.kind is RequestKind.STREAMING:
        return await pass_stream(relay, exchange, record, connection, head, ended, _seek)
    return await _pass_whole(relay, exchange, record, connection, head, ended)


async def _pass_whole(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    head: ResponseHead,
    ended: End,
) -> Next:
    """Pass an answer on once it is complete, so that a truncated one can be asked for again."""
    body = await read_body(connection)
    connections.give_back(relay.connections, record, connection, relay.now())
    if head.status >= 500:
        exchange.failure = Failure(head, body)
        ended(Outcome.FAILED, f"status {head.status}")
        return _after_loss(exchange)
    ended(Outcome.ANSWERED, "")
    if exchange.has_begun:
        # A resumed stream can't become another answer.
        return Next.GIVE_UP
    await send_whole(exchange, head, body)
    return Next.DONE


def _outgoing(
    relay: Relay, exchange: Exchange, record: UpstreamRecord, now_s: float
) -> OutgoingRequest:
    names = relay.dialect.headers
    left_ms = max(1, int((exchange.limit_s - now_s) * 1000))
    is_stream = exchange.found.route.kind is RequestKind.STREAMING
    sent = headers.to_upstream(
        names,
        exchange.request,
        record.upstream,
        exchange.found.team,
        left_ms,
        _rank_at_upstream(exchange.found.urgency.rank) if is_stream else None,
        exchange.events.last_id,
    )
    request = exchange.request
    echo = (names.attempt, exchange.attempt_id)
    return OutgoingRequest(request.method, request.target, sent, request.body, echo)


def _rank_at_upstream(rank: int) -> int:
    return min(_LAST_RANK, _FIRST_RANK + _RANK_STEP * rank)


def _first_byte_limit_s(exchange: Exchange, sent_s: float) -> float:
    """Return until when an answer has to begin before the request is sent elsewhere."""
    if not exchange.may_repeat:
        return exchange.limit_s
    patience_s = exchange.found.route.target_s * FIRST_BYTE_PATIENCE
    share_s = (exchange.limit_s - sent_s) * ATTEMPT_TIME_RATIO
    return min(exchange.limit_s, sent_s + min(patience_s, share_s))


def _after_loss(exchange: Exchange) -> Next:
    """Go on where a second run does no harm; the first one may have run."""
    return Next.TRY_ELSEWHERE if exchange.may_repeat else Next.GIVE_UP


def _note_crash(
    relay: Relay, exchange: Exchange, record: UpstreamRecord, error: ExchangeError
) -> None:
    """Report a connection that ended under a request that was sent."""
    if error.cause is FailureCause.BROKEN:
        found = fingerprint(relay, exchange.request)
        relay.dispatch.offer(CrashSeen(Crash(found, record.upstream, record.start_time_ms)))
