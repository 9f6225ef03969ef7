"""Hold requests until the upstreams of their route have room."""

from msgspec import Struct

from lycheefall._core.messages.entry import Abandon, FromQueue, Run, Submit, ToQueue


class QueueState(Struct):
    """Requests that wait."""


def step_queue(
    state: QueueState, message: ToQueue, now_s: float
) -> tuple[QueueState, list[FromQueue]]:
    """Apply one message to the queue."""
    if isinstance(message, Submit):
        return state, [Run(message.call)]
    if isinstance(message, Abandon):
        return state, [message]
    return state, []
