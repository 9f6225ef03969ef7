"""Pool of idle connections to upstreams."""

import asyncio
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

# Hosts accept a connection within a few milliseconds, but a lost SYN packet is retransmitted only
# after 1 s.
CONNECT_TIMEOUT_S = 0.4
# A host without a listener refuses within a round trip; retries wait for the result of a check.
CHECK_TIMEOUT_S = 0.1
MAX_IDLE_PER_UPSTREAM = 16
# Time for which the result of a check is reused: a crash breaks many connections at once.
CHECK_REUSE_S = 0.5

# An upstream and its start time in ms; a restarted upstream may keep its id.
PoolKey = tuple[UpstreamId, int]


class _Check(Struct):
    """A connection that shows whether an upstream still listens."""

    started_s: float
    is_refused: asyncio.Future[bool]


class ConnectionPool(Struct, eq=False):
    """Idle connections to each start of an upstream, most recently used last."""

    idle_by_key: dict[PoolKey, deque[UpstreamConnection]] = field(default_factory=dict)
    checks: dict[PoolKey, _Check] = field(default_factory=dict)


async def acquire(
    state: ConnectionPool, record: UpstreamRecord, may_reuse: bool, now_s: float
) -> UpstreamConnection:
    """Return an idle connection or open one; raise ExchangeError if that fails.

    Without `may_reuse`, the connection is always a new one.
    """
    idle = state.idle_by_key.get(_pool_key(record))
    while may_reuse and idle:
        connection = idle.pop()
        if is_reusable(connection, now_s):
            return connection
        discard(connection)
    if ":" not in record.address:
        raise ExchangeError(FailureCause.NOT_CONNECTED, f"{record.upstream} has no address")
    return await connect(record.address, CONNECT_TIMEOUT_S)


async def refuses_connections(state: ConnectionPool, record: UpstreamRecord, now_s: float) -> bool:
    """Return whether nothing listens at the address of an upstream that is otherwise reachable.

    Callers that ask at about the same time share one connection.
    """
    key = _pool_key(record)
    check = state.checks.get(key)
    if check is None or now_s - check.started_s > CHECK_REUSE_S:
        result = asyncio.ensure_future(_is_refused(record))
        check = state.checks[key] = _Check(now_s, result)
    return await asyncio.shield(check.is_refused)


def put_back(
    state: ConnectionPool, record: UpstreamRecord, connection: UpstreamConnection, now_s: float
) -> None:
    """Return a connection to the pool, or close it if it is not reusable."""
    if not release(connection, now_s):
        return
    idle = state.idle_by_key.setdefault(_pool_key(record), deque())
    idle.append(connection)
    if len(idle) > MAX_IDLE_PER_UPSTREAM:
        discard(idle.popleft())


def close_expired(state: ConnectionPool, now_s: float) -> None:
    """Close the connections that have been idle for too long, and forget old checks."""
    for checked, check in list(state.checks.items()):
        if now_s - check.started_s > CHECK_REUSE_S and check.is_refused.done():
            del state.checks[checked]
    for key, idle in list(state.idle_by_key.items()):
        reusable = deque(each for each in idle if is_reusable(each, now_s))
        for connection in idle:
            if not is_reusable(connection, now_s):
                discard(connection)
        if reusable:
            state.idle_by_key[key] = reusable
        else:
            del state.idle_by_key[key]


def close_all(state: ConnectionPool) -> None:
    """Close all idle connections."""
    for idle in state.idle_by_key.values():
        for connection in idle:
            discard(connection)
    state.idle_by_key.clear()


async def _is_refused(record: UpstreamRecord) -> bool:
    if ":" not in record.address:
        return False
    try:
        discard(await connect(record.address, CHECK_TIMEOUT_S))
    except ExchangeError as error:
        return error.cause is FailureCause.CONNECTION_REFUSED
    return False


def _pool_key(record: UpstreamRecord) -> PoolKey:
    return record.upstream, record.start_time_ms
