"""Callers that send requests continuously and record the answers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp

from lycheefall._fakes.tokens import expected_tokens
from processes.fleet import Fleet
from processes.test_whole_path import TEAM_HEADERS, read_streamed_answer, time_ms

CALLERS_PER_ENTRY = 2
TRY_TIMEOUT_S = 6.0
PAUSE_S = 0.02
SHORT_TOKENS = 2


@dataclass
class AnswerCounts:
    """Number of answers to short requests by kind, entry and result code."""

    codes: Counter[tuple[str, int, str]] = field(default_factory=Counter)

    def run_count(self, kind: str, entry: int) -> int:
        """Return the number of requests of a kind that an entry answered as run."""
        return self.codes[kind, entry, "1000"]


@dataclass
class StreamedAnswer:
    """A long stream as its caller received it."""

    prompt: str
    tokens: int
    text: str = ""
    outcome: dict[str, object] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Return whether all tokens arrived once and in order."""
        return self.text == "".join(expected_tokens(self.prompt, self.tokens))


async def read_stream(
    fleet: Fleet, session: aiohttp.ClientSession, entry: int, name: str, tokens: int
) -> StreamedAnswer:
    """Read a long stream to its end."""
    answer = StreamedAnswer(name, tokens)
    message = {"role": "user", "content": name}
    body = {"model": "m", "messages": [message], "max_tokens": tokens, "stream": True}
    url = fleet.url(entry, "/v1/chat/completions")
    async with session.post(url, json=body, headers=TEAM_HEADERS) as response:
        answer.text, answer.outcome = await read_streamed_answer(response)
    return answer


async def send_short_chat(
    fleet: Fleet, session: aiohttp.ClientSession, entry: int, name: str
) -> tuple[int, str]:
    """Send a short chat request; return the status and the result code."""
    message = {"role": "user", "content": name}
    body = {"model": "m", "messages": [message], "max_tokens": SHORT_TOKENS}
    url = fleet.url(entry, "/v1/chat/completions")
    async with session.post(url, json=body, headers=TEAM_HEADERS) as response:
        await response.read()
        return response.status, response.headers["X-Lycheefall-Code"]


async def send_booking(
    fleet: Fleet, session: aiohttp.ClientSession, entry: int, name: str
) -> tuple[int, str]:
    """Send a booking with a new key; return the status and the result code."""
    headers = TEAM_HEADERS | {"Idempotency-Key": f"{time_ms()}-{name}"}
    url = fleet.url(entry, "/v1/services/counter/bookings")
    async with session.post(url, json={"item": name}, headers=headers) as response:
        await response.read()
        return response.status, response.headers["X-Lycheefall-Code"]


SENDERS = {"chat": send_short_chat, "booking": send_booking}


@asynccontextmanager
async def short_load(
    fleet: Fleet, session: aiohttp.ClientSession, entries: range
) -> AsyncIterator[AnswerCounts]:
    """Send short chats and bookings through all entries while the context is open."""
    answers = AnswerCounts()
    stop = asyncio.Event()

    async def caller(kind: str, entry: int, number: int) -> None:
        count = 0
        while not stop.is_set():
            count += 1
            try:
                name = f"{kind}-{entry}-{number}-{count}"
                async with asyncio.timeout(TRY_TIMEOUT_S):
                    _, code = await SENDERS[kind](fleet, session, entry, name)
            except (aiohttp.ClientError, TimeoutError) as error:
                code = type(error).__name__
            answers.codes[kind, entry, code] += 1
            await asyncio.sleep(PAUSE_S)

    callers = [
        asyncio.create_task(caller(kind, entry, number))
        for kind in SENDERS
        for entry in entries
        for number in range(CALLERS_PER_ENTRY)
    ]
    try:
        yield answers
    finally:
        stop.set()
        await asyncio.gather(*callers)


async def statistics(fleet: Fleet, session: aiohttp.ClientSession, engine: str) -> dict[str, int]:
    """Return the statistics of a fake engine."""
    url = f"http://{fleet.addresses[engine]}/statistics"
    async with session.get(url) as response:
        return await response.json()


class DirectoryClient:
    """Client of the directory that caches the answer until its TTL has expired."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, first: int) -> None:
        self._numbers = {fleet.addresses[f"entry-{n}"]: n for n in range(fleet.entries)}
        self._fleet = fleet
        self._session = session
        self._entries = [first]
        self._expires_s = 0.0

    async def entry(self) -> int:
        """Return the first entry of the directory's answer."""
        loop = asyncio.get_running_loop()
        if loop.time() >= self._expires_s:
            url = self._fleet.url(self._entries[0], "/v1/entries")
            async with self._session.get(url, headers=TEAM_HEADERS) as response:
                answer = await response.json()
            self._entries = [self._numbers[each] for each in answer["addresses"]]
            self._expires_s = loop.time() + answer["ttl_s"]
        return self._entries[0]
