"""Tests of the connections of a stopping entry, with callers that read slowly."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from lycheefall._entry import service
from lycheefall._entry.settings import EntrySettings
from processes.control_harness import free_addresses

DRAIN_S = 3.0
# Less than the high-water mark of a transport, so that the response counts as written at once.
BODY_BYTES = 60_000


class TestOutput:
    @pytest.mark.parametrize(("body_bytes", "reads"), [(BODY_BYTES, True), (4_000_000, False)])
    async def test_output_at_the_end(self, body_bytes: int, reads: bool) -> None:
        """Guards against responses that lose their end, and against an entry that doesn't exit."""
        transports: list[asyncio.Transport] = []

        async def answer(http: web.Request) -> web.Response:
            assert isinstance(http.transport, asyncio.Transport)
            transports.append(http.transport)
            caller_socket = http.transport.get_extra_info("socket")
            caller_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return web.Response(body=bytes(body_bytes))

        application = web.Application()
        application.router.add_get("/", answer)
        listen, announce = free_addresses(2)
        settings = EntrySettings(  # type: ignore[call-arg]
            instance="e",
            data_centre="dc",
            listen=listen,
            announce_listen=announce,  # type: ignore[arg-type]
            control=(),
            drain_s=DRAIN_S,
        )
        pipeline = service.Pipeline(settings, lambda *_: None)
        runner = await service._listen(listen, application)
        loop = asyncio.get_running_loop()
        stop, drained = asyncio.Event(), asyncio.Event()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            host, _, port = listen.rpartition(":")
            caller.connect((host, int(port)))
            caller.setblocking(False)
            await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
            started_s = loop.time()
            stop.set()

            async def run_to_exit() -> float:
                await service._drain(stop, pipeline, runner, drained)
                await runner.cleanup()
                # The end of the process discards what its transports hold.
                for transport in transports:
                    transport.abort()
                return loop.time() - started_s

            exiting = asyncio.create_task(run_to_exit())
            await asyncio.sleep(service.DIRECTORY_STALENESS_S + 0.5)
            received = 0
            with contextlib.suppress(ConnectionResetError):
                while reads and (data := await loop.sock_recv(caller, 65_536)):
                    received += len(data)
            async with asyncio.timeout(2 * DRAIN_S):
                assert await exiting < DRAIN_S + 0.5
            assert not reads or received > body_bytes
