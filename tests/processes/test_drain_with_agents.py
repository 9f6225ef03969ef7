"""Planned stops of entries and agents that are too short for the requests in flight."""

import asyncio
from pathlib import Path
from typing import Any

import aiohttp
from msgspec import Struct

from processes.callers import read_stream
from processes.control_harness import eventually
from processes.fleet import Fleet, running
from processes.test_whole_path import TEAM_HEADERS, chat_body, time_ms

DRAIN_S = 4.0
LEAVING_ENTRY = 3
# About 16 s at the engine.
LONG_TOKENS = 1_500
BEFORE_S = 0.5
# Longer than a drain and the timeout of any route.
CALL_TIMEOUT_S = 30.0


class Reply(Struct):
    """A reply as its caller received it, and the time it took."""

    status: int
    code: str
    run: str
    body: str
    took_s: float


async def ask(
    session: aiohttp.ClientSession, method: str, url: str, timeout_s: float = 20.0, **options: Any
) -> Reply:
    """Send a request with a timeout of its own; return the reply, or fail if it is not whole."""
    started_s = asyncio.get_running_loop().time()
    headers = TEAM_HEADERS | {"X-Lycheefall-Timeout-S": str(timeout_s)}
    headers |= options.pop("headers", {})
    async with session.request(method, url, headers=headers, **options) as response:
        body = await response.text()
        took_s = asyncio.get_running_loop().time() - started_s
        code, run = (response.headers[f"X-Lycheefall-{name}"] for name in ("Code", "Run"))
        return Reply(response.status, code, run, body, took_s)


class Caller:
    """Sends one request of each kind to an entry."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, entry: int) -> None:
        self.fleet, self.session, self.entry = fleet, session, entry

    async def chat(self, name: str, *, timeout_s: float = 20.0, **changes: Any) -> Reply:
        url = self.fleet.url(self.entry, "/v1/chat/completions")
        body = chat_body(name, stream=False) | changes
        return await ask(self.session, "POST", url, timeout_s, json=body)

    async def lookup(self) -> Reply:
        url = self.fleet.url(self.entry, "/v1/services/counter/balances/7")
        return await ask(self.session, "GET", url)

    async def booking(self, name: str) -> Reply:
        url = self.fleet.url(self.entry, "/v1/services/counter/bookings")
        headers = {"Idempotency-Key": f"{time_ms()}-{name}"}
        return await ask(self.session, "POST", url, json={"item": name}, headers=headers)

    async def set_fault(self, upstream: str, fault: str) -> None:
        url = f"http://{self.fleet.addresses[upstream]}/fault"
        async with self.session.post(url, json={"fault": fault}) as response:
            assert response.status < 300


class TestEntry:
    async def test_requests_longer_than_the_drain(self, tmp_path: Path) -> None:
        """Guards against requests that run and end without an answer when their entry stops."""
        fleet = Fleet(tmp_path, engines=1, drain_s=DRAIN_S)
        fleet.assign_addresses()
        async with running(fleet) as session:
            caller = Caller(fleet, session, LEAVING_ENTRY)
            stream = asyncio.create_task(caller.chat("long", stream=True, max_tokens=LONG_TOKENS))
            whole = asyncio.create_task(caller.chat("whole", max_tokens=LONG_TOKENS))
            await asyncio.sleep(BEFORE_S)
            await caller.set_fault("service-0", "stall-after-run")
            booking = asyncio.create_task(caller.booking("before"))
            await eventually(lambda: len(fleet.executions()) == 1, DRAIN_S)
            await caller.set_fault("service-0", "stall")
            lookup = asyncio.create_task(caller.lookup())
            await asyncio.sleep(BEFORE_S)
            process = fleet.terminate(f"entry-{LEAVING_ENTRY}")
            async with asyncio.timeout(CALL_TIMEOUT_S):
                replies = await asyncio.gather(
                    stream, whole, booking, lookup, return_exceptions=True
                )
            await eventually(lambda: process.poll() is not None, CALL_TIMEOUT_S)
            assert [each for each in replies if not isinstance(each, Reply)] == []
            assert "event: error" in replies[0].body and '"run":"unknown"' in replies[0].body
            assert [each.run for each in replies[1:]] == ["unknown"] * 3
            assert process.returncode == 0

    async def test_requests_after_the_signal(self, tmp_path: Path) -> None:
        """Guards against requests that a stopping entry starts though they may outlive it."""
        fleet = Fleet(tmp_path, engines=1, drain_s=DRAIN_S)
        fleet.assign_addresses()
        async with running(fleet) as session:
            caller = Caller(fleet, session, LEAVING_ENTRY)
            fleet.terminate(f"entry-{LEAVING_ENTRY}")
            await asyncio.sleep(BEFORE_S)
            late, fitting, booking = await asyncio.gather(
                caller.chat("late"), caller.chat("fitting", timeout_s=2.0), caller.booking("late")
            )
            assert (late.status, late.code, late.run) == (503, "3008", "not-run")
            # The entry can't know whether an earlier request with the key has run.
            assert (booking.status, booking.code, booking.run) == (503, "4004", "unknown")
            assert late.took_s < 1.0 and booking.took_s < 1.0
            assert (fitting.status, fitting.code) == (200, "1000")
            assert fleet.executions() == []
            assert '"late"' not in fleet.requests() and "late" not in fleet.requests()


class TestAgent:
    async def test_attempts_longer_than_the_drain(self, tmp_path: Path) -> None:
        """Guards against attempts that vanish with their agent, so that callers wait in vain."""
        fleet = Fleet(tmp_path, engines=2, agent_flags=["--drain-s", "1.5"])
        fleet.assign_addresses()
        async with running(fleet) as session:
            caller = Caller(fleet, session, LEAVING_ENTRY)
            streams = [
                asyncio.create_task(read_stream(fleet, session, n % 4, f"s{n}", LONG_TOKENS // 2))
                for n in range(4)
            ]
            await caller.set_fault("service-0", "stall-after-run")
            booking = asyncio.create_task(caller.booking("before"))
            await eventually(lambda: len(fleet.executions()) == 1, DRAIN_S)
            for name in ("engine-0-agent", "service-0-agent"):
                fleet.terminate(name)
            reply = await booking
            assert (reply.code[0], reply.run) == ("4", "unknown")
            assert reply.took_s < 3.0
            results = await asyncio.gather(*streams)
            assert all(each.is_complete for each in results)
