"""Resumable streams: which tokens an entry delivers to the caller, and when a stream ends.

After a lost attempt, the next one continues after the tokens that were delivered. The position of
each frame in the answer ensures that no token is delivered twice or skipped.
"""

from enum import Enum

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import AttemptNumber, RequestId
from lycheefall._core.messages.dispatch import Finished, Frame


class DropReason(Enum):
    """Reason why a message of a stream was dropped."""

    OTHER_REQUEST = "other-request"
    # It belongs to an earlier attempt, or to one that has ended.
    OTHER_ATTEMPT = "other-attempt"
    # All tokens of the frame were delivered before.
    DELIVERED_BEFORE = "delivered-before"


class EndReason(Enum):
    """Reason why an attempt ended before its stream."""

    LOST = "lost"
    # A frame is missing.
    GAP = "gap"
    # The final token count differs from the number of tokens that were delivered.
    COUNT_DIFFERS = "count-differs"
    # The agent reported an error.
    FAILED = "failed"


class AttemptLost(Struct, frozen=True):
    """The upstream, its agent or the connection to it was lost."""

    attempt: AttemptNumber


class AttemptBegun(Struct, frozen=True):
    """A new attempt was dispatched with the tokens to resume from."""

    attempt: AttemptNumber


class Deliver(Struct, frozen=True):
    """Send tokens to the caller; `index` is the position of the first token in the answer."""

    index: int
    tokens: tuple[str, ...]


class Dropped(Struct, frozen=True):
    """A message was dropped."""

    reason: DropReason


class AttemptEnded(Struct, frozen=True):
    """Cancel the attempt and resume after these tokens elsewhere, within the retry budget."""

    attempt: AttemptNumber
    reason: EndReason
    resume_tokens: tuple[str, ...]
    finished: Finished | None = None


class Completed(Struct, frozen=True):
    """The complete answer was delivered to the caller."""

    finished: Finished


Message = Frame | Finished | AttemptLost | AttemptBegun
Effect = Deliver | Dropped | AttemptEnded | Completed


class StreamState(Struct):
    """State of one stream; `open` is false after a lost attempt until the next, and at the end."""

    request: RequestId
    attempt: AttemptNumber
    open: bool = True
    delivered: list[str] = field(default_factory=list)


def initial(request: RequestId, attempt: AttemptNumber) -> StreamState:
    """Return the initial state of a stream, at its first dispatch."""
    return StreamState(request, attempt)


def step(state: StreamState, message: Message, now_s: float) -> tuple[StreamState, list[Effect]]:
    """Process one message of a stream and return the resulting effects."""
    match message:
        case Frame() | Finished():
            return state, [_received(state, message)]
        case AttemptLost():
            if state.open and message.attempt == state.attempt:
                return state, [_end_attempt(state, EndReason.LOST)]
        case AttemptBegun():
            if message.attempt > state.attempt:
                state.attempt = message.attempt
                state.open = True
    return state, []


def _received(state: StreamState, message: Frame | Finished) -> Effect:
    if message.request != state.request:
        return Dropped(DropReason.OTHER_REQUEST)
    if message.attempt != state.attempt or not state.open:
        return Dropped(DropReason.OTHER_ATTEMPT)
    if isinstance(message, Frame):
        return _frame(state, message)
    return _finished(state, message)


def _frame(state: StreamState, frame: Frame) -> Effect:
    index = len(state.delivered)
    if frame.sequence > index:
        return _end_attempt(state, EndReason.GAP)
    tokens = frame.tokens[index - frame.sequence :]
    if not tokens:
        return Dropped(DropReason.DELIVERED_BEFORE)
    state.delivered.extend(tokens)
    return Deliver(index, tokens)


def _finished(state: StreamState, finished: Finished) -> Effect:
    if finished.code is not ResultCode.OK:
        return _end_attempt(state, EndReason.FAILED, finished)
    if finished.token_count != len(state.delivered):
        return _end_attempt(state, EndReason.COUNT_DIFFERS)
    state.open = False
    return Completed(finished)


def _end_attempt(
    state: StreamState, reason: EndReason, finished: Finished | None = None
) -> AttemptEnded:
    state.open = False
    return AttemptEnded(state.attempt, reason, tuple(state.delivered), finished)
