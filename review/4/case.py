"""The last tenant is taken away by a new configuration; are requests with any key run?"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    KEY,
    Platform,
    Run,
    Server,
    call,
    client_headers,
    configuration,
    route,
    run_case,
)

# No configuration of this case holds it.
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
REQUESTS = 10
SERVICE = "wuno96b"
ROUTES = [route("stock-booking", "/puxa403/", SERVICE, "non_idempotent")]


async def work(run: Run) -> None:
    await asyncio.sleep(0.02)
    await run.answer(b"x" * 800)


async def case(platform: Platform, has_trouble: bool) -> bool:
    await platform.start_all(controls=3, entries=2)
    await platform.put_config(configuration(1, ROUTES), "version 1 with one tenant")
    servers = [
        Server(platform, f"i-{number}", SERVICE, platform.new_address(100 + number), work)
        for number in range(3)
    ]
    for server in servers:
        await server.start()
    await platform.wait_until_ready()
    # All machines are in touch after StabilityWindowMs without a disruption.
    await asyncio.sleep(4.0)
    statuses: dict[str, Counter[int | None]] = {}

    async def book(what: str, key: str) -> None:
        counts = statuses.setdefault(what, Counter())
        for number in range(REQUESTS):
            entry = platform.entries[number % len(platform.entries)]
            attempt = f"{what}-{number}"
            headers = client_headers(attempt, 1013, Api_Key=key)
            answer = await call(entry.front, "POST", f"/puxa403/{what}", b"b" * 600, headers)
            status = None if answer is None else answer.status
            counts[status] += 1
            platform.record(f"client: {attempt} at {entry.name}: {status}")

    await book("known-key-before", KEY)
    await book("unknown-key-before", UNKNOWN_KEY)
    if has_trouble:
        without_tenants = configuration(2, ROUTES, tenants=[])
        await platform.put_config(without_tenants, "version 2, in which Tenants is an empty list")
    # More than ConfigApplyMs.
    await asyncio.sleep(5.0)
    await book("first-key-after", KEY)
    await book("unknown-key-after", UNKNOWN_KEY)
    for what, counts in statuses.items():
        platform.record(f"{what}: {dict(counts)}")
    ran = sum(run.attempt.startswith("unknown-key") for server in servers for run in server.runs)
    platform.record(f"{ran} requests ran with a key that no configuration ever held")
    return ran > 0


run_case(Path(__file__).parent, case)
