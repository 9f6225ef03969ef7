"""A booking that crashes each service that runs it, resent under new keys."""

import asyncio
import json
from collections import Counter
from pathlib import Path

import aiohttp

from processes.fleet import Fleet, running
from processes.test_crashing_requests import restart_crashed
from processes.test_whole_path import TEAM_HEADERS, time_ms

MARKER = "crashes services"
SERVICES = 4
CALLERS = 12
KEYS = 4
# Requests for each key; the later ones query the outcome of the first.
TRIES = 2
UNRELATED_CALLERS = 8
LIMIT_S = 90.0
# Time in which a service that crashes has exited.
EXIT_S = 10.0

# Code and run state of each answer, by key.
AnswersByKey = dict[str, list[tuple[str, str]]]


async def book(
    fleet: Fleet, session: aiohttp.ClientSession, number: int, item: str, answers: AnswersByKey
) -> None:
    """Send one item under new keys through one entry, and resend each key."""
    url = fleet.url(number % 4, "/v1/services/counter/bookings")
    for count in range(KEYS):
        key = f"{time_ms()}-{item.replace(' ', '')}-{number}-{count}"
        body = {"item": item}
        for _ in range(TRIES):
            headers = TEAM_HEADERS | {"Idempotency-Key": key}
            async with session.post(url, json=body, headers=headers) as response:
                names = ("X-Lycheefall-Code", "X-Lycheefall-Run")
                code, run = (response.headers[name] for name in names)
                answers.setdefault(key, []).append((code, run))


class TestCrashingBookings:
    async def test_two_services_at_most(self, tmp_path: Path) -> None:
        """Guards against a booking that crashes one service after another, or a wrong "not run"."""
        services = [f"service-{n}" for n in range(SERVICES)]
        flags = {name: ["--crash-marker", MARKER] for name in services}
        fleet = Fleet(tmp_path, engines=1, services=SERVICES, fake_flags=flags)
        fleet.assign_addresses()
        crashed: list[str] = []
        crashing: AnswersByKey = {}
        unrelated: AnswersByKey = {}
        async with running(fleet) as session:
            restarts = asyncio.create_task(restart_crashed(fleet, crashed, services))
            async with asyncio.timeout(LIMIT_S):
                await asyncio.gather(
                    *(book(fleet, session, n, MARKER, crashing) for n in range(CALLERS)),
                    *(
                        book(fleet, session, n, f"item {n}", unrelated)
                        for n in range(UNRELATED_CALLERS)
                    ),
                )
            ran = Counter(json.loads(line)["key"] for line in fleet.executions())
            crashes = sum(ran[key] for key in crashing)
            # Agents see the connection end before the process has exited.
            async with asyncio.timeout(EXIT_S):
                while len(crashed) < crashes:
                    await asyncio.sleep(0.02)
            restarts.cancel()
        print(f"crashed {crashed}, answers {Counter(tuple(each) for each in crashing.values())}")
        print(f"unrelated bookings {Counter(tuple(each) for each in unrelated.values())}")
        assert 1 <= len(crashed) == crashes <= 2
        assert max(ran.values()) == 1
        answers = [
            (key, run) for each in (crashing, unrelated) for key in each for _, run in each[key]
        ]
        assert [key for key, run in answers if run == "not-run" and ran[key]] == []
        assert [key for key, run in answers if run == "ran" and not ran[key]] == []
        assert any(("3007", "not-run") in each for each in crashing.values())
        assert sum(each[-1][1] == "ran" for each in unrelated.values()) > len(unrelated) / 2
