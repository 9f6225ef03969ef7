"""One request from its head to the end of its answer: identify > place > send > answer."""

import asyncio
from collections.abc import Callable, Iterator
from enum import Enum
from random import Random

import xxhash
from msgspec import Struct, field

from lycheefall._core.dialect import Dialect
from lycheefall._core.events import Event
from lycheefall._core.ids import Fingerprint, RouteId
from lycheefall._core.log import log
from lycheefall._core.messages.relay import Crash
from lycheefall._core.pipeline import Inbox
from lycheefall._core.relay import RequestKind, UpstreamRecord
from lycheefall._operate.exposition import ATTEMPTS, LATENCY_S, REQUESTS
from lycheefall._relay import connections, headers
from lycheefall._relay.connections import Connections
from lycheefall._relay.dispatch import Known
from lycheefall._relay.messages import CrashSeen, Seek, TeamDone, ToDispatch
from lycheefall._rules import event_stream
from lycheefall._rules.dispatch_messages import (
    Ask,
    Ended,
    FirstByte,
    Outcome,
    PauseSeen,
    Place,
    RefusalReason,
    Refuse,
    Withdraw,
)
from lycheefall._rules.event_stream import Events
from lycheefall._rules.identification import Identified, Index, Unidentified, identify
from lycheefall._wire.http_front import (
    Caller,
    Handle,
    Headers,
    IncomingRequest,
    answer,
    begin_answer,
    finish_answer,
    send_data,
)
from lycheefall._wire.http_upstream import (
    AnswerHead,
    ExchangeLost,
    Loss,
    OutgoingRequest,
    UpstreamConnection,
    discard,
    header_of,
    read_data,
    read_head,
    read_rest,
    send_request,
)

# A repeatable request is sent elsewhere when the first byte takes this many times the target.
FIRST_BYTE_PATIENCE = 3.0
# First tries of one route differ in their time by less than this; a shorter one is a retry.
RETURNED_RATIO = 0.83
# Part of its time that an attempt of a repeatable request may take before another one begins.
ATTEMPT_TIME_RATIO = 0.45
# A stream that pauses this long is taken over by another upstream where one has a place. Callers
# give up after 2 s, and a new run needs some hundred milliseconds until its first event.
STREAM_SILENCE_S = 0.8
# A stream tells the dispatcher its longest pause this often.
PAUSE_PERIOD_S = 0.4
# A stream in the middle waits this long at most for a place elsewhere.
RESUME_WAIT_S = 0.4
# Time before the end of a request's time at which a refusal still reaches its caller.
ANSWER_MARGIN_S = 0.02
# An upstream that refuses after this time waited for a rank of its group that is lost.
GROUP_STALL_S = 0.9
_RANK_STEP = 3
_FIRST_RANK = 1
_LAST_RANK = 9


class Relay(Struct, eq=False, kw_only=True):
    """What the requests of an entry share."""

    dialect: Dialect
    # None before the first configuration.
    index: Callable[[], Index | None]
    known: Callable[[], Known]
    dispatch: Inbox[ToDispatch]
    connections: Connections
    # Takes the pauses of streams, which tell the coordinator of expert maps how long passes are.
    note_pass: Callable[[UpstreamRecord, float, float], None]
    now: Callable[[], float]
    numbers: Iterator[int]
    random: Random
    # The longest time that callers of a route gave.
    longest_s: dict[RouteId, float] = field(default_factory=dict)


class Next(Enum):
    """What follows an attempt."""

    DONE = "done"
    TRY_ELSEWHERE = "try-elsewhere"
    GIVE_UP = "give-up"


class Failure(Struct, frozen=True):
    """An upstream's own failure, kept in case nothing better comes."""

    head: AnswerHead
    body: bytes


class Exchange(Struct, eq=False, kw_only=True):
    """A request and what was done for it so far."""

    number: int
    request: IncomingRequest
    caller: Caller
    found: Identified
    attempt_id: bytes
    # The caller's own limit and the earlier one of caller and route.
    caller_deadline_s: float
    limit_s: float
    # The caller has used up a good part of its time before, so its target has passed.
    came_back: bool
    tried: list[UpstreamRecord] = field(default_factory=list)
    # The latest one whose answer began.
    answered_by: UpstreamRecord | None = None
    # Upstreams that it reached, or may have reached.
    arrivals: int = 0
    # Those of them that may have run it.
    sent: int = 0
    failure: Failure | None = None
    events: Events = field(default_factory=Events)
    has_begun: bool = False
    status: int = 0
    # Times after the head of the request: of the first byte of the answer and of the last event.
    first_byte_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    # The same since the dispatcher was told.
    recent_pause_s: float = 0.0
    pause_told_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Tell whether more than one run does no harm."""
        route = self.found.route
        if route.kind is RequestKind.STREAMING:
            return route.resumable
        return route.kind is RequestKind.IDEMPOTENT


def relaying(relay: Relay) -> Handle:
    """Return the handler of callers' requests."""

    async def handle(request: IncomingRequest, caller: Caller) -> None:
        exchange = await _identified(relay, request, caller)
        if exchange is None:
            return
        outcome = "cancelled"
        try:
            async with asyncio.timeout_at(exchange.limit_s + ANSWER_MARGIN_S):
                await _run(relay, exchange)
            outcome = str(exchange.status)
        except TimeoutError:
            outcome = "timeout"
            await _time_out(relay, exchange)
        finally:
            relay.dispatch.offer(TeamDone(exchange.number))
            _log_end(relay, exchange, outcome)

    return handle


