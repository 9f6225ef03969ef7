"""End-to-end tests with separate processes: callers, entries, control, agents, upstreams."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from lycheefall._fakes.tokens import expected_tokens
from processes.fleet import Fleet, configuration_text

TEAM_HEADERS = {"X-Lycheefall-Team": "team-1"}
ANSWER_TOKENS = 12


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run 4 entries, three of them with control, and 19 upstreams with their agents."""
    fleet = Fleet(tmp_path, engines=16, services=3)
    fleet.assign_addresses()
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.close()


def chat_body(prompt: str, *, stream: bool) -> dict[str, object]:
    """Return the body of a chat request."""
    return {
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": ANSWER_TOKENS,
        "stream": stream,
    }


def time_ms() -> int:
    """Return the Unix time in milliseconds, for an idempotency key."""
    return time.time_ns() // 1_000_000


async def read_streamed_answer(response: aiohttp.ClientResponse) -> tuple[str, dict[str, object]]:
    """Return the text and the outcome of a streamed answer."""
    text, outcome = "", {}
    async for line in response.content:
        if not line.startswith(b"data: {"):
            continue
        event = json.loads(line[6:])
        text += event["choices"][0]["delta"].get("content", "")
        outcome = event.get("lycheefall", outcome)
    return text, outcome


class TestWholePath:
    async def test_answers(self, fleet: Fleet) -> None:
        """Guards against answers that are truncated, mixed up or sent before a file is accepted."""
        async with aiohttp.ClientSession() as session:
            applied = fleet.apply(configuration_text())
            assert applied.returncode == 0, applied.stdout + applied.stderr
            await fleet.wait_until_ready(session)
            await self.check_chats(fleet, session)
            await self.check_directory(fleet, session)
            await self.check_refusals(fleet, session)
            await self.check_bookings(fleet, session)

    async def check_chats(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        async def ask(number: int) -> object:
            prompt = f"match clamp {number}"
            body = chat_body(prompt, stream=number % 2 == 0)
            url = fleet.url(number % 4, "/v1/chat/completions")
            expected = "".join(expected_tokens(prompt, ANSWER_TOKENS))
            async with session.post(url, json=body, headers=TEAM_HEADERS) as response:
                assert response.status == 200, await response.text()
                assert response.headers["X-Lycheefall-Run"] == "ran"
                if number % 2:
                    answer = await response.json()
                    assert answer["choices"][0]["message"]["content"] == expected
                    return response.headers["X-Lycheefall-Upstream"]
                text, outcome = await read_streamed_answer(response)
                assert text == expected
                return outcome["upstream"]

        served = await asyncio.gather(*(ask(number) for number in range(200)))
        assert len(set(served)) == 16

    async def check_directory(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        async with session.get(fleet.url(0, "/v1/entries"), headers=TEAM_HEADERS) as response:
            answer = await response.json()
        addresses = {fleet.addresses[f"entry-{number}"] for number in range(4)}
        assert answer["ttl_s"] == 1.0
        assert set(answer["addresses"]) <= addresses
        assert answer["addresses"]

    async def check_refusals(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        chat, bookings = "/v1/chat/completions", "/v1/services/counter/bookings"
        body = json.dumps(chat_body("x", stream=False))
        cases = [
            (chat, body, {}, 2002),
            (chat, "{", TEAM_HEADERS, 2000),
            (chat, '{"model": 1}', TEAM_HEADERS, 2010),
            (chat, "x" * 2_000_000, TEAM_HEADERS, 2001),
            (chat, body, TEAM_HEADERS | {"X-Lycheefall-Priority": "none"}, 2004),
            (chat, body, TEAM_HEADERS | {"X-Lycheefall-Timeout-S": "soon"}, 2005),
            ("/v1/services/none/x", "{}", TEAM_HEADERS, 2003),
            (bookings, "{}", TEAM_HEADERS, 2006),
            (bookings, "{}", TEAM_HEADERS | {"Idempotency-Key": "no time"}, 2007),
        ]
        for path, data, headers, code in cases:
            async with session.post(fleet.url(1, path), data=data, headers=headers) as response:
                answer = await response.json()
                assert (answer["code"], answer["run"]) == (code, "not-run")
        assert fleet.executions() == []

    async def check_bookings(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        async def book(key: str, entry: int) -> tuple[str, str]:
            url = fleet.url(entry, "/v1/services/counter/bookings")
            headers = TEAM_HEADERS | {"Idempotency-Key": key}
            async with session.post(url, json={"item": key}, headers=headers) as response:
                return response.headers["X-Lycheefall-Run"], await response.text()

        keys = [f"{time_ms()}-{number}" for number in range(20)]
        tries = [(key, entry) for key in keys for entry in (0, 1, 2, 3, 0)]
        answers = await asyncio.gather(*(book(key, entry) for key, entry in tries))
        by_key: dict[str, set[tuple[str, str]]] = {}
        for (key, _), result in zip(tries, answers, strict=True):
            by_key.setdefault(key, set()).add(result)
        assert all(len(results) == 1 for results in by_key.values()), by_key
        assert all(run == "ran" for (run, _), in by_key.values())
        assert len(fleet.executions()) == len(keys)
