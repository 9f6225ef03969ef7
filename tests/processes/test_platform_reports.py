"""Tests of what entries learn from each other through control, as processes."""

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from entry_harness import Response, call, request
from processes.platform_harness import PlatformCluster, announced_upstream, start_platform
from processes.test_platform_processes import send_until_served, wait_until_known
from test_crashing_prompts import COMMON, CRASHING, crash_on_part
from upstream_double import Exchange, complete_response

pytestmark = pytest.mark.processes

LIMITED_UPSTREAMS = 10


async def ask(cluster: PlatformCluster, entry: str, number: int, *shared: str) -> Response:
    """Send a stream request whose prompt has these parts and one of its own."""
    prompt = ",".join(f"{part}:40" for part in (*shared, f"b{number:04x}"))
    data = request(
        "/s/x", attempt=f"id{number}", body=b"q%d" % number, extra=f"Prefix-Hash: {prompt}\r\n"
    )
    machine = cluster.machines[entry]
    return await call(int(machine.caller_address.split(":")[1]), data, host=machine.ip)


class TestCrashingPart:
    async def test_other_entry_refuses_it(self, tmp_path: Path) -> None:
        """Guards against a part of prompts that crashes one upstream for each entry."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "u1", "engines", crash_on_part) as first,
            announced_upstream(cluster, "u2", "engines", crash_on_part) as second,
        ):
            await cluster.wait_until_ready()
            for each in (first, second):
                await wait_until_known(cluster, each)
            assert (await ask(cluster, "entry1", 0, COMMON)).status == 200
            await ask(cluster, "entry0", 1, COMMON, CRASHING)
            await asyncio.sleep(0.5)
            assert (await ask(cluster, "entry1", 2, COMMON, CRASHING)).status == 503
            for number, entry in enumerate(("entry0", "entry1")):
                assert (await ask(cluster, entry, 10 + number, COMMON)).status == 200
            listening = [each.double.server.is_serving() for each in (first, second)]  # type: ignore[union-attr]
            assert listening.count(False) == 1


class TestRateLimit:
    async def test_entry_that_starts_later(self, tmp_path: Path) -> None:
        """Guards against an entry that does not keep a limit stated before its start."""

        async def respond(exchange: Exchange) -> None:
            extra = "Server-Limit: 0.05\r\n"
            await exchange.send(complete_response(exchange.received, extra=extra))

        async def respond_without_limit(exchange: Exchange) -> None:
            await exchange.send(complete_response(exchange.received))

        async with AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(start_platform(tmp_path))
            limited = [
                await stack.enter_async_context(
                    announced_upstream(cluster, f"s{number}", "desk", respond)
                )
                for number in range(LIMITED_UPSTREAMS)
            ]
            await cluster.wait_until_ready()
            for each in limited:
                await wait_until_known(cluster, each)
            while not all(each.double.received for each in limited):
                await send_until_served(cluster, "entry0", "/l/x")
            await asyncio.sleep(0.5)
            await cluster.kill("entry1")
            await stack.enter_async_context(
                announced_upstream(cluster, "free", "desk", respond_without_limit)
            )
            await cluster.start("entry1")
            await send_until_served(cluster, "entry1", "/l/x")
            before = sum(len(each.double.received) for each in limited)
            for _ in range(30):
                await send_until_served(cluster, "entry1", "/l/x")
            # An entry without the limits asks each upstream once before it knows them.
            received = sum(len(each.double.received) for each in limited) - before
            assert received <= LIMITED_UPSTREAMS / 2
