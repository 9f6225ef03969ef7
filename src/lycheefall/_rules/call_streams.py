"""Streams of calls: the start of an attempt, and flow control for its frames."""

from lycheefall._core.messages.dispatch import Credit
from lycheefall._core.messages.entry import FramesRead, FromDispatch, ToLink
from lycheefall._rules import streams
from lycheefall._rules.call_state import Call, CallsState


def begin_stream(call: Call, now_s: float) -> None:
    """Make the current attempt the only source of frames for the stream."""
    if call.stream is None:
        call.stream = streams.initial(call.caller_request.request, call.attempt)
    else:
        streams.step(call.stream, streams.AttemptBegun(call.attempt), now_s)


def grant_credit(state: CallsState, read: FramesRead) -> list[FromDispatch]:
    """Grant the agent credit for the frames that the caller has read."""
    call = state.calls.get(read.request)
    if call is None:
        return []
    call.unread_frames -= read.frames
    if call.slot_key is None:
        return []
    return [ToLink(call.upstream, Credit(read.request, call.attempt, read.frames))]
