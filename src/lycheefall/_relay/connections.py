"""Idle connections to upstreams; an exchange takes one and brings it back."""

from collections import deque

from msgspec import Struct, field

from lycheefall._core.ids import UpstreamId
from lycheefall._core.relay import UpstreamRecord
from lycheefall._wire.http_upstream import (
    ExchangeError,
    FailureCause,
    UpstreamConnection,
    connect,
    discard,
    is_reusable,
    release,
)

# Machines answer within a few milliseconds; the first packet of a connection that gets lost is
# sent again only after a second.
CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_PER_UPSTREAM = 16

Start = tuple[UpstreamId, int]


class Connections(Struct, eq=False):
    """Idle connections by start of an upstream, the latest one last."""

    idle: dict[Start, deque[UpstreamConnection]] = field(default_factory=dict)


async def take(
    state: Connections, record: UpstreamRecord, may_reuse: bool, now_s: float
) -> UpstreamConnection:
    """Return a connection, a new one where no idle one is left; raise ExchangeError."""
    idle = state.idle.get(_start(record))
    while may_reuse and idle:
        connection = idle.pop()
        if is_reusable(connection, now_s):
            return connection
        discard(connection)
    if ":" not in record.address:
        raise ExchangeError(FailureCause.NOT_CONNECTED, f"{record.upstream} has no address")
    return await connect(record.address, CONNECT_TIMEOUT_S)


def give_back(
    state: Connections, record: UpstreamRecord, connection: UpstreamConnection, now_s: float
) -> None:
    """Keep a connection for the next exchange, if it can be used again."""
    if not release(connection, now_s):
        return
    idle = state.idle.setdefault(_start(record), deque())
    idle.append(connection)
    if len(idle) > MAX_IDLE_PER_UPSTREAM:
        discard(idle.popleft())


def sweep(state: Connections, now_s: float) -> None:
    """Close the connections that are too old to be used again."""
    for start, idle in list(state.idle.items()):
        kept = deque(each for each in idle if is_reusable(each, now_s))
        for connection in idle:
            if not is_reusable(connection, now_s):
                discard(connection)
        if kept:
            state.idle[start] = kept
        else:
            del state.idle[start]


def close_all(state: Connections) -> None:
    """Close all idle connections."""
    for idle in state.idle.values():
        for connection in idle:
            discard(connection)
    state.idle.clear()


def _start(record: UpstreamRecord) -> Start:
    return record.upstream, record.start_time_ms
