"""Bookings by callers that retry without backoff while processes and connections fail.

`scripts/soak` repeats the test with other seeds.
"""

import asyncio
import json
import os
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import pytest

from lycheefall._fakes.forwarder import Forwarder
from processes.fleet import Fleet, forwarded, kill_and_restart, pause_and_resume, running
from processes.test_whole_path import TEAM_HEADERS, time_ms

SEEDS = [int(seed) for seed in os.environ.get("LYCHEEFALL_TEST_SEEDS", "11 12").split()]
RUN_S = 12.0
CALLERS = 16
TRY_TIMEOUT_S = 1.0
TRIES = 40
# The longest timeout of a booking; after it, no attempt can still start the booking.
SETTLE_S = 6.0


@dataclass
class Operation:
    """The answers that one caller received for one key, in order."""

    key: str
    answers: list[tuple[str, str]] = field(default_factory=list)
    # Exception and entry of each attempt without an answer.
    failures: list[tuple[str, int]] = field(default_factory=list)
    # Whether the caller accepted a "not run" answer and abandoned the key.
    accepted_not_run: bool = False


@dataclass
class History:
    """All operations of a run."""

    operations: list[Operation] = field(default_factory=list)

    def violations(self, executions: Counter[str]) -> list[str]:
        """Return the contradictions between the answers and the executions."""
        found: list[str] = []
        for each in self.operations:
            count = executions[each.key]
            bodies = {body for run, body in each.answers if run == "ran"}
            if count > 1:
                found.append(f"{each.key} ran {count} times")
            if bodies and count == 0:
                found.append(f"{each.key} was answered as run but did not run")
            if len(bodies) > 1:
                found.append(f"{each.key} got different answers: {bodies}")
            if each.accepted_not_run and count:
                found.append(f"{each.key} was answered as not run but ran: {each.answers}")
        return found


async def book(
    fleet: Fleet, session: aiohttp.ClientSession, operation: Operation, rng: random.Random
) -> None:
    """Send one booking through changing entries, retrying immediately after each failure."""
    headers = TEAM_HEADERS | {"Idempotency-Key": operation.key}
    body = {"item": operation.key}
    for number in range(TRIES):
        entry = (number + rng.randrange(4)) % 4
        url = fleet.url(entry, "/v1/services/counter/bookings")
        try:
            async with session.post(url, json=body, headers=headers) as response:
                run = response.headers["X-Lycheefall-Run"]
                operation.answers.append((run, await response.text()))
        except (aiohttp.ClientError, TimeoutError) as error:
            operation.failures.append((type(error).__name__, entry))
            await asyncio.sleep(0.01)
            continue
        if run == "ran":
            return
        if run == "not-run" and rng.random() < 0.5:
            operation.accepted_not_run = True
            return
        await asyncio.sleep(0.01)


Fault = Callable[[Fleet, str, float], Awaitable[None]]


async def kill_quorum(fleet: Fleet, name: str, pause_s: float) -> None:
    """Kill two of the three entries with control replicas and restart them."""
    pair = ("entry-0", f"entry-{1 + len(name) % 2}")
    for each in pair:
        fleet.kill(each)
    await asyncio.sleep(pause_s)
    for each in pair:
        fleet.start(each)


def link_faults(links: list[Forwarder], rng: random.Random) -> dict[str, Fault]:
    """Return the faults of connections between entries and agents."""

    async def cut(fleet: Fleet, name: str, pause_s: float) -> None:
        rng.choice(links).close_connections()

    async def silence(fleet: Fleet, name: str, pause_s: float) -> None:
        rng.choice(links).blackhole_open_connections()

    async def delay(fleet: Fleet, name: str, pause_s: float) -> None:
        link = rng.choice(links)
        link.block(to_target=rng.random() < 0.7, to_client=rng.random() < 0.7)
        await asyncio.sleep(pause_s)
        link.heal()

    return {"cut": cut, "silence": silence, "delay": delay}


async def inject_faults(
    fleet: Fleet, links: list[Forwarder], rng: random.Random, until_s: float
) -> Counter[str]:
    """Inject faults into one process or connection at a time."""
    loop = asyncio.get_running_loop()
    entries = [f"entry-{n}" for n in range(4)]
    services = [f"service-{n}" for n in range(3)]
    names = entries + services + [f"{name}-agent" for name in services]
    faults: dict[str, Fault] = {
        "kill": kill_and_restart,
        "freeze": pause_and_resume,
        "kill quorum": kill_quorum,
    }
    faults |= link_faults(links, rng)
    done: Counter[str] = Counter()
    while loop.time() < until_s:
        kind = rng.choice(sorted(faults))
        await faults[kind](fleet, rng.choice(names), rng.uniform(0.2, 1.5))
        done[kind] += 1
        await asyncio.sleep(rng.uniform(0.1, 0.5))
    return done


async def run_history(fleet: Fleet, links: list[Forwarder], seed: int) -> History:
    """Run callers and fault injection concurrently."""
    rng = random.Random(seed)
    history = History()
    loop = asyncio.get_running_loop()
    timeout = aiohttp.ClientTimeout(total=TRY_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        end_s = loop.time() + RUN_S

        async def caller(number: int) -> None:
            caller_rng = random.Random(seed * 1000 + number)
            while loop.time() < end_s:
                operation = Operation(f"{time_ms()}-{number}-{len(history.operations)}")
                history.operations.append(operation)
                await book(fleet, session, operation, caller_rng)

        faults = asyncio.create_task(inject_faults(fleet, links, rng, end_s))
        await asyncio.gather(*(caller(number) for number in range(CALLERS)))
        print(f"seed {seed}: faults {dict(await faults)}")
    await asyncio.sleep(SETTLE_S)
    return history


class TestBookings:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_at_most_once(self, tmp_path: Path, seed: int) -> None:
        """Guards against a booking that runs twice, or that ran despite a "not run" answer."""
        fleet = Fleet(tmp_path, engines=1, services=3)
        fleet.assign_addresses()
        names = [f"service-agent-{n}" for n in range(fleet.services)]
        async with forwarded(fleet, *names) as links, running(fleet):
            history = await run_history(fleet, links, seed)
            executions = Counter(json.loads(line)["key"] for line in fleet.executions())
            ended = fleet.unexpected_exits()
        run_states = Counter(run for each in history.operations for run, _ in each.answers)
        print(f"seed {seed}: {len(history.operations)} keys, answers {dict(run_states)}")
        failed = Counter(failure for each in history.operations for failure in each.failures)
        print(f"attempts without an answer, by entry: {dict(failed)}")
        # A process that has exited refuses connections at once, so callers exhaust their attempts.
        assert ended == {}
        assert history.violations(executions) == []
        finished = sum(any(run == "ran" for run, _ in each.answers) for each in history.operations)
        assert finished > len(history.operations) / 2
