"""Streams of calls: where an attempt begins and what its agent may send."""

from lycheefall._core.messages.dispatch import Credit
from lycheefall._core.messages.entry import FramesRead, FromDispatch, ToLink
from lycheefall._rules import streams
from lycheefall._rules.call_state import Call, CallsState


def begin_stream(call: Call, now_s: float) -> None:
    """Note the attempt whose frames count from now on."""
    if call.stream is None:
        call.stream = streams.initial(call.call.request, call.attempt)
    else:
        streams.step(call.stream, streams.AttemptBegun(call.attempt), now_s)


def grant_credit(state: CallsState, read: FramesRead) -> list[FromDispatch]:
    """Let the agent send as many more frames as the caller has taken."""
    call = state.calls.get(read.request)
    if call is None:
        return []
    call.unread_frames -= read.frames
    if call.occupied is None:
        return []
    return [ToLink(call.upstream, Credit(read.request, call.attempt, read.frames))]
