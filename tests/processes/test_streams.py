"""Answers to chats while engines, agents and connections fail during the streams."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import pytest

from lycheefall._fakes.forwarder import Forwarder
from lycheefall._fakes.tokens import expected_tokens
from processes.chats import ChatAnswer, ask_chat
from processes.fleet import Fleet, kill_and_restart, pause_and_resume, running
from processes.test_whole_path import TEAM_HEADERS, chat_body

SEEDS = (21,)
RUN_S = 6.0
CALLERS = 24
ANSWER_TOKENS = 80
ENGINES = 4


@dataclass
class Results:
    """Outcomes of the callers' requests, and the answers that are wrong."""

    outcomes: Counter[str] = field(default_factory=Counter)
    mismatches: list[str] = field(default_factory=list)
    resumed: int = 0

    def check(self, prompt: str, got: ChatAnswer) -> None:
        """Compare one answer with the expected text of its prompt."""
        self.outcomes[f"{got.code} {got.run}"] += 1
        expected = "".join(expected_tokens(prompt, ANSWER_TOKENS))
        if got.code == 1000:
            self.resumed += got.attempts > 1
            is_correct = got.text == expected
        else:
            # Tokens prove that the request ran; a code below 2000 means that no final event came.
            is_correct = expected.startswith(got.text) and got.code >= 2000
            is_correct = is_correct and (got.run != "not-run" or not got.text)
        if not is_correct:
            self.mismatches.append(f"{prompt}: {got}")


async def ask(fleet: Fleet, session: aiohttp.ClientSession, entry: int, prompt: str) -> ChatAnswer:
    """Send one chat; three in four are streamed, by the number at the end of the prompt."""
    stream = int(prompt.rpartition(" ")[2]) % 4 != 0
    body = chat_body(prompt, stream=stream) | {"max_tokens": ANSWER_TOKENS}
    url = fleet.url(entry, "/v1/chat/completions")
    return await ask_chat(session, url, body)


async def inject_faults(
    fleet: Fleet, links: list[Forwarder], rng: random.Random, until_s: float
) -> Counter[str]:
    """Kill or pause one process, or cut or silence one link, at a time."""
    loop = asyncio.get_running_loop()
    engines = [f"engine-{n}" for n in range(ENGINES)]
    names = engines + [f"{name}-agent" for name in engines]

    async def cut() -> None:
        rng.choice(links).close_connections()

    async def silence() -> None:
        rng.choice(links).blackhole_open_connections()

    faults: dict[str, Callable[[], Awaitable[None]]] = {
        "kill": lambda: kill_and_restart(fleet, rng.choice(names), rng.uniform(0.1, 0.8)),
        "freeze": lambda: pause_and_resume(fleet, rng.choice(names), rng.uniform(0.3, 1.8)),
        "cut": cut,
        "silence": silence,
    }
    done: Counter[str] = Counter()
    while loop.time() < until_s:
        kind = rng.choice(sorted(faults))
        await faults[kind]()
        done[kind] += 1
        await asyncio.sleep(rng.uniform(0.05, 0.3))
    return done


async def run_callers(
    fleet: Fleet, session: aiohttp.ClientSession, links: list[Forwarder], seed: int
) -> Results:
    """Run callers and fault injection concurrently."""
    results = Results()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RUN_S

    async def caller(number: int) -> None:
        count = 0
        while loop.time() < end_s:
            count += 1
            prompt = f"match clamp of caller {number} try {count}"
            results.check(prompt, await ask(fleet, session, (number + count) % 4, prompt))
            # Limits the load of refused callers on the machine.
            await asyncio.sleep(0.01)

    faults = asyncio.create_task(inject_faults(fleet, links, random.Random(seed), end_s))
    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    print(f"seed {seed}: faults {dict(await faults)}")
    return results


async def forward_agents(fleet: Fleet) -> list[Forwarder]:
    """Open a forwarder between the entries and each agent of an engine."""
    links = []
    for number in range(ENGINES):
        name = f"engine-agent-{number}"
        link = Forwarder(fleet.addresses[name])
        await link.open()
        assert link.address is not None
        fleet.address_overrides[name] = link.address
        links.append(link)
    return links


async def statistics(fleet: Fleet, session: aiohttp.ClientSession, engine: int) -> dict[str, int]:
    """Return the counters of an engine."""
    async with session.get(f"http://{fleet.addresses[f'engine-{engine}']}/statistics") as response:
        counters: dict[str, int] = await response.json()
        return counters


