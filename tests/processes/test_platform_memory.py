"""Tests of the memory of an entry as a process, under bodies that are large or have no end."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from entry_harness import Response, read_response, request
from processes.platform_harness import (
    INITIAL_FILE,
    MEMORY_MB,
    ROUTES,
    PlatformCluster,
    announced_upstream,
    start_platform,
)
from upstream_double import Exchange, RequestHandler, chunk, complete_response, stream_head

pytestmark = pytest.mark.processes

# The users' target: a process stays under this fraction of its memory.
MEMORY_RATIO = 0.8
LOAD_S = 5.0
CALLERS = 60
BLOCK = b"x" * 65_536
FAULTY_ROUTES = [
    ROUTES[0] | {"Name": "events", "PathPrefix": "/e/"},
    ROUTES[2] | {"Name": "faulty", "PathPrefix": "/f/", "Service": "engines", "TimeoutMs": 8000},
    ROUTES[2] | {"Name": "booking-faulty", "PathPrefix": "/g/", "Service": "engines"},
    ROUTES[1],
    ROUTES[2],
]


def without_end(first: Callable[[Exchange], bytes], block: bytes, count: int) -> RequestHandler:
    """Return a handler that sends a start and blocks, and then keeps the connection open."""

    async def respond(exchange: Exchange) -> None:
        await exchange.send(first(exchange))
        for _ in range(count):
            await exchange.send(block)
        await exchange.reader.read()

    return respond


def sealed_head(exchange: Exchange, framing: str = "") -> bytes:
    """Return the head of a sound answer whose body has no length."""
    attempt = exchange.received.headers["attempt-id"]
    return f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n{framing}\r\n".encode()


# Far more blocks than one answer may have.
ENDLESS = 100_000
FAULTY: dict[str, tuple[str, RequestHandler]] = {
    "body": ("/f/", without_end(sealed_head, BLOCK, ENDLESS)),
    # Each answer stays below its own limit.
    "unfinished body": ("/f/", without_end(sealed_head, BLOCK, 200)),
    "unfinished event": ("/e/", without_end(stream_head, chunk(BLOCK), 15)),
    "error": (
        "/f/",
        without_end(
            lambda exchange: sealed_head(exchange).replace(b"200 OK", b"500 Error"), BLOCK, ENDLESS
        ),
    ),
    "refusal": (
        "/f/",
        without_end(lambda exchange: sealed_head(exchange, "Not-Executed: 1\r\n"), BLOCK, ENDLESS),
    ),
}


def peak_memory_mb(cluster: PlatformCluster, name: str) -> float:
    """Return the largest resident size that a process has had."""
    process = cluster.machines[name].process
    assert process is not None and process.returncode is None
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    peak_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))
    return peak_kb * 1024 / 1e6


async def ask(cluster: PlatformCluster, data: bytes, timeout_s: float = 10.0) -> Response | None:
    """Send a request to the entry; return None if the connection breaks."""
    host, _, port = cluster.machines["entry0"].caller_address.partition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                return await read_response(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def respond_ok(exchange: Exchange) -> None:
    """Answer at once."""
    await exchange.send(complete_response(exchange.received))


async def measure(
    cluster: PlatformCluster, load: Callable[[int], Awaitable[Any]], callers: int
) -> tuple[float, Counter[int | None]]:
    """Return the peak memory of the entry under a load, and the statuses of sound lookups."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LOAD_S
    statuses: Counter[int | None] = Counter()

    async def repeat(number: int) -> None:
        while loop.time() < end_s:
            await load(number)

    async def look_up() -> None:
        number = 0
        while loop.time() < end_s:
            number += 1
            response = await ask(cluster, request(f"/l/{number}", attempt=f"l{number}"))
            statuses[None if response is None else response.status] += 1
            await asyncio.sleep(0.1)

    await asyncio.gather(look_up(), *(repeat(number) for number in range(callers)))
    return peak_memory_mb(cluster, "entry0"), statuses


class TestMemory:
    @pytest.mark.parametrize("name", FAULTY)
    async def test_responses(self, tmp_path: Path, name: str) -> None:
        """Guards against an entry that ends because of responses without end, all together."""
        prefix, handler = FAULTY[name]
        async with AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(start_platform(tmp_path, 1, 1))
            await cluster.change_file(**INITIAL_FILE | {"Routes": FAULTY_ROUTES})
            for number in range(4):
                faulty = announced_upstream(cluster, f"e{number}", "engines", handler)
                await stack.enter_async_context(faulty)
            await stack.enter_async_context(announced_upstream(cluster, "d", "desk", respond_ok))
            await cluster.wait_until_ready()

            async def load(number: int) -> None:
                data = request(f"{prefix}{number}", attempt=f"f{number}", deadline_ms=4000)
                await ask(cluster, data)

            peak_mb, statuses = await measure(cluster, load, CALLERS)
            assert peak_mb < MEMORY_RATIO * MEMORY_MB
            assert set(statuses) == {200}

    async def test_requests(self, tmp_path: Path) -> None:
        """Guards against an entry that ends because of large requests, all together."""
        body = b"x" * 4_194_304
        answered: Counter[int | None] = Counter()

        async def work(exchange: Exchange) -> None:
            await asyncio.sleep(0.5)
            await respond_ok(exchange)

        async with AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(start_platform(tmp_path, 1, 1))
            await cluster.change_file(**INITIAL_FILE | {"Routes": FAULTY_ROUTES})
            for number in range(4):
                sound = announced_upstream(cluster, f"e{number}", "engines", work)
                await stack.enter_async_context(sound)
            await stack.enter_async_context(announced_upstream(cluster, "d", "desk", respond_ok))
            await cluster.wait_until_ready()

            async def load(number: int) -> None:
                data = request(f"/f/{number}", attempt=f"f{number}", deadline_ms=6000, body=body)
                response = await ask(cluster, data)
                answered[None if response is None else response.status] += 1

            peak_mb, statuses = await measure(cluster, load, CALLERS)
            assert peak_mb < MEMORY_RATIO * MEMORY_MB
            assert set(statuses) == {200}
            assert answered[200] > 0
            assert set(answered) <= {200, 503}
