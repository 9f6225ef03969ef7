"""Graceful shutdowns under load: no request in flight is aborted."""

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import pytest

from processes.callers import SENDERS, DirectoryClient, read_stream, send_short_chat
from processes.control_harness import POLL_S, eventually
from processes.fleet import Fleet, running
from processes.test_whole_path import TEAM_HEADERS, chat_body

CALLERS = 32
LONG_TOKENS = 250
LONG_STREAMS = 8
LOAD_BEFORE_S = 1.0
END_TIMEOUT_S = 30.0
LEAVING_ENTRY = 3
# A caller uses an address until shortly before the TTL of the directory's answer expires.
USE_BEFORE_END_S = 0.02
# One entry without a control replica and one with it.
ENTRIES = ("entry-3", "entry-0")
AGENTS = ("engine-0-agent", "service-0-agent")


@asynccontextmanager
async def directory_load(fleet: Fleet) -> AsyncIterator[Counter[str]]:
    """Send short chats and bookings through the entries that the directory names."""
    codes: Counter[str] = Counter()
    stop = asyncio.Event()

    async def caller(number: int, session: aiohttp.ClientSession) -> None:
        kind = sorted(SENDERS)[number % 2]
        directory = DirectoryClient(fleet, session, number % fleet.entries)
        for count in range(100_000):
            if stop.is_set():
                return
            try:
                entry = await directory.entry()
                _, code = await SENDERS[kind](fleet, session, entry, f"{kind}-{number}-{count}")
            except (aiohttp.ClientError, TimeoutError) as error:
                code = f"{kind} {error!r}"
            codes[code] += 1

    # Each caller has its own connections, which it keeps open between requests.
    timeout = aiohttp.ClientTimeout(total=10.0)
    sessions = [aiohttp.ClientSession(timeout=timeout) for _ in range(CALLERS)]
    callers = [asyncio.create_task(caller(*each)) for each in enumerate(sessions)]
    try:
        yield codes
    finally:
        stop.set()
        await asyncio.gather(*callers)
        for session in sessions:
            await session.close()


async def last_listing(fleet: Fleet, session: aiohttp.ClientSession) -> tuple[float, float]:
    """Query the leaving entry until its directory no longer lists it.

    Return the time of the last answer that listed it, and the TTL of that answer.
    """
    loop = asyncio.get_running_loop()
    listed_s, ttl_s = loop.time(), 0.0
    async with asyncio.timeout(END_TIMEOUT_S):
        while True:
            url = fleet.url(LEAVING_ENTRY, "/v1/entries")
            async with session.get(url, headers=TEAM_HEADERS) as response:
                answer = await response.json()
            if fleet.addresses[f"entry-{LEAVING_ENTRY}"] not in answer["addresses"]:
                return listed_s, ttl_s
            listed_s, ttl_s = loop.time(), answer["ttl_s"]


async def wait_until_closed(fleet: Fleet, entry: int) -> None:
    """Wait until an entry refuses connections."""
    host, port = fleet.addresses[f"entry-{entry}"].split(":")
    async with asyncio.timeout(END_TIMEOUT_S):
        with contextlib.suppress(ConnectionRefusedError):
            while True:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                await asyncio.sleep(POLL_S)


async def restart(fleet: Fleet, name: str) -> int:
    """Shut a process down, restart it, and return its exit code."""
    process = fleet.terminate(name)
    await eventually(lambda: process.poll() is not None, END_TIMEOUT_S)
    fleet.start(name)
    return process.returncode


class TestShutdown:
    @pytest.mark.parametrize("names", [ENTRIES, AGENTS], ids=["entries", "agents"])
    async def test_rolling_restart(self, tmp_path: Path, names: tuple[str, ...]) -> None:
        """Guards against requests that a graceful shutdown aborts or answers as unknown."""
        fleet = Fleet(tmp_path, engines=2, services=2)
        fleet.assign_addresses()
        async with running(fleet) as session:
            async with directory_load(fleet) as codes:
                for name in names:
                    streams = [
                        asyncio.create_task(
                            read_stream(fleet, session, n % 4, f"{name} {n}", LONG_TOKENS)
                        )
                        for n in range(LONG_STREAMS)
                    ]
                    await asyncio.sleep(LOAD_BEFORE_S)
                    assert await restart(fleet, name) == 0
                    results = await asyncio.gather(*streams)
                    assert [each.is_complete for each in results] == [True] * LONG_STREAMS
                    assert [each.outcome["attempts"] for each in results] == [1] * LONG_STREAMS
                    await fleet.wait_until_ready(session)
            print(f"{names}: {dict(codes)}")
            assert set(codes) == {"1000"}

    async def test_last_answer_of_directory(self, tmp_path: Path) -> None:
        """Guards against an entry that exits while callers may still have its address cached."""
        fleet = Fleet(tmp_path, engines=1)
        fleet.assign_addresses()
        async with running(fleet) as session:
            loop = asyncio.get_running_loop()
            process = fleet.terminate(f"entry-{LEAVING_ENTRY}")
            listed_s, ttl_s = await last_listing(fleet, session)
            await asyncio.sleep(listed_s + ttl_s - USE_BEFORE_END_S - loop.time())
            headers = {"Connection": "close"}
            async with aiohttp.ClientSession(headers=headers) as caller:
                answer = await send_short_chat(fleet, caller, LEAVING_ENTRY, "late")
            assert answer == (200, "1000")
            await eventually(lambda: process.poll() is not None, END_TIMEOUT_S)

    async def test_slow_body(self, tmp_path: Path) -> None:
        """Guards against a shutdown that aborts a request whose body arrives slowly."""
        fleet = Fleet(tmp_path, engines=1)
        fleet.assign_addresses()
        async with running(fleet) as session:
            url = fleet.url(LEAVING_ENTRY, "/v1/chat/completions")
            body = json.dumps(chat_body("slow body", stream=False)).encode()
            stopped = asyncio.Event()

            async def slow() -> AsyncIterator[bytes]:
                yield body[:10]
                await stopped.wait()
                yield body[10:]

            request = asyncio.create_task(session.post(url, data=slow(), headers=TEAM_HEADERS))
            await asyncio.sleep(LOAD_BEFORE_S)
            process = fleet.terminate(f"entry-{LEAVING_ENTRY}")
            await wait_until_closed(fleet, LEAVING_ENTRY)
            await asyncio.sleep(LOAD_BEFORE_S)
            stopped.set()
            async with asyncio.timeout(END_TIMEOUT_S):
                response = await request
            assert (response.status, response.headers["X-Lycheefall-Code"]) == (200, "1000")
            await eventually(lambda: process.poll() is not None, END_TIMEOUT_S)
