"""Chats and lookups answered as "not run", compared with the requests that upstreams received."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import pytest
from msgspec import Struct

from processes.fleet import Fleet, kill_and_restart, pause_and_resume, running
from processes.test_whole_path import TEAM_HEADERS, chat_body

SEEDS = (31,)
RUN_S = 6.0
CALLERS = 32
# Short timeouts, so that many requests expire before or after their start.
TIMEOUTS_S = (0.02, 0.1, 0.3, 1.0, 3.0)


class RequestResult(Struct, frozen=True):
    """The outcome of one request, which is identified by its prompt or path."""

    name: str
    code: str
    run: str


async def ask(
    fleet: Fleet, session: aiohttp.ClientSession, name: str, rng: random.Random
) -> RequestResult:
    """Send one chat or lookup with a unique name."""
    headers = TEAM_HEADERS | {"X-Lycheefall-Timeout-S": str(rng.choice(TIMEOUTS_S))}
    if rng.random() < 0.5:
        url = fleet.url(rng.randrange(4), "/v1/chat/completions")
        send = session.post(url, json=chat_body(name, stream=False), headers=headers)
    else:
        name = f"/balances/{name}"
        send = session.get(
            fleet.url(rng.randrange(4), f"/v1/services/counter{name}"), headers=headers
        )
    async with send as response:
        await response.read()
        answer = response.headers
        return RequestResult(name, answer["X-Lycheefall-Code"], answer["X-Lycheefall-Run"])


async def inject_faults(fleet: Fleet, rng: random.Random, until_s: float) -> Counter[str]:
    """Kill, pause or drain one upstream or agent at a time."""
    loop = asyncio.get_running_loop()
    agents = [f"{name}-agent" for name in fleet.upstream_names]

    async def drain(fleet: Fleet, name: str, pause_s: float) -> None:
        agent = f"{name.removesuffix('-agent')}-agent"
        process = fleet.terminate(agent)
        await asyncio.to_thread(process.wait, 30.0)
        fleet.start(agent)

    faults: dict[str, Callable[[Fleet, str, float], Awaitable[None]]] = {
        "drain": drain,
        "freeze": pause_and_resume,
        "kill": kill_and_restart,
    }
    done: Counter[str] = Counter()
    while loop.time() < until_s:
        kind = rng.choice(sorted(faults))
        await faults[kind](fleet, rng.choice(fleet.upstream_names + agents), rng.uniform(0.1, 0.8))
        done[kind] += 1
    return done


async def run_callers(
    fleet: Fleet, session: aiohttp.ClientSession, seed: int
) -> list[RequestResult]:
    """Run callers and fault injection concurrently."""
    answers: list[RequestResult] = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RUN_S

    async def caller(number: int) -> None:
        rng = random.Random(seed * 1000 + number)
        count = 0
        while loop.time() < end_s:
            count += 1
            answers.append(await ask(fleet, session, f"{number}-{count}", rng))
            await asyncio.sleep(0.005)

    faults = asyncio.create_task(inject_faults(fleet, random.Random(seed), end_s))
    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    print(f"seed {seed}: faults {dict(await faults)}")
    return answers


class TestNotRun:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_under_faults(self, tmp_path: Path, seed: int) -> None:
        """Guards against "not run" for a chat or lookup that reached an upstream."""
        fleet = Fleet(tmp_path, engines=2, services=2)
        fleet.assign_addresses()
        async with running(fleet) as session:
            answers = await run_callers(fleet, session, seed)
            arrived = fleet.requests()
        codes = Counter(f"{each.code} {each.run}" for each in answers)
        print(f"seed {seed}: {dict(codes)}")
        assert [each for each in answers if each.run == "not-run" and each.name in arrived] == []
        assert [each for each in answers if each.run == "ran" and each.name not in arrived] == []
        assert sum(each.run == "not-run" for each in answers) > CALLERS

    async def test_lookup_that_crashed_its_service(self, tmp_path: Path) -> None:
        """Guards against an HTTP client that retries a lookup and reports the second attempt."""
        flags = {"service-0": ["--crash-marker", "broken"]}
        fleet = Fleet(tmp_path, engines=1, services=1, fake_flags=flags)
        fleet.assign_addresses()
        async with running(fleet) as session:
            url = fleet.url(0, "/v1/services/counter/balances/broken")
            async with session.get(url, headers=TEAM_HEADERS) as response:
                run = response.headers["X-Lycheefall-Run"]
            assert fleet.requests()["/balances/broken"] > 0
        assert run == "unknown"
