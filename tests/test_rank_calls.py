"""Tests of the HTTP calls of the map coordinator to the ranks of a group."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest
from structlog.testing import capture_logs

from lycheefall._core.expert_maps import Arm, Go, MapVersion, PassNumber, Prepare, RankOrder
from lycheefall._core.relay import UpstreamRecord
from lycheefall._relay.connection_pool import ConnectionPool, close_all
from lycheefall._relay.rank_calls import (
    CALL_TIMEOUT_S,
    READ_ATTEMPTS,
    Rank,
    fetch_counts,
    fetch_status,
    rank_client,
    send_order,
)
from lycheefall._relay.settings import DEFAULT_LINK_BYTES_PER_S
from lycheefall._rules.map_rollout import Reply
from relay_values import LAYOUT, record
from run_role import platform_dialect
from upstream_double import Exchange, upstream

REPORT = {"Sequence": 0, "step": 7, "size": 8, "pace": 1.0}


def new_rank(
    upstream: UpstreamRecord,
    connections: ConnectionPool | None = None,
    link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S,
) -> Rank:
    """Return the client of a rank."""
    return Rank(
        upstream,
        platform_dialect(),
        ConnectionPool() if connections is None else connections,
        link_bytes_per_s,
        lambda record, head: None,
    )


@asynccontextmanager
async def running_rank(respond: Callable[[int], bytes | None]) -> AsyncIterator[Rank]:
    """Run a rank; `respond` maps a connection number to a body, or to None for no response."""
    numbers: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        numbers.append(len(numbers))
        await reader.readuntil(b"\r\n\r\n")
        body = respond(numbers[-1])
        if body is None:
            await asyncio.sleep(10 * CALL_TIMEOUT_S)
        else:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connections = ConnectionPool()
    try:
        yield new_rank(record("u1", address=f"127.0.0.1:{port}"), connections)
    finally:
        close_all(connections)
        server.close()


async def send(rank: Rank, order: RankOrder) -> Reply:
    """Send an order to a rank."""
    body = rank.dialect.ranks.encode_order(order)
    return await send_order(rank, order, body, CALL_TIMEOUT_S)


class TestReads:
    async def test_read_is_retried(self) -> None:
        """Guards against a group that stays held because one of many responses got lost.

        All ranks must respond before a held switch can be completed. With a few percent of packet
        loss, one of 32 ranks did not respond for 4 s.
        """
        body = msgspec.json.encode(REPORT)
        async with running_rank(lambda number: body if number else None) as rank:
            status = await fetch_status(rank)
        assert status is not None
        assert status.step == 7

    async def test_late_response_to_a_caller(self) -> None:
        """Guards against the second copy of a caller's response that is read as that of a rank.

        Callers and the coordinator share connections; an order must not count as accepted.
        """
        late = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\n{}"
        refusal = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"

        async def respond(exchange: Exchange) -> None:
            await exchange.send(late + refusal)

        async with upstream(respond) as double:
            rank = new_rank(record("u1", address=double.address))
            go = Go(step=PassNumber(9), epoch=1)
            assert await send(rank, go) is Reply.REFUSED
            close_all(rank.connections)

    async def test_silent_rank(self) -> None:
        """Guards against a coordinator that is blocked by an unreachable rank."""
        loop = asyncio.get_running_loop()
        async with running_rank(lambda number: None) as rank:
            started_s = loop.time()
            assert await fetch_status(rank) is None
            assert loop.time() - started_s < 2 * READ_ATTEMPTS * CALL_TIMEOUT_S

    async def test_invalid_response(self) -> None:
        """Guards against an invalid response that stops the coordinator."""
        async with running_rank(lambda number: b"{}") as rank:
            assert await fetch_counts(rank, LAYOUT) is None

    @pytest.mark.parametrize("experts", [0, LAYOUT.experts - 1, LAYOUT.experts])
    async def test_counts_of_another_layout(self, experts: int) -> None:
        """Guards against counts of another layout, with which no map can be planned."""
        counts = {"step": 7, "epoch": 1, "Counts": [1] * (LAYOUT.sets * experts)}
        async with running_rank(lambda number: msgspec.json.encode(counts)) as rank:
            found = await fetch_counts(rank, LAYOUT)
        assert (found is None) == (experts != LAYOUT.experts)


class TestLogLines:
    async def test_accepted_broadcast_orders_are_not_logged(self) -> None:
        """Guards against a map change that writes 64 or more log lines."""
        arm = Arm(version=MapVersion(2), step=PassNumber(9), epoch=1, expected=0)
        async with running_rank(lambda number: b"{}") as rank:
            with capture_logs() as lines:
                await send(rank, arm)
                assert lines == []
                await send(rank, Go(step=PassNumber(9), epoch=1))
                assert [line["order"] for line in lines] == ["go"]

    async def test_unanswered_order_is_logged(self) -> None:
        """Guards against an unanswered order that is not logged."""
        arm = Arm(version=MapVersion(2), step=PassNumber(9), epoch=1, expected=0)
        async with running_rank(lambda number: None) as rank:
            with capture_logs() as lines:
                await send(rank, arm)
        assert [line["reply"] for line in lines] == ["unanswered"]


class TestOrdersOverASlowLink:
    async def test_each_rank_gets_one_order(self) -> None:
        """Guards against orders that time out on the link of the sender and are sent again.

        The maps for 24 ranks take 0.25 s over this link, four times the timeout of a small call.
        """
        link_bytes_per_s = 2e6
        link = asyncio.Lock()
        received: list[int] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(re.search(rb"Content-Length: (\d+)", head)[1])  # type: ignore[index]
            # All ranks share the link, one body after the other.
            async with link:
                await asyncio.sleep(size / link_bytes_per_s)
            await reader.readexactly(size)
            received.append(size)
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connections = ConnectionPool()
        members = [
            new_rank(record(f"u{number}", address=address), connections, link_bytes_per_s)
            for number in range(24)
        ]
        experts = tuple(tuple((expert,) * 20 for expert in range(24)) for _ in range(16))
        order = Prepare(version=MapVersion(2), experts=experts, epoch=1, expected=0)
        client = rank_client(members, LAYOUT)
        replies = await asyncio.gather(*(client.order(rank, order) for rank in range(24)))
        close_all(connections)
        server.close()
        assert sum(received) / link_bytes_per_s > 4 * CALL_TIMEOUT_S
        assert set(replies) == {Reply.TAKEN}
        assert len(received) == 24
