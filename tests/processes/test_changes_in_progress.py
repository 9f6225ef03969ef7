"""Tests of requests in progress beside changes of the configuration and of the settings."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from entry_harness import Response, read_response, request
from processes.platform_harness import (
    INITIAL_FILE,
    ROUTES,
    PlatformCluster,
    announced_upstream,
    poll_until,
    start_platform,
)
from upstream_double import LAST_CHUNK, Exchange, chunk, complete_response, event, stream_head

pytestmark = pytest.mark.processes

WORK_S = 1.5
EVENTS = 20
# Each upstream has 6 slots, so a third of the requests of each kind queue.
REQUESTS = 9
CHANGE_DELAY_S = 0.5
TIMEOUT = {"TimeoutMs": 12_000, "TargetLatencyMs": 5000}
FILE = INITIAL_FILE | {"Routes": [each | TIMEOUT for each in ROUTES]}
OTHER_ROUTE = ROUTES[2] | {"Name": "other", "PathPrefix": "/other/"}
OTHER_TENANTS = [{"Name": "t2", "ApiKeys": ["k2"]}]
CHANGES: dict[str, dict[str, Any]] = {
    "routes removed": {"Routes": [OTHER_ROUTE]},
    "services removed": {
        "Services": [{"Name": "new"}],
        "Routes": [OTHER_ROUTE | {"Service": "new"}],
    },
    "keys removed": {"Tenants": OTHER_TENANTS},
    "timeouts shortened": {"Routes": [each | {"TimeoutMs": 300} for each in ROUTES]},
    "limits": {"Limits": {"MaxHeaderBytes": 8192, "HeaderTimeoutMs": 200, "IdleTimeoutMs": 200}},
}


async def work(exchange: Exchange) -> None:
    """Answer a stream in events, and other requests after a time."""
    path = exchange.received.request_line.split(" ")[1]
    if not path.startswith("/s/"):
        await asyncio.sleep(WORK_S)
        await exchange.send(complete_response(exchange.received))
        return
    await exchange.send(stream_head(exchange.received))
    for number in range(EVENTS):
        await exchange.send(chunk(event(number)))
        await asyncio.sleep(WORK_S / EVENTS)
    await exchange.send(LAST_CHUNK)


async def send(cluster: PlatformCluster, path: str, attempt: str) -> Response | None:
    """Send a request to the entry; return None if the connection ends without an answer."""
    ip, _, port = cluster.machines["entry0"].caller_address.partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(request(path, attempt=attempt, deadline_ms=10_000))
        async with asyncio.timeout(11.0):
            return await read_response(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


@asynccontextmanager
async def serving_platform(folder: Path) -> AsyncIterator[PlatformCluster]:
    """Run an entry that serves all kinds of requests."""
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(start_platform(folder, entries=1))
        await cluster.change_file(**FILE)
        for pool in ("engines", "desk"):
            await stack.enter_async_context(announced_upstream(cluster, f"u-{pool}", pool, work))

        async def is_serving() -> bool | None:
            answers = [await send(cluster, f"/{kind}/warm", f"w{kind}") for kind in "sbl"]
            return all(each is not None and each.status == 200 for each in answers) or None

        await cluster.wait_until_ready()
        await poll_until(is_serving, 30.0)
        yield cluster


async def start_requests(cluster: PlatformCluster) -> "list[asyncio.Task[Response | None]]":
    """Start requests of all kinds, of which some queue."""
    tasks = [
        asyncio.create_task(send(cluster, f"/{kind}/x", f"{kind}{number}"))
        for kind in "sbl"
        for number in range(REQUESTS)
    ]
    await asyncio.sleep(CHANGE_DELAY_S)
    return tasks


async def check_answers(tasks: "list[asyncio.Task[Response | None]]") -> None:
    """Check that all requests are answered with their whole response."""
    answers = await asyncio.gather(*tasks)
    assert [None if each is None else each.status for each in answers] == [200] * len(tasks)
    for answer in answers[:REQUESTS]:
        assert answer is not None and answer.is_complete
        assert answer.body.count(b"id:") == EVENTS


class TestChanges:
    @pytest.mark.parametrize("change", CHANGES)
    async def test_configuration(self, tmp_path: Path, change: str) -> None:
        """Guards against a configuration that cuts requests accepted under an older one."""
        async with serving_platform(tmp_path) as cluster:
            tasks = await start_requests(cluster)
            await cluster.change_file(**CHANGES[change])
            await check_answers(tasks)

    async def test_hangup_signal(self, tmp_path: Path) -> None:
        """Guards against a change of the settings that cuts requests or calls in progress."""
        async with serving_platform(tmp_path) as cluster:
            tasks = await start_requests(cluster)
            for name, machine in cluster.machines.items():
                path = machine.folder / "settings.toml"
                seeds = cluster.machines["control2"].control
                lines = path.read_text().splitlines()
                lines = [f'Seeds = ["{seeds}"]' if "Seeds" in each else each for each in lines]
                path.write_text("\n".join(lines))
                cluster.signal(name, signal.SIGHUP)
                cluster.signal(name, signal.SIGHUP)
            await cluster.change_file()
            await check_answers(tasks)
            assert all(
                any(each["event"] == "settings_reloaded" for each in cluster.events(name))
                for name in ("entry0",)
            )