async def _identified(relay: Relay, request: IncomingRequest, caller: Caller) -> Exchange | None:
    """Return the exchange of a request, or answer at once."""
    names = relay.dialect.headers
    index = relay.index()
    if index is None:
        await _refuse(relay, caller, 503, "no configuration yet", 1.0)
        return None
    key = header_of(request.headers, names.key)
    found = identify(
        index,
        (header_of(request.headers, b"host") or b"").decode("latin-1"),
        request.target.partition(b"?")[0].decode("latin-1"),
        None if key is None else key.decode("latin-1"),
        relay.random.random(),
    )
    if isinstance(found, Unidentified):
        status = 404 if found is Unidentified.NO_ROUTE else 401
        _log_unidentified(relay, request, found, index)
        await _refuse(relay, caller, status, found.value, None)
        return None
    left_ms = headers.number_of(header_of(request.headers, names.deadline_ms))
    timeout_s = found.route.timeout_s
    left_s = timeout_s if left_ms is None else left_ms / 1000
    longest_s = relay.longest_s[found.route.name] = max(
        left_s, relay.longest_s.get(found.route.name, 0.0)
    )
    came_back = left_s < longest_s * RETURNED_RATIO
    exchange = Exchange(
        number=next(relay.numbers),
        request=request,
        caller=caller,
        found=found,
        attempt_id=header_of(request.headers, names.attempt) or b"",
        caller_deadline_s=request.received_s + left_s,
        limit_s=request.received_s + min(left_s, timeout_s),
        came_back=came_back,
    )
    refused = relay.known().refused
    if refused and _fingerprint(relay, request) in refused:
        _log_refused(relay, exchange, "crashes upstreams", 0, None)
        await _refuse(relay, caller, 503, "the request crashed several upstreams", None)
        return None
    return exchange


async def _run(relay: Relay, exchange: Exchange) -> None:
    """Send the request to one upstream after the other until one answers."""
    while True:
        found = await _seek(relay, exchange, exchange.limit_s)
        if isinstance(found, Refuse):
            await _give_up(relay, exchange, found)
            return
        match await _attempt(relay, exchange, found):
            case Next.DONE:
                return
            case Next.GIVE_UP:
                await _give_up(relay, exchange, None)
                return
            case Next.TRY_ELSEWHERE:
                continue


async def _seek(relay: Relay, exchange: Exchange, limit_s: float) -> Place | Refuse:
    """Ask for a place; the dispatcher lets the request wait or refuses it."""
    found: asyncio.Future[Place | Refuse] = asyncio.get_running_loop().create_future()
    # A stream that has begun is as urgent as one that just arrived: its caller waits mid-answer.
    since_s = relay.now() if exchange.has_begun else exchange.request.received_s
    is_late = exchange.came_back and not exchange.has_begun
    request = Ask(
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


async def _attempt(relay: Relay, exchange: Exchange, place: Place) -> Next:
    """Send the request to one upstream and pass its answer on."""
    record = place.record
    exchange.tried.append(record)
    _log_placed(relay, exchange, place)
    started_s = relay.now()
    ended = _ending(relay, exchange, record, started_s)
    try:
        connection = await connections.take(
            relay.connections, record, exchange.is_repeatable, started_s
        )
    except ExchangeLost as error:
        ended(Outcome.NOT_CONNECTED, str(error))
        return Next.TRY_ELSEWHERE
    except asyncio.CancelledError:
        ended(Outcome.CANCELLED, "")
        raise
    try:
        return await _exchange(relay, exchange, record, connection, ended)
    except ExchangeLost as error:
        discard(connection)
        _note_crash(relay, exchange, record, error)
        ended(Outcome.LOST, str(error))
        return _after_loss(exchange)
    except BaseException:
        discard(connection)
        ended(Outcome.CANCELLED, "")
        raise


End = Callable[[Outcome, str], None]


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
        relay.dispatch.offer(Ended(record.pool, record.upstream, outcome, had_answered, stalled))
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
) -> Next:
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
            await _time_out(relay, exchange)
            return Next.DONE
        return _after_loss(exchange)
    if head.status == 421 or header_of(head.headers, names.not_run) is not None:
        await read_rest(connection)
        connections.give_back(relay.connections, record, connection, relay.now())
        exchange.sent -= 1
        ended(Outcome.NOT_RUN, f"status {head.status}")
        return Next.TRY_ELSEWHERE
    exchange.answered_by = record
    relay.dispatch.offer(FirstByte(record.pool, record.upstream, relay.now() - sent_s))
    if head.status < 300 and header_of(head.headers, names.seal) is None:
        raise ExchangeLost(Loss.BROKEN, "the answer has no seal")
    if head.status == 200 and exchange.found.route.kind is RequestKind.STREAMING:
        return await _pass_stream(relay, exchange, record, connection, head, ended)
    return await _pass_whole(relay, exchange, record, connection, head, ended)


