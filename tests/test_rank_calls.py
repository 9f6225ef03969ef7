"""Tests of the HTTP calls of the map coordinator to the ranks of a group."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest
from structlog.testing import capture_logs

from lycheefall._core.expert_maps import Arm, Go, MapVersion, PassNumber
from lycheefall._relay.connection_pool import ConnectionPool, close_all
from lycheefall._relay.rank_calls import (
    CALL_TIMEOUT_S,
    READ_ATTEMPTS,
    Rank,
    fetch_counts,
    fetch_status,
    send_order,
)
from relay_values import LAYOUT, record
from run_role import platform_dialect

REPORT = {"Sequence": 0, "step": 7, "size": 8, "pace": 1.0}


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
        yield Rank(
            record("u1", address=f"127.0.0.1:{port}"),
            platform_dialect(),
            connections,
            lambda upstream, head: None,
        )
    finally:
        close_all(connections)
        server.close()


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
                await send_order(rank, arm)
                assert lines == []
                await send_order(rank, Go(step=PassNumber(9), epoch=1))
                assert [line["order"] for line in lines] == ["go"]

    async def test_unanswered_order_is_logged(self) -> None:
        """Guards against an unanswered order that is not logged."""
        arm = Arm(version=MapVersion(2), step=PassNumber(9), epoch=1, expected=0)
        async with running_rank(lambda number: None) as rank:
            with capture_logs() as lines:
                await send_order(rank, arm)
        assert [line["reply"] for line in lines] == ["unanswered"]
