"""Tests of the calls of the map coordinator to the ranks of a group."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
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
from relay_values import record
from run_role import platform_dialect

REPORT = {"Sequence": 0, "step": 7, "size": 8, "pace": 1.0}


@asynccontextmanager
async def rank_that(answers: Callable[[int], bytes | None]) -> AsyncIterator[Rank]:
    """Serve a rank; `answers` gives the body for the number of the connection, None for silence."""
    numbers: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        numbers.append(len(numbers))
        await reader.readuntil(b"\r\n\r\n")
        body = answers(numbers[-1])
        if body is None:
            await asyncio.sleep(10 * CALL_TIMEOUT_S)
        else:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    held = ConnectionPool()
    try:
        yield Rank(record("u1", address=f"127.0.0.1:{port}"), platform_dialect(), held)
    finally:
        close_all(held)
        server.close()


class TestReads:
    async def test_asked_again(self) -> None:
        """Guards against a group that stays held because one of many answers got lost.

        All ranks have to answer before a switch that was left held can be completed; with a few
        lost packets in a hundred, one of 32 did not for four seconds.
        """
        body = msgspec.json.encode(REPORT)
        async with rank_that(lambda number: body if number else None) as rank:
            status = await fetch_status(rank)
        assert status is not None
        assert status.step == 7

    async def test_silent_rank(self) -> None:
        """Guards against a coordinator that waits for a rank which is gone."""
        loop = asyncio.get_running_loop()
        async with rank_that(lambda number: None) as rank:
            began_s = loop.time()
            assert await fetch_status(rank) is None
            assert loop.time() - began_s < 2 * READ_ATTEMPTS * CALL_TIMEOUT_S

    async def test_what_is_no_answer(self) -> None:
        """Guards against counts that can't be understood and end the coordinator."""
        async with rank_that(lambda number: b"{}") as rank:
            assert await fetch_counts(rank, 6) is None


class TestLogLines:
    async def test_one_line_for_the_group_not_for_each_rank(self) -> None:
        """Guards against a change of map that fills the log: 64 lines and more each time."""
        arm = Arm(version=MapVersion(2), step=PassNumber(9), epoch=1, expected=0)
        async with rank_that(lambda number: b"{}") as rank:
            with capture_logs() as lines:
                await send_order(rank, arm)
                assert lines == []
                await send_order(rank, Go(step=PassNumber(9), epoch=1))
                assert [line["order"] for line in lines] == ["go"]

    async def test_silent_rank_has_a_line(self) -> None:
        """Guards against an order without an answer that leaves no trace."""
        arm = Arm(version=MapVersion(2), step=PassNumber(9), epoch=1, expected=0)
        async with rank_that(lambda number: None) as rank:
            with capture_logs() as lines:
                await send_order(rank, arm)
        assert [line["reply"] for line in lines] == ["unanswered"]
