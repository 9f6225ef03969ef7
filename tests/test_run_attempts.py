"""Tests of the attempt tasks of an agent, with an upstream that never responds."""

import asyncio
import contextlib
from typing import Any

import pytest

from lycheefall._agent.forward import MAX_ANSWER_BYTES
from lycheefall._agent.messages import AttemptEnded, Forward
from lycheefall._agent.run_attempts import AttemptRunner
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.messages.dispatch import Cancel, Crash, Dispatch

TIMEOUT_S = 10.0


class TestAttempts:
    async def test_crash_after_a_cancel(self) -> None:
        """Guards against a crash that is not counted because its attempt was cancelled before."""
        connected = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connected.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        ended: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        arguments: Any = ("1", f"{host}:{port}", UpstreamKind.SERVICE, lambda *_: True)
        runner = AttemptRunner(*arguments, ended.put_nowait)
        fields: Any = ("r", 1, "1", 10.0, RouteKind.LOOKUP, "GET", "/", "", b"", "p", 0, "f")
        async with asyncio.timeout(TIMEOUT_S):
            runner.start(Forward(b"peer", Dispatch(*fields)))
            await connected.wait()
            runner.signal(Cancel("r", 1))  # type: ignore[arg-type]
            results = [(await ended.get()).result]
            server.close()
            results.append((await ended.get()).result)
        await runner.close()
        codes_and_crashes = [(result.code, result.crash) for result in results]  # type: ignore[union-attr]
        code = ResultCode.CANCELLED_AFTER_START
        assert codes_and_crashes == [(code, None), (code, Crash("1/1", "f"))]  # type: ignore[arg-type]


class TestBookings:
    @pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "OPTIONS"])
    async def test_sent_once(self, method: str) -> None:
        """Guards against a booking that the HTTP client sends again after a lost connection."""
        received: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        ended: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        arguments: Any = ("1", f"{host}:{port}", UpstreamKind.SERVICE, lambda *_: True)
        runner = AttemptRunner(*arguments, ended.put_nowait)
        fields: Any = ("r", 1, "1", 10.0, RouteKind.BOOKING, method, "/", "", b"", "p", 0, "f")
        async with asyncio.timeout(TIMEOUT_S):
            runner.start(Forward(b"peer", Dispatch(*fields)))
            result: Any = (await ended.get()).result
        server.close()
        await runner.close()
        assert (result.code, len(received)) == (ResultCode.UPSTREAM_LOST, 1)


class TestWithoutEnd:
    @pytest.mark.parametrize("kind", [UpstreamKind.SERVICE, UpstreamKind.ENGINE])
    async def test_attempts_end(self, kind: UpstreamKind) -> None:
        """Guards against an agent that keeps an answer or an event without end."""
        sent_bytes = 0
        is_closed = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent_bytes
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                while sent_bytes < 10 * MAX_ANSWER_BYTES:
                    writer.write(b"x" * 65_536)
                    await writer.drain()
                    sent_bytes += 65_536
            writer.transport.abort()
            is_closed.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        ended: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        arguments: Any = ("1", f"{host}:{port}", kind, lambda *_: True)
        runner = AttemptRunner(*arguments, ended.put_nowait)
        fields: Any = ("r", 1, "1", 10.0, RouteKind.LOOKUP, "POST", "/", "", b"{}", "p", 0, "f")
        async with asyncio.timeout(TIMEOUT_S):
            runner.start(Forward(b"peer", Dispatch(*fields)))
            result: Any = (await ended.get()).result
            await is_closed.wait()
        server.close()
        await runner.close()
        # The sockets of both sides buffer a few megabytes.
        assert (result.code, sent_bytes < 2 * MAX_ANSWER_BYTES) == (ResultCode.UPSTREAM_LOST, True)
