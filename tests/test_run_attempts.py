"""Tests of the tasks of an agent's attempts, against an upstream that never answers."""

import asyncio
from typing import Any

from lycheefall._agent.messages import AttemptEnded, Forward
from lycheefall._agent.run_attempts import AttemptRunner
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.messages.dispatch import Cancel, Crash, Dispatch

WAIT_S = 10.0


class TestAttempts:
    async def test_crash_after_a_cancel(self) -> None:
        """Guards against a crash that doesn't count because the attempt was cancelled before it."""
        called = asyncio.Event()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            called.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        ended: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        settings: Any = ("1", f"{host}:{port}", UpstreamKind.SERVICE, lambda *_: True)
        attempts = AttemptRunner(*settings, ended.put_nowait)
        fields: Any = ("r", 1, "1", 10.0, RouteKind.LOOKUP, "GET", "/", "", b"", "p", 0, "f")
        async with asyncio.timeout(WAIT_S):
            attempts.start(Forward(b"peer", Dispatch(*fields)))
            await called.wait()
            attempts.signal(Cancel("r", 1))  # type: ignore[arg-type]
            results = [(await ended.get()).result]
            server.close()
            results.append((await ended.get()).result)
        await attempts.close()
        told = [(each.code, each.crash) for each in results]  # type: ignore[union-attr]
        code = ResultCode.CANCELLED_AFTER_START
        assert told == [(code, None), (code, Crash("1/1", "f"))]  # type: ignore[arg-type]