async def generated_tokens(fleet: Fleet, session: aiohttp.ClientSession) -> int:
    """Return the number of tokens that all engines have generated."""
    counters = [await statistics(fleet, session, number) for number in range(ENGINES)]
    return sum(each["generated_tokens"] for each in counters)


@pytest.fixture
async def forwarded_fleet(tmp_path: Path) -> AsyncIterator[tuple[Fleet, list[Forwarder]]]:
    """Prepare a fleet with forwarders between entries and agents."""
    fleet = Fleet(tmp_path, engines=ENGINES)
    fleet.assign_addresses()
    links = await forward_agents(fleet)
    try:
        yield fleet, links
    finally:
        for link in links:
            await link.close()


class TestStreams:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_complete_or_error(
        self, forwarded_fleet: tuple[Fleet, list[Forwarder]], seed: int
    ) -> None:
        """Guards against answers that are mixed up, truncated or have duplicate tokens."""
        fleet, links = forwarded_fleet
        async with running(fleet) as session:
            results = await run_callers(fleet, session, links, seed)
        print(f"seed {seed}: outcomes {dict(results.outcomes)}, {results.resumed} streams resumed")
        assert results.mismatches == []
        assert results.outcomes["4002 unknown"] == 0
        assert results.resumed > 0
        assert results.outcomes["1000 ran"] > sum(results.outcomes.values()) / 2

    async def test_cut_connection(self, forwarded_fleet: tuple[Fleet, list[Forwarder]]) -> None:
        """Guards against a stream that waits for frames lost with a replaced connection."""
        fleet, links = forwarded_fleet
        results = Results()
        prompts = [f"cut {number}" for number in range(16)]
        async with running(fleet) as session:
            tasks = [
                asyncio.create_task(ask(fleet, session, number % 4, prompt))
                for number, prompt in enumerate(prompts)
            ]
            async with asyncio.timeout(10.0):
                while await generated_tokens(fleet, session) < len(prompts) * 10:
                    await asyncio.sleep(0.02)
            for link in links:
                link.close_connections()
            for prompt, got in zip(prompts, await asyncio.gather(*tasks), strict=True):
                results.check(prompt, got)
        assert results.mismatches == []
        assert results.outcomes == {"1000 ran": len(prompts)}
        assert results.resumed > 0

    async def test_caller_disconnects(self, tmp_path: Path) -> None:
        """Guards against an engine that keeps generating after its caller has disconnected."""
        fleet = Fleet(tmp_path, engines=1)
        fleet.assign_addresses()
        callers = 8
        async with running(fleet) as session:
            before = (await statistics(fleet, session, 0))["withdrawn"]
            for number in range(callers):
                await disconnect_early(fleet, session, number)
            await wait_until_withdrawn(fleet, session, before + callers)

    async def test_entry_is_killed(self, tmp_path: Path) -> None:
        """Guards against an engine that keeps generating after its entry was killed."""
        fleet = Fleet(tmp_path, engines=1)
        fleet.assign_addresses()
        body = chat_body("long 0", stream=True) | {"max_tokens": 6_000}
        async with running(fleet) as session:
            before = (await statistics(fleet, session, 0))["withdrawn"]
            url = fleet.url(3, "/v1/chat/completions")
            async with session.post(url, json=body, headers=TEAM_HEADERS) as response:
                await response.content.readline()
                fleet.kill("entry-3")
                await wait_until_withdrawn(fleet, session, before + 1)


async def wait_until_withdrawn(fleet: Fleet, session: aiohttp.ClientSession, count: int) -> None:
    """Wait until the engine has cancelled this many generations."""
    async with asyncio.timeout(10.0):
        while (await statistics(fleet, session, 0))["withdrawn"] < count:
            await asyncio.sleep(0.05)


async def disconnect_early(fleet: Fleet, session: aiohttp.ClientSession, number: int) -> None:
    """Request an answer that takes a minute, and disconnect once it is generated."""
    stream = number % 2 == 0
    body = chat_body(f"long {number}", stream=stream) | {"max_tokens": 6_000}
    url = fleet.url(number % 4, "/v1/chat/completions")
    submitted = (await statistics(fleet, session, 0))["submitted"]
    request = asyncio.create_task(session.post(url, json=body, headers=TEAM_HEADERS))
    async with asyncio.timeout(10.0):
        while (await statistics(fleet, session, 0))["submitted"] == submitted:
            await asyncio.sleep(0.02)
    if stream:
        response = await request
        await response.content.readline()
        response.close()
    request.cancel()
