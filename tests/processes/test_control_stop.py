"""Tests of calls to control around a planned stop of the replica that read them."""

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from entry_harness import Response, read_response
from processes.platform_harness import (
    DIRECTORY_PORT,
    INITIAL_FILE,
    ROUTES,
    PlatformCluster,
    start_platform,
)

pytestmark = pytest.mark.processes

CONTROLS = ("control0", "control1", "control2")
# An entry that is suspended holds up acknowledgements for up to 0.7 s.
SIGNAL_DELAY_S = 0.2
EXIT_IDLE_S = 1.5
EXIT_S = 4.5


class Caller:
    """An open connection to a replica."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, method: str, path: str, body: bytes = b"") -> None:
        """Send a call without waiting for its answer."""
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
        self.writer.write(head.encode() + body)

    async def receive(self, timeout_s: float = 5.0) -> Response | None:
        """Return the answer, or None if the connection ends without one."""
        try:
            async with asyncio.timeout(timeout_s):
                return await read_response(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None


@asynccontextmanager
async def connected(ip: str, port: str | int) -> AsyncIterator[Caller]:
    """Open a connection to a replica."""
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()


def announcement(cluster: PlatformCluster, name: str) -> tuple[str, bytes]:
    """Return the path and body of an announcement."""
    body = {
        "Service": "desk",
        "Address": f"{cluster.machines['entry0'].ip}:9",
        "Zone": "dc1",
        "Slots": 6,
        "State": "ready",
        "Sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
    return f"/-/instances/{name}", json.dumps(body).encode()


def file_with_version(version: int) -> bytes:
    """Return a file that changes a route."""
    routes = [ROUTES[0] | {"TimeoutMs": 6000 + version}, *ROUTES[1:]]
    return json.dumps(INITIAL_FILE | {"Routes": routes, "Version": version}).encode()


async def exit_time(cluster: PlatformCluster, name: str, since_s: float) -> float:
    """Return the seconds until a replica has exited."""
    await cluster.wait_for_exit(name)
    return asyncio.get_running_loop().time() - since_s


class TestStop:
    @pytest.mark.parametrize("name", CONTROLS)
    async def test_calls_in_progress(self, tmp_path: Path, name: str) -> None:
        """Guards against calls that a replica has read and that a planned stop leaves unanswered.

        Calls that are sent on open connections while others are in progress must get one too.
        """
        loop = asyncio.get_running_loop()
        async with start_platform(tmp_path, entries=1) as cluster:
            machine = cluster.machines[name]
            address = machine.control.split(":")
            # An entry is ready once it knows an upstream.
            async with connected(*address) as upstream:
                upstream.send("PUT", *announcement(cluster, "u0"))
                assert (await upstream.receive()) is not None
            await cluster.wait_until_ready()
            cluster.signal("entry0", signal.SIGSTOP)
            try:
                async with (
                    connected(*address) as operator,
                    connected(*address) as upstream,
                    connected(*address) as late_operator,
                    connected(*address) as late_upstream,
                    connected(machine.ip, DIRECTORY_PORT) as late_caller,
                ):
                    operator.send("PUT", "/-/config", file_with_version(50))
                    upstream.send("PUT", *announcement(cluster, "u1"))
                    await asyncio.sleep(SIGNAL_DELAY_S)
                    cluster.signal(name, signal.SIGTERM)
                    cluster.signal(name, signal.SIGTERM)
                    stopped_s = loop.time()
                    await asyncio.sleep(SIGNAL_DELAY_S)
                    late_operator.send("GET", "/-/config")
                    late_upstream.send("PUT", *announcement(cluster, "u2"))
                    late_caller.send("GET", "/-/resolve?Name=h&Region=r&Zone=dc1")
                    callers = (operator, upstream, late_operator, late_upstream, late_caller)
                    answers = await asyncio.gather(*(each.receive() for each in callers))
                took_s = await exit_time(cluster, name, stopped_s)
            finally:
                cluster.signal("entry0", signal.SIGCONT)
            assert all(each is not None and each.is_complete for each in answers), answers
            put, announced, *late = [each for each in answers if each is not None]
            assert put.status in (200, 307)
            assert announced.status == 200
            assert [each.status for each in late[:2]] == [503, 503]
            assert late[2].status in (200, 503)
            assert all(each.headers.get("connection") == "close" for each in late)
            assert took_s < EXIT_S
            assert cluster.machines[name].process.returncode == 0  # type: ignore[union-attr]
            ended = [each for each in cluster.events(name) if each["event"] == "process_stopped"]
            assert [(each["callers"], each["unsent_bytes"]) for each in ended] == [(0, 0)]
            if put.status == 200:
                others = [cluster.machines[each] for each in CONTROLS if each != name]
                async with asyncio.timeout(EXIT_S):
                    while (held := await cluster.read_file(others[0])) is None:
                        await asyncio.sleep(0.1)
                assert held["Version"] >= 50

    async def test_idle(self, tmp_path: Path) -> None:
        """Guards against a replica without calls that idle connections keep alive."""
        loop = asyncio.get_running_loop()
        async with start_platform(tmp_path, entries=0) as cluster:
            machine = cluster.machines["control0"]
            async with connected(*machine.control.split(":")) as idle:
                await asyncio.sleep(SIGNAL_DELAY_S)
                cluster.signal("control0", signal.SIGTERM)
                took_s = await exit_time(cluster, "control0", loop.time())
                assert await idle.reader.read() == b""
            assert took_s < EXIT_IDLE_S
