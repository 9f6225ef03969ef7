"""Tests of requests that come to an entry after its stop signal, in calm."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from entry_harness import Response, read_response, request
from processes.platform_harness import (
    INITIAL_FILE,
    ROUTES,
    AnnouncedUpstream,
    PlatformCluster,
    announced_upstream,
    start_platform,
)
from upstream_double import Exchange, complete_response

pytestmark = pytest.mark.processes

WORK_S = 6.5
DEADLINE_MS = 11_000
LONG = {"TimeoutMs": 12_000, "Service": "desk"}
FILE = INITIAL_FILE | {
    "Routes": [
        ROUTES[1] | LONG | {"Name": "long-booking", "PathPrefix": "/long-booking/"},
        ROUTES[2] | LONG | {"Name": "long-lookup", "PathPrefix": "/long-lookup/"},
        ROUTES[1] | LONG | {"Name": "short-booking", "PathPrefix": "/short-booking/"},
    ]
}


async def work(exchange: Exchange) -> None:
    """Answer after a time that depends on the path."""
    await asyncio.sleep(WORK_S if "/long" in exchange.received.request_line else 0.05)
    await exchange.send(complete_response(exchange.received))


@asynccontextmanager
async def stopping_cluster(
    folder: Path,
) -> AsyncIterator[tuple[PlatformCluster, list[AnnouncedUpstream]]]:
    """Run two entries and four upstreams."""
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(start_platform(folder, 1, 2))
        await cluster.change_file(**FILE)
        upstreams = [
            await stack.enter_async_context(announced_upstream(cluster, f"d{n}", "desk", work))
            for n in range(4)
        ]
        await cluster.wait_until_ready()
        await asyncio.sleep(1.0)
        yield cluster, upstreams


async def ask(cluster: PlatformCluster, path: str, attempt: str) -> tuple[Response | None, float]:
    """Send a request to the entry that stops; return its answer, if any, and the time it took."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    host, _, port = cluster.machines["entry0"].caller_address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request(path, attempt=attempt, deadline_ms=DEADLINE_MS))
        response = await read_response(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        response = None
    finally:
        writer.close()
    return response, loop.time() - sent_s


async def ask_after_signal(
    cluster: PlatformCluster, path: str, after_s: tuple[float, ...]
) -> list[tuple[int | None, float]]:
    """Stop the entry, send a request at each of these times, and return statuses and durations."""
    cluster.signal("entry0", signal.SIGTERM)

    async def ask_later(number: int, pause_s: float) -> tuple[int | None, float]:
        await asyncio.sleep(pause_s)
        response, took_s = await ask(cluster, path, f"late{number}")
        return None if response is None else response.status, took_s

    return await asyncio.gather(
        *(ask_later(number, pause_s) for number, pause_s in enumerate(after_s))
    )


def runs(upstreams: list[AnnouncedUpstream]) -> list[str]:
    """Return the ids of the requests that came after the signal and reached an upstream."""
    received = [each for announced in upstreams for each in announced.double.received]
    ids = [each.headers.get("attempt-id", "") for each in received]
    return sorted(each for each in ids if each.startswith("late"))


class TestPlannedStop:
    async def test_bookings_that_take_long(self, tmp_path: Path) -> None:
        """Guards against bookings that are taken late in the grace, run, and are cut off."""
        async with stopping_cluster(tmp_path) as (cluster, upstreams):
            first, _ = await ask(cluster, "/long-booking/x", "before")
            assert first is not None and first.status == 200
            after_s = (0.2, 0.5, 1.2, 1.6, 2.0, 2.4, 2.8)
            answers = await ask_after_signal(cluster, "/long-booking/x", after_s)
            assert [status for status, _ in answers] == [200, 200, *[503] * 5]
            assert all(took_s < 0.5 for status, took_s in answers if status == 503)
            assert runs(upstreams) == ["late0", "late1"]
            await cluster.wait_for_exit("entry0", 8.0)

    async def test_bookings_of_unknown_duration(self, tmp_path: Path) -> None:
        """Guards against a booking that runs and is cut off where no earlier one was answered."""
        async with stopping_cluster(tmp_path) as (cluster, upstreams):
            answers = await ask_after_signal(cluster, "/long-booking/x", (1.2, 2.0))
            assert [status for status, _ in answers] == [503, 503]
            assert runs(upstreams) == []

    async def test_lookups_of_unknown_duration(self, tmp_path: Path) -> None:
        """Guards against a request that a server runs and that ends without any answer."""
        async with stopping_cluster(tmp_path) as (cluster, _):
            answers = await ask_after_signal(cluster, "/long-lookup/x", (0.2, 1.5, 2.5))
            assert [status for status, _ in answers] == [200, 504, 504]

    async def test_bookings_that_fit(self, tmp_path: Path) -> None:
        """Guards against a refusal of a request that the rest of the grace would have served."""
        async with stopping_cluster(tmp_path) as (cluster, _):
            for number in range(3):
                await ask(cluster, "/short-booking/x", f"before{number}")
            after_s = tuple(0.2 * each for each in range(1, 14))
            answers = await ask_after_signal(cluster, "/short-booking/x", after_s)
            assert {status for status, _ in answers} == {200}
