"""Tests of lookups whose upstreams need longer than the route's target, in calm."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

import pytest

from entry_harness import read_response, request
from processes.platform_harness import (
    INITIAL_FILE,
    ROUTES,
    PlatformCluster,
    announced_upstream,
    start_platform,
)
from upstream_double import Exchange, complete_response

pytestmark = pytest.mark.processes

CALLERS = 60
LOAD_S = 6.0
DEADLINE_MS = 15_000
SLOW_LOOKUP = ROUTES[2] | {"Name": "slow", "PathPrefix": "/slow/", "TimeoutMs": DEADLINE_MS}


async def work(exchange: Exchange) -> None:
    """Answer after the time that the path states."""
    await asyncio.sleep(float(exchange.received.request_line.split(" ")[1].rpartition("/")[2]))
    await exchange.send(complete_response(exchange.received))


async def run_caller(cluster: PlatformCluster, number: int, statuses: Counter[int]) -> None:
    """Send lookups of 0.2 to 3 s one after the other."""
    loop = asyncio.get_running_loop()
    random = Random(number)
    ends_s = loop.time() + LOAD_S
    host, _, port = cluster.machines["entry0"].caller_address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    turn = 0
    while loop.time() < ends_s:
        path = f"/slow/{random.uniform(0.2, 3.0):.2f}"
        writer.write(request(path, attempt=f"{number}-{turn}", deadline_ms=DEADLINE_MS))
        statuses[(await read_response(reader)).status] += 1
        turn += 1
    writer.close()


async def test_lookups_longer_than_the_target(tmp_path: Path) -> None:
    """Guards against 502 for a lookup whose upstream would respond before the deadline."""
    statuses: Counter[int] = Counter()
    async with start_platform(tmp_path, 1, 1) as cluster, AsyncExitStack() as stack:
        await cluster.change_file(**INITIAL_FILE | {"Routes": [SLOW_LOOKUP]})
        upstreams = [
            await stack.enter_async_context(announced_upstream(cluster, f"d{n}", "desk", work))
            for n in range(4)
        ]
        await cluster.wait_until_ready()
        await asyncio.sleep(1.0)
        await asyncio.gather(*(run_caller(cluster, n, statuses) for n in range(CALLERS)))
        sent = sum(len(each.double.received) for each in upstreams)
    print(f"statuses {dict(statuses)}, {sent} attempts")
    assert statuses[502] == 0
    assert statuses[200] > CALLERS
