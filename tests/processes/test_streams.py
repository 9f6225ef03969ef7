"""Answers of chats while engines, agents and links fail in mid-stream."""

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
from processes.chats import Got, ask_chat
from processes.fleet import Fleet, kill, pause_and_resume, running
from processes.test_whole_path import TEAM, chat_body

SEEDS = (21,)
RUN_S = 6.0
CALLERS = 24
ANSWER_TOKENS = 80
ENGINES = 4


@dataclass
class Answers:
    """What the callers got, and what is wrong with it."""

    ends: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    resumed: int = 0

    def judge(self, prompt: str, got: Got) -> None:
        """Compare one answer with the text that belongs to its prompt."""
        self.ends[f"{got.code} {got.run}"] += 1
        expected = "".join(expected_tokens(prompt, ANSWER_TOKENS))
        if got.code == 1000:
            self.resumed += got.attempts > 1
            is_right = got.text == expected
        else:
            # Tokens prove that it ran; a code below 2000 stands for no end at all.
            is_right = expected.startswith(got.text) and got.code >= 2000
            is_right = is_right and (got.run != "not-run" or not got.text)
        if not is_right:
            self.wrong.append(f"{prompt}: {got}")


async def ask(fleet: Fleet, session: aiohttp.ClientSession, entry: int, prompt: str) -> Got:
    """Ask for one answer; three in four are streamed, by the number that ends the prompt."""
    stream = int(prompt.rpartition(" ")[2]) % 4 != 0
    body = chat_body(prompt, stream=stream) | {"max_tokens": ANSWER_TOKENS}
    url = fleet.url(entry, "/v1/chat/completions")
    return await ask_chat(session, url, body)


async def break_things(
    fleet: Fleet, links: list[Forwarder], rng: random.Random, until_s: float
) -> Counter[str]:
    """Kill and freeze one process at a time, and cut or silence its links."""
    loop = asyncio.get_running_loop()
    engines = [f"engine-{n}" for n in range(ENGINES)]
    names = engines + [f"{name}-agent" for name in engines]

    async def cut() -> None:
        rng.choice(links).cut()

    async def silence() -> None:
        rng.choice(links).silence_open_connections()

    faults: dict[str, Callable[[], Awaitable[None]]] = {
        "kill": lambda: kill(fleet, rng.choice(names), rng.uniform(0.1, 0.8)),
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
) -> Answers:
    """Run callers and faults side by side."""
    answers = Answers()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RUN_S

    async def caller(number: int) -> None:
        count = 0
        while loop.time() < end_s:
            count += 1
            prompt = f"match clamp of caller {number} try {count}"
            answers.judge(prompt, await ask(fleet, session, (number + count) % 4, prompt))
            # A refused caller comes back soon, but leaves the machine some time.
            await asyncio.sleep(0.01)

    faults = asyncio.create_task(break_things(fleet, links, random.Random(seed), end_s))
    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    print(f"seed {seed}: faults {dict(await faults)}")
    return answers


async def detour_agents(fleet: Fleet) -> list[Forwarder]:
    """Put a forwarder between the entries and each agent of an engine."""
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


async def generated(fleet: Fleet, session: aiohttp.ClientSession) -> int:
    """Return how many tokens all engines have generated."""
    counters = [await statistics(fleet, session, number) for number in range(ENGINES)]
    return sum(each["generated_tokens"] for each in counters)


@pytest.fixture
async def forwarded(tmp_path: Path) -> AsyncIterator[tuple[Fleet, list[Forwarder]]]:
    """Plan a fleet with forwarders between entries and agents."""
    fleet = Fleet(tmp_path, engines=ENGINES)
    fleet.assign_addresses()
    links = await detour_agents(fleet)
    try:
        yield fleet, links
    finally:
        for link in links:
            await link.close()


class TestStreams:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_whole_or_told(self, forwarded: tuple[Fleet, list[Forwarder]], seed: int) -> None:
        """Guards against answers that are mixed up, cut short, or have tokens twice."""
        fleet, links = forwarded
        async with running(fleet) as session:
            answers = await run_callers(fleet, session, links, seed)
        print(f"seed {seed}: ends {dict(answers.ends)}, {answers.resumed} streams resumed")
        assert answers.wrong == []
        assert answers.ends["4002 unknown"] == 0
        assert answers.resumed > 0
        assert answers.ends["1000 ran"] > sum(answers.ends.values()) / 2

    async def test_cut_connection(self, forwarded: tuple[Fleet, list[Forwarder]]) -> None:
        """Guards against a stream that waits for frames of a connection that was replaced."""
        fleet, links = forwarded
        answers = Answers()
        prompts = [f"cut {number}" for number in range(16)]
        async with running(fleet) as session:
            asked = [
                asyncio.create_task(ask(fleet, session, number % 4, prompt))
                for number, prompt in enumerate(prompts)
            ]
            async with asyncio.timeout(10.0):
                while await generated(fleet, session) < len(prompts) * 10:
                    await asyncio.sleep(0.02)
            for link in links:
                link.cut()
            for prompt, got in zip(prompts, await asyncio.gather(*asked), strict=True):
                answers.judge(prompt, got)
        assert answers.wrong == []
        assert answers.ends == {"1000 ran": len(prompts)}
        assert answers.resumed > 0

    async def test_caller_leaves(self, tmp_path: Path) -> None:
        """Guards against an engine that works on for a caller that has left."""
        fleet = Fleet(tmp_path, engines=1)
        fleet.assign_addresses()
        callers = 8
        async with running(fleet) as session:
            before = (await statistics(fleet, session, 0))["withdrawn"]
            for number in range(callers):
                await leave_early(fleet, session, number)
            await engine_stops(fleet, session, before + callers)

    async def test_entry_dies(self, tmp_path: Path) -> None:
        """Guards against an engine that works on for an entry that is gone."""
        fleet = Fleet(tmp_path, engines=1)
        fleet.assign_addresses()
        body = chat_body("long 0", stream=True) | {"max_tokens": 6_000}
        async with running(fleet) as session:
            before = (await statistics(fleet, session, 0))["withdrawn"]
            url = fleet.url(3, "/v1/chat/completions")
            async with session.post(url, json=body, headers=TEAM) as response:
                await response.content.readline()
                fleet.kill("entry-3")
                await engine_stops(fleet, session, before + 1)


async def engine_stops(fleet: Fleet, session: aiohttp.ClientSession, count: int) -> None:
    """Wait until the engine has stopped as many generations before their end."""
    async with asyncio.timeout(10.0):
        while (await statistics(fleet, session, 0))["withdrawn"] < count:
            await asyncio.sleep(0.05)


async def leave_early(fleet: Fleet, session: aiohttp.ClientSession, number: int) -> None:
    """Ask for an answer of a minute and leave once it runs."""
    stream = number % 2 == 0
    body = chat_body(f"long {number}", stream=stream) | {"max_tokens": 6_000}
    url = fleet.url(number % 4, "/v1/chat/completions")
    submitted = (await statistics(fleet, session, 0))["submitted"]
    request = asyncio.create_task(session.post(url, json=body, headers=TEAM))
    async with asyncio.timeout(10.0):
        while (await statistics(fleet, session, 0))["submitted"] == submitted:
            await asyncio.sleep(0.02)
    if stream:
        response = await request
        await response.content.readline()
        response.close()
    request.cancel()
