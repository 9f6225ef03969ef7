"""Calls of the map coordinator to the ranks of a group."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from msgspec import Struct

from lycheefall._core.dialect import Dialect
from lycheefall._core.events import Event
from lycheefall._core.exceptions import LycheefallError
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
from lycheefall._core.relay import UpstreamRecord
from lycheefall._relay import connections
from lycheefall._relay.connections import Connections
from lycheefall._rules.map_rollout import RankClient, Reply
from lycheefall._wire.http_server import Headers
from lycheefall._wire.http_upstream import (
    ExchangeError,
    OutgoingRequest,
    discard,
    read_body,
    read_head,
    send_request,
)

# A rank answers within a few milliseconds or, where orders get lost, not at all. A group may have
# to wait for an order that is sent again.
CALL_TIMEOUT_S = 0.06

# Where links lose packets, one of many ranks would nearly always be without an answer.
READ_ATTEMPTS = 4
# A change gives these to each rank, dozens at a time: EXPERTS_PLACED tells that all took them.
_TO_ALL_RANKS = (Prepare, Arm)

T = TypeVar("T")


class Rank(Struct, frozen=True):
    """A rank and how it is reached."""

    record: UpstreamRecord
    dialect: Dialect
    connections: Connections


class _Answer(Struct, frozen=True):
    status: int
    body: bytes


def ranks_of(members: list[Rank], sets: int) -> RankClient:
    """Return the functions by which a rollout reaches the ranks."""

    async def order(rank: int, message: RankOrder) -> Reply:
        return await give_order(members[rank], message)

    async def status(rank: int) -> RankStatus | None:
        return await status_of(members[rank])

    async def step(rank: int) -> PassNumber | None:
        # The counts are of this moment, a report is some hundred milliseconds old.
        counts = await counts_of(members[rank], sets)
        return None if counts is None else counts.step

    return RankClient(len(members), order, status, step, CALL_TIMEOUT_S)


async def status_of(rank: Rank) -> RankStatus | None:
    """Return what a rank reports, or None."""
    calls = rank.dialect.ranks
    return await _read(rank, calls.status, calls.decode_status)


async def counts_of(rank: Rank, sets: int) -> ExpertCounts | None:
    """Return how often the requests of a rank chose each expert, or None."""
    calls = rank.dialect.ranks
    return await _read(rank, calls.counts, lambda body: calls.decode_counts(body, sets))


async def held_by(rank: Rank) -> LoadedExperts | None:
    """Return the experts that a rank holds, or None."""
    calls = rank.dialect.ranks
    return await _read(rank, calls.experts, calls.decode_loaded_experts)


async def give_order(rank: Rank, order: RankOrder) -> Reply:
    """Give an order and tell what came of it."""
    calls = rank.dialect.ranks
    answer = await _call(rank, b"POST", calls.orders, calls.encode_order(order))
    if answer is None:
        reply = Reply.UNANSWERED
    else:
        reply = Reply.TAKEN if answer.status in (200, 202) else Reply.REFUSED
    if reply is not Reply.TAKEN or not isinstance(order, _TO_ALL_RANKS):
        _log_order(rank, order, reply, answer)
    return reply


def _log_order(rank: Rank, order: RankOrder, reply: Reply, answer: _Answer | None) -> None:
    log(
        Event.RANK_ORDERED,
        upstream=rank.record.upstream,
        order=type(order).__name__.lower(),
        epoch=order.epoch,
        expected=getattr(order, "expected", None),
        step=getattr(order, "step", None),
        version=getattr(order, "version", None),
        reply=reply.value,
        status=None if answer is None else answer.status,
    )


async def _call(rank: Rank, method: bytes, target: str, body: bytes) -> _Answer | None:
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
    request = OutgoingRequest(method, target.encode(), headers, body)
    now = asyncio.get_running_loop().time
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            connection = await connections.take(rank.connections, rank.record, True, now())
            try:
                send_request(connection, request)
                head = await read_head(connection)
                answer = _Answer(head.status, await read_body(connection))
            except BaseException:
                discard(connection)
                raise
    except (ExchangeError, TimeoutError):
        return None
    connections.give_back(rank.connections, rank.record, connection, now())
    return answer


async def _read(rank: Rank, target: str, decode: Callable[[bytes], T]) -> T | None:
    """Return what a rank tells, or None where it does not answer or can't be understood."""
    answer = None
    for _ in range(READ_ATTEMPTS):
        answer = await _call(rank, b"GET", target, b"")
        if answer is not None:
            break
    if answer is not None and answer.status == 200:
        try:
            return decode(answer.body)
        except LycheefallError as error:
            log(Event.MESSAGE_DROPPED, source=rank.record.upstream, detail=error.detail)
            return None
    log(
        Event.RANK_SILENT,
        upstream=rank.record.upstream,
        target=target,
        status=None if answer is None else answer.status,
        timeout_s=CALL_TIMEOUT_S,
    )
    return None
