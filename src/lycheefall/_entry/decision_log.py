"""Log each routing decision of an entry in one line, and count it."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.messages.dispatch import Cancel, Dispatch
from lycheefall._core.messages.entry import DispatchClaimed, ReplyEnd, SendHedge, ToLink
from lycheefall._operate.metrics import IncrementCounter


def log_link_message(message: ToLink, count: IncrementCounter) -> None:
    """Log the dispatch or cancellation of an attempt."""
    sent = message.message
    if isinstance(sent, Dispatch):
        _log_dispatch(message, sent, count)
    elif isinstance(sent, Cancel):
        count("cancels", 1)
        log(
            Event.REQUEST_CANCELLED,
            request=sent.request,
            attempt=sent.attempt,
            upstream=message.upstream,
        )


def _log_dispatch(message: ToLink, dispatch: Dispatch, count: IncrementCounter) -> None:
    event = _dispatch_event(dispatch)
    count(f"attempts.{event.name.lower()}", 1)
    log(
        event,
        request=dispatch.request,
        attempt=dispatch.attempt,
        upstream=message.upstream,
        priority=dispatch.priority,
        kind=dispatch.kind.value,
        resumed_tokens=len(dispatch.resume_tokens),
        alone=dispatch.isolated,
    )


def log_hedge(hedge: SendHedge, count: IncrementCounter) -> None:
    """Log the hedged attempt of a lookup."""
    sent = hedge.link.message
    assert isinstance(sent, Dispatch)
    count("attempts.request_hedged", 1)
    log(
        Event.REQUEST_HEDGED,
        request=sent.request,
        attempt=sent.attempt,
        upstream=hedge.link.upstream,
        first=hedge.first,
        after_s=round(hedge.after_s, 4),
        priority=sent.priority,
    )


def _dispatch_event(dispatch: Dispatch) -> Event:
    if dispatch.resume_tokens:
        return Event.STREAM_RESUMED
    return Event.REQUEST_ROUTED if dispatch.attempt == 1 else Event.ATTEMPT_RETRIED


def log_claim(claimed: DispatchClaimed, count: IncrementCounter) -> None:
    """Log a committed claim."""
    event = Event.CLAIM_GRANTED if claimed.attempt == 1 else Event.CLAIM_REASSIGNED
    count(f"claims.{event.name.lower()}", 1)
    log(
        event,
        request=claimed.request,
        key=claimed.token.key,
        team=claimed.token.team,
        attempt=claimed.attempt,
        upstream=claimed.upstream,
    )


def log_end(end: ReplyEnd, count: IncrementCounter) -> None:
    """Log the end of a request."""
    count(f"answers.{int(end.code)}", 1)
    log(
        _end_event(end.code),
        request=end.request,
        code=int(end.code),
        upstream=end.upstream,
        attempts=end.attempts,
        detail=end.detail,
    )


def _end_event(code: ResultCode) -> Event:
    if code is ResultCode.REPLAYED:
        return Event.CLAIM_REPLAYED
    if code is ResultCode.FINGERPRINT_REFUSED:
        return Event.FINGERPRINT_REFUSED
    return Event.REQUEST_REFUSED if code >= ResultCode.BAD_JSON else Event.REQUEST_ANSWERED
