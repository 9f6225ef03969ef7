"""A request that crashes each engine that runs it, sent again and again beside innocent load."""

import asyncio
from collections import Counter
from pathlib import Path

import aiohttp
import pytest

from lycheefall._fakes.tokens import expected_tokens
from processes.chats import Got, ask_chat
from processes.fleet import Fleet, running
from processes.test_whole_path import ANSWER_TOKENS, chat_body

MARKER = "crashes engines"
ENGINES = 4
# Callers of the crashing request, and how they go from entry to entry.
ALONE = (1, 1)
IN_PARALLEL = (12, 0)
INNOCENT_CALLERS = 16
RESTART_AFTER_S = 0.5
# Between two tries of one caller of the crashing request.
AGAIN_AFTER_S = 0.02
# Tries that each of them makes after its first 3007.
TRIES_AFTER_REFUSAL = 20
LIMIT_S = 60.0


async def restart_crashed(fleet: Fleet, lost: list[str], names: list[str]) -> None:
    """Start each upstream again that has ended, and note it."""
    while True:
        for name in names:
            if fleet.processes[name].poll() is not None:
                lost.append(name)
                await asyncio.sleep(RESTART_AFTER_S)
                fleet.start(name)
        await asyncio.sleep(0.02)


async def send_again(
    fleet: Fleet, session: aiohttp.ClientSession, first: int, step: int, lost: list[str]
) -> list[Got]:
    """Send the crashing request until well after it is refused, or until it took too many."""
    entry = first
    answers: list[Got] = []
    refused = 0
    while refused < TRIES_AFTER_REFUSAL and len(lost) <= 2:
        url = fleet.url(entry % 4, "/v1/chat/completions")
        entry += step
        answers.append(await ask_chat(session, url, chat_body(MARKER, stream=False)))
        refused = refused + 1 if answers[-1].code == 3007 else 0
        await asyncio.sleep(AGAIN_AFTER_S)
    return answers


async def ask_innocent(
    fleet: Fleet, session: aiohttp.ClientSession, number: int, stop: asyncio.Event
) -> list[str]:
    """Ask for one answer after the other; return those that are not whole."""
    wrong: list[str] = []
    count = 0
    while not stop.is_set():
        count += 1
        prompt = f"innocent {number} {count}"
        url = fleet.url((number + count) % 4, "/v1/chat/completions")
        got = await ask_chat(session, url, chat_body(prompt, stream=number % 2 == 0))
        if got.text != "".join(expected_tokens(prompt, ANSWER_TOKENS)) or got.code != 1000:
            wrong.append(f"{prompt}: {got}")
        await asyncio.sleep(AGAIN_AFTER_S)
    return wrong


class TestCrashingRequests:
    @pytest.mark.parametrize("callers", [ALONE, IN_PARALLEL])
    async def test_two_engines_at_most(self, tmp_path: Path, callers: tuple[int, int]) -> None:
        """Guards against a request that takes one engine after the other."""
        engines = [f"engine-{n}" for n in range(ENGINES)]
        flags = {name: ["--crash-marker", MARKER] for name in engines}
        fleet = Fleet(tmp_path, engines=ENGINES, fake_flags=flags)
        fleet.assign_addresses()
        lost: list[str] = []
        stop = asyncio.Event()
        async with running(fleet) as session:
            restarts = asyncio.create_task(restart_crashed(fleet, lost, engines))
            innocent = [
                asyncio.create_task(ask_innocent(fleet, session, number, stop))
                for number in range(INNOCENT_CALLERS)
            ]
            async with asyncio.timeout(LIMIT_S):
                count, step = callers
                sent = [send_again(fleet, session, first, step, lost) for first in range(count)]
                answers = await asyncio.gather(*sent)
                stop.set()
                wrong = [each for batch in await asyncio.gather(*innocent) for each in batch]
            restarts.cancel()
            asked = fleet.requests()
        told = Counter(f"{got.code} {got.run}" for batch in answers for got in batch)
        print(f"lost {lost}, told {dict(told)}, {len(asked) - 1} innocent requests")
        assert 1 <= len(lost) <= 2
        assert wrong == []
        assert not any(got.code == 1000 for batch in answers for got in batch)
