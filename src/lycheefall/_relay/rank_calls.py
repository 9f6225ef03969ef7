"""HTTP calls of the map coordinator to the ranks of a group."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.dialect import Dialect
from lycheefall._core.events import Event
from lycheefall._core.exceptions import LycheefallError, RequestRefused
from lycheefall._core.expert_maps import (
    Arm,
    ExpertCounts,
    LoadedExperts,
    PassNumber,
    Prepare,
    RankOrder,
    RankStatus,
)
from lycheefall._core.log import log
from lycheefall._core.relay import ExpertLayout, UpstreamRecord
from lycheefall._relay import connection_pool
from lycheefall._relay.connection_pool import ConnectionPool
from lycheefall._rules.map_rollout import RankClient, Reply
from lycheefall._wire.http_server import Headers
from lycheefall._wire.http_upstream import (
    ExchangeError,
    OutgoingRequest,
    ResponseHead,
    discard,
    read_body,
    read_head,
    send_request,
)

# A rank responds within a few milliseconds, or not at all if orders get lost. A group may be
# stalled until an order is retried. The transfer of a large body is added.
CALL_TIMEOUT_S = 0.06
# Time that the orders of a map change may occupy the link of this instance in one go: requests
# and responses of callers share it.
_LINK_SHARE_S = 0.05
# Orders that are sent at once even over a slow link.
_MIN_PARALLEL_ORDERS = 4
# Factor of the transfer time in a timeout, as other traffic shares the link.
_TRANSFER_MARGIN = 2.0
# Lower bound of the rate at which a rank sends its counters, and the size of one of them.
_RANK_BYTES_PER_S = 250_000.0
_BYTES_PER_COUNT = 6
# A response with the counts and the map of a large group has some tens of kilobytes, and a hundred
# ranks are read at once.
_MAX_BODY_BYTES = 262_144
# With a single attempt and packet loss, at least one of many ranks would nearly always be missing.
READ_ATTEMPTS = 4
# Orders that a map change sends to dozens of ranks. They are logged only if they are not accepted;
# EXPERTS_PLACED records that all ranks accepted them.
_BROADCAST_ORDERS = (Prepare, Arm)

T = TypeVar("T")


class Rank(Struct, frozen=True):
    """An upstream of a group, and what is needed to call it."""

    record: UpstreamRecord
    dialect: Dialect
    connections: ConnectionPool
    # Rate of the link of this instance.
    link_bytes_per_s: float
    # Receives the head of each response of the upstream.
    observe_head: Callable[[UpstreamRecord, ResponseHead], None]


class _Response(Struct, frozen=True):
    status: int
    body: bytes


def rank_client(members: list[Rank], layout: ExpertLayout) -> RankClient:
    """Return the client through which a rollout calls the ranks."""

    encoded: tuple[RankOrder, bytes] | None = None
    parallel_prepares: asyncio.Semaphore | None = None

    async def order(rank: int, message: RankOrder) -> Reply:
        nonlocal encoded, parallel_prepares
        if encoded is None or encoded[0] is not message:
            # The same order goes to all ranks, and a whole map takes long to encode.
            encoded = message, members[rank].dialect.ranks.encode_order(message)
        body = encoded[1]
        if not isinstance(message, Prepare):
            return await send_order(members[rank], message, body, CALL_TIMEOUT_S)
        count = parallel_orders(len(body), members[rank].link_bytes_per_s)
        if parallel_prepares is None:
            parallel_prepares = asyncio.Semaphore(count)
        timeout_s = transfer_timeout_s(count * len(body), members[rank].link_bytes_per_s)
        async with parallel_prepares:
            return await send_order(members[rank], message, body, timeout_s)

    async def status(rank: int) -> RankStatus | None:
        return await fetch_status(members[rank])

    async def step(rank: int) -> PassNumber | None:
        # The counters are current; a status report is some hundred milliseconds old.
        counts = await fetch_counts(members[rank], layout)
        return None if counts is None else counts.step

    return RankClient(len(members), order, status, step, CALL_TIMEOUT_S)


def parallel_orders(body_bytes: int, link_bytes_per_s: float) -> int:
    """Return how many orders with a body may be on their way over the link at once."""
    return max(_MIN_PARALLEL_ORDERS, int(_LINK_SHARE_S * link_bytes_per_s / max(1, body_bytes)))


def transfer_timeout_s(size_bytes: int, bytes_per_s: float) -> float:
    """Return the timeout of a call whose bodies share a link."""
    return CALL_TIMEOUT_S + _TRANSFER_MARGIN * size_bytes / bytes_per_s


async def fetch_status(rank: Rank) -> RankStatus | None:
    """Return the status report of a rank, or None if it does not respond."""
    endpoints = rank.dialect.ranks
    return await _fetch(rank, endpoints.status, endpoints.decode_status)


async def fetch_counts(rank: Rank, layout: ExpertLayout) -> ExpertCounts | None:
    """Return how often requests at a rank selected each expert, or None if it does not respond."""
    endpoints = rank.dialect.ranks

    def decode(body: bytes) -> ExpertCounts:
        counts = endpoints.decode_counts(body, layout.sets)
        if any(len(each) != layout.experts for each in counts.counts):
            raise RequestRefused(ResultCode.BAD_FIELD, f"no counts of {layout.experts} experts")
        return counts

    size_bytes = layout.sets * layout.experts * _BYTES_PER_COUNT
    timeout_s = transfer_timeout_s(size_bytes, _RANK_BYTES_PER_S)
    return await _fetch(rank, endpoints.counts, decode, timeout_s)


async def fetch_loaded_experts(rank: Rank) -> LoadedExperts | None:
    """Return the experts loaded on a rank, or None if it does not respond."""
    endpoints = rank.dialect.ranks
    return await _fetch(rank, endpoints.experts, endpoints.decode_loaded_experts)


async def send_order(rank: Rank, order: RankOrder, body: bytes, timeout_s: float) -> Reply:
    """Send an order, encoded as `body`, and return the reply."""
    response = await _call(rank, b"POST", rank.dialect.ranks.orders, body, timeout_s)
    if response is None:
        reply = Reply.UNANSWERED
    else:
        reply = Reply.TAKEN if response.status in (200, 202) else Reply.REFUSED
    if reply is not Reply.TAKEN or not isinstance(order, _BROADCAST_ORDERS):
        _log_order(rank, order, reply, response)
    return reply


def _log_order(rank: Rank, order: RankOrder, reply: Reply, response: _Response | None) -> None:
    log(
        Event.RANK_ORDERED,
        upstream=rank.record.upstream,
        order=type(order).__name__.lower(),
        epoch=order.epoch,
        expected=getattr(order, "expected", None),
        step=getattr(order, "step", None),
        version=getattr(order, "version", None),
        reply=reply.value,
        status=None if response is None else response.status,
    )


async def _call(
    rank: Rank, method: bytes, target: str, body: bytes, timeout_s: float
) -> _Response | None:
    """Return the response of a rank, or None if there is none in time."""
    names = rank.dialect.headers
    headers: Headers = (
        (b"Host", rank.record.address.encode()),
        (names.expected_upstream, rank.record.upstream.encode()),
    )
    if body:
        headers = (
            *headers,
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
        )
    request = OutgoingRequest(method, target.encode(), headers, body, (names.attempt, b""))
    now = asyncio.get_running_loop().time
    try:
        async with asyncio.timeout(timeout_s):
            connection = await connection_pool.acquire(rank.connections, rank.record, True, now())
            try:
                send_request(connection, request)
                head = await read_head(connection)
                rank.observe_head(rank.record, head)
                response = _Response(head.status, await read_body(connection, _MAX_BODY_BYTES))
            except BaseException:
                discard(connection)
                raise
    except (ExchangeError, TimeoutError):
        return None
    connection_pool.put_back(rank.connections, rank.record, connection, now())
    return response


async def _fetch(
    rank: Rank, target: str, decode: Callable[[bytes], T], timeout_s: float = CALL_TIMEOUT_S
) -> T | None:
    """Return the decoded response, or None if the rank does not respond or it is invalid."""
    response = None
    for _ in range(READ_ATTEMPTS):
        response = await _call(rank, b"GET", target, b"", timeout_s)
        if response is not None:
            break
    if response is not None and response.status == 200:
        try:
            return decode(response.body)
        except LycheefallError as error:
            log(Event.MESSAGE_DROPPED, source=rank.record.upstream, detail=error.detail)
            return None
    log(
        Event.RANK_SILENT,
        upstream=rank.record.upstream,
        target=target,
        status=None if response is None else response.status,
        timeout_s=timeout_s,
    )
    return None