async def _pass_whole(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    head: AnswerHead,
    ended: End,
) -> Next:
    """Pass an answer on once it is complete, so that a truncated one can be asked for again."""
    body = await read_rest(connection)
    connections.give_back(relay.connections, record, connection, relay.now())
    if head.status >= 500:
        exchange.failure = Failure(head, body)
        ended(Outcome.FAILED, f"status {head.status}")
        return Next.TRY_ELSEWHERE if _may_repeat(exchange) else Next.GIVE_UP
    ended(Outcome.ANSWERED, "")
    if exchange.has_begun:
        # A resumed stream can't become another answer.
        return Next.GIVE_UP
    await _send_whole(exchange, head, body)
    return Next.DONE


async def _pass_stream(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    head: AnswerHead,
    ended: End,
) -> Next:
    """Pass whole events on as they come; a broken run is continued by another upstream."""
    event_stream.drop_rest(exchange.events)
    may_move = True
    while True:
        try:
            async with asyncio.timeout(STREAM_SILENCE_S):
                data = await read_data(connection)
        except TimeoutError:
            if not may_move or not _may_repeat(exchange):
                continue
            moved = await _move_stream(relay, exchange)
            if moved is None:
                may_move = False
                continue
            discard(connection)
            ended(Outcome.TIMED_OUT, "the stream paused")
            return await _attempt(relay, exchange, moved)
        if data is None:
            break
        events = event_stream.take(exchange.events, data)
        if events:
            await _send_events(relay, exchange, head, events)
    if exchange.events.rest:
        raise ExchangeLost(Loss.BROKEN, "the stream ended within an event")
    connections.give_back(relay.connections, record, connection, relay.now())
    ended(Outcome.ANSWERED, "")
    await _send_events(relay, exchange, head, b"")
    await finish_answer(exchange.caller)
    exchange.status = head.status
    return Next.DONE


async def _move_stream(relay: Relay, exchange: Exchange) -> Place | None:
    """Return a place at another upstream for a stream that pauses, if there is one soon."""
    limit_s = min(exchange.limit_s, relay.now() + RESUME_WAIT_S)
    found = await _seek(relay, exchange, limit_s)
    if isinstance(found, Refuse):
        return None
    log(
        Event.STREAM_RESUMED,
        request=exchange.attempt_id.decode("latin-1"),
        upstream=found.record.upstream,
        after_event=exchange.events.last_id,
    )
    return found


async def _send_events(relay: Relay, exchange: Exchange, head: AnswerHead, events: bytes) -> None:
    if not exchange.has_begun:
        exchange.has_begun = True
        exchange.status = head.status
        _measure(exchange)
        await begin_answer(
            exchange.caller, head.status, head.reason, headers.to_caller_of_stream(head)
        )
    elif events:
        _measure_pause(relay, exchange)
    await send_data(exchange.caller, events)


async def _send_whole(exchange: Exchange, head: AnswerHead, body: bytes) -> None:
    exchange.status = head.status
    _measure(exchange)
    caller = exchange.caller
    sent = headers.to_caller(head, exchange.request.method, body)
    await begin_answer(caller, head.status, head.reason, sent)
    if exchange.request.method != b"HEAD":
        await send_data(caller, body)
    await finish_answer(caller)


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
    if not _may_repeat(exchange):
        return exchange.limit_s
    patience_s = exchange.found.route.target_s * FIRST_BYTE_PATIENCE
    share_s = (exchange.limit_s - sent_s) * ATTEMPT_TIME_RATIO
    return min(exchange.limit_s, sent_s + min(patience_s, share_s))


def _may_repeat(exchange: Exchange) -> bool:
    return exchange.is_repeatable and exchange.sent < exchange.found.route.max_attempts


