"""A request that crashes each engine that runs it, resent repeatedly beside unrelated load."""

import asyncio
from collections import Counter
from pathlib import Path

import aiohttp
import pytest

from lycheefall._fakes.tokens import expected_tokens
from processes.chats import ChatAnswer, ask_chat
from processes.fleet import Fleet, running
from processes.test_whole_path import ANSWER_TOKENS, chat_body

MARKER = "crashes engines"
ENGINES = 4
# Number of callers of the crashing request, and their step from one entry to the next.
SINGLE_CALLER = (1, 1)
PARALLEL_CALLERS = (12, 0)
UNRELATED_CALLERS = 16
RESTART_DELAY_S = 0.5
# Delay between two requests of one caller.
RETRY_DELAY_S = 0.02
# Requests that each caller of the crashing request sends after its first answer with 3007.
RETRIES_AFTER_REFUSAL = 20
LIMIT_S = 60.0


async def restart_crashed(fleet: Fleet, crashed: list[str], names: list[str]) -> None:
    """Restart each upstream that has exited, and record its name."""
    while True:
        for name in names:
            if fleet.processes[name].poll() is not None:
                crashed.append(name)
                await asyncio.sleep(RESTART_DELAY_S)
                fleet.start(name)
        await asyncio.sleep(0.02)


async def resend_until_refused(
    fleet: Fleet, session: aiohttp.ClientSession, first: int, step: int, crashed: list[str]
) -> list[ChatAnswer]:
    """Resend the crashing request until well after it is refused, or too many engines crashed."""
    entry = first
    answers: list[ChatAnswer] = []
    refused = 0
    while refused < RETRIES_AFTER_REFUSAL and len(crashed) <= 2:
        url = fleet.url(entry % 4, "/v1/chat/completions")
        entry += step
        answers.append(await ask_chat(session, url, chat_body(MARKER, stream=False)))
        refused = refused + 1 if answers[-1].code == 3007 else 0
        await asyncio.sleep(RETRY_DELAY_S)
    return answers


async def send_unrelated(
    fleet: Fleet, session: aiohttp.ClientSession, number: int, stop: asyncio.Event
) -> list[str]:
    """Send one chat after another; return the answers that are incomplete."""
    incomplete: list[str] = []
    count = 0
    while not stop.is_set():
        count += 1
        prompt = f"innocent {number} {count}"
        url = fleet.url((number + count) % 4, "/v1/chat/completions")
        answer = await ask_chat(session, url, chat_body(prompt, stream=number % 2 == 0))
        if answer.text != "".join(expected_tokens(prompt, ANSWER_TOKENS)) or answer.code != 1000:
            incomplete.append(f"{prompt}: {answer}")
        await asyncio.sleep(RETRY_DELAY_S)
    return incomplete


class TestCrashingRequests:
    @pytest.mark.parametrize("callers", [SINGLE_CALLER, PARALLEL_CALLERS])
    async def test_two_engines_at_most(self, tmp_path: Path, callers: tuple[int, int]) -> None:
        """Guards against a request that crashes one engine after another."""
        engines = [f"engine-{n}" for n in range(ENGINES)]
        flags = {name: ["--crash-marker", MARKER] for name in engines}
        fleet = Fleet(tmp_path, engines=ENGINES, fake_flags=flags)
        fleet.assign_addresses()
        crashed: list[str] = []
        stop = asyncio.Event()
        async with running(fleet) as session:
            restarts = asyncio.create_task(restart_crashed(fleet, crashed, engines))
            unrelated = [
                asyncio.create_task(send_unrelated(fleet, session, number, stop))
                for number in range(UNRELATED_CALLERS)
            ]
            async with asyncio.timeout(LIMIT_S):
                count, step = callers
                resends = [
                    resend_until_refused(fleet, session, first, step, crashed)
                    for first in range(count)
                ]
                answers = await asyncio.gather(*resends)
                stop.set()
                incomplete = [each for batch in await asyncio.gather(*unrelated) for each in batch]
            restarts.cancel()
            received = fleet.requests()
        counts = Counter(f"{answer.code} {answer.run}" for batch in answers for answer in batch)
        print(f"crashed {crashed}, answers {dict(counts)}, {len(received) - 1} unrelated requests")
        assert 1 <= len(crashed) <= 2
        assert incomplete == []
        assert not any(answer.code == 1000 for batch in answers for answer in batch)