def _after_loss(exchange: Exchange) -> Next:
    """Go on where a second run does no harm; the first one may have run."""
    return Next.TRY_ELSEWHERE if _may_repeat(exchange) else Next.GIVE_UP


async def _give_up(relay: Relay, exchange: Exchange, refusal: Refuse | None) -> None:
    """Answer at once with what is known: an upstream's failure, a promise, or neither."""
    if exchange.has_begun:
        exchange.status = 0
        return
    if exchange.failure is not None:
        await _send_whole(exchange, exchange.failure.head, exchange.failure.body)
        return
    exchange.status = 502 if exchange.sent > 0 else 503
    reason = RefusalReason.ALL_TRIED.value if refusal is None else refusal.reason.value
    retry_after_s = None if refusal is None or exchange.sent else refusal.retry_after_s
    waiting = 0 if refusal is None else refusal.waiting
    _log_refused(relay, exchange, reason, waiting, retry_after_s)
    await _refuse(relay, exchange.caller, exchange.status, reason, retry_after_s)


async def _time_out(relay: Relay, exchange: Exchange) -> None:
    if exchange.has_begun or exchange.caller.has_left:
        return
    exchange.status = 504 if exchange.sent > 0 else 503
    _log_refused(relay, exchange, "its time is over", 0, None)
    await _refuse(relay, exchange.caller, exchange.status, "the time is over", None)


async def _refuse(
    relay: Relay, caller: Caller, status: int, reason: str, retry_after_s: float | None
) -> None:
    extra: Headers = ()
    if retry_after_s is not None:
        extra = ((relay.dialect.headers.retry_after, f"{retry_after_s:g}".encode()),)
    await answer(
        caller,
        status,
        ((b"Content-Type", b"application/json"), *extra),
        relay.dialect.encode_error(reason),
    )


def _fingerprint(relay: Relay, request: IncomingRequest) -> Fingerprint:
    """Return what identifies a request that is sent again: path, caller and body."""
    key = header_of(request.headers, relay.dialect.headers.key) or b""
    digest = xxhash.xxh3_64(request.target)
    digest.update(b"\0" + key + b"\0" + request.body)
    return Fingerprint(digest.hexdigest())


def _note_crash(
    relay: Relay, exchange: Exchange, record: UpstreamRecord, error: ExchangeLost
) -> None:
    """Report a connection that ended under a request that was sent."""
    if error.loss is Loss.BROKEN:
        fingerprint = _fingerprint(relay, exchange.request)
        relay.dispatch.offer(CrashSeen(Crash(fingerprint, record.upstream, record.born_ms)))


def _measure(exchange: Exchange) -> None:
    delay_s = asyncio.get_running_loop().time() - exchange.request.received_s
    exchange.first_byte_s = exchange.last_event_s = delay_s
    LATENCY_S.labels(exchange.found.route.name).observe(delay_s)


def _measure_pause(relay: Relay, exchange: Exchange) -> None:
    """Note a pause, and tell the dispatcher of the longest one from time to time."""
    since_s = relay.now() - exchange.request.received_s
    pause_s = since_s - exchange.last_event_s
    exchange.last_event_s = since_s
    exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
    if exchange.answered_by is not None:
        relay.note_pass(exchange.answered_by, pause_s, exchange.found.route.pause_target_s)
    exchange.recent_pause_s = max(exchange.recent_pause_s, pause_s)
    target_s = exchange.found.route.pause_target_s
    source = exchange.answered_by
    if source is not None and target_s and since_s - exchange.pause_told_s >= PAUSE_PERIOD_S:
        told = PauseSeen(source.pool, source.upstream, exchange.recent_pause_s, target_s)
        relay.dispatch.offer(told)
        exchange.recent_pause_s = 0.0
        exchange.pause_told_s = since_s


def _log_placed(relay: Relay, exchange: Exchange, place: Place) -> None:
    index = relay.index()
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
        revision=0 if index is None else index.configuration.number,
    )


def _log_refused(
    relay: Relay, exchange: Exchange, reason: str, waiting: int, retry_after_s: float | None
) -> None:
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
        held_s=round(relay.now() - exchange.request.received_s, 4),
    )


def _log_unidentified(
    relay: Relay, request: IncomingRequest, found: Unidentified, index: Index
) -> None:
    attempt = header_of(request.headers, relay.dialect.headers.attempt) or b""
    REQUESTS.labels("", found.value).inc()
    log(
        Event.REQUEST_REFUSED,
        request=attempt.decode("latin-1"),
        reason=found.value,
        target=request.target.decode("latin-1"),
        revision=index.configuration.number,
    )


def _log_end(relay: Relay, exchange: Exchange, outcome: str) -> None:
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
