"""Randomized soak of the platform's programs: signals, cut links, restarts and changes overlap.

The promises are checked from what callers, operators and upstreams see. LYCHEEFALL_SOAK_SEEDS
names the seeds (comma-separated) and LYCHEEFALL_SOAK_S the length of each run.
"""

import asyncio
import os
import signal
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import pytest

from entry_harness import read_response, request
from processes.platform_world import Platform, Served, platform, served
from upstream_double import LAST_CHUNK, Exchange, chunk, complete_response, event, stream_head

pytestmark = pytest.mark.processes

# Seeds that failed once stay, each with a line on the cause.
REGRESSIONS: tuple[int, ...] = (
    # An entry was killed between the head and the body of a booking's answer.
    1502,
)
SEEDS = [int(each) for each in os.environ.get("LYCHEEFALL_SOAK_SEEDS", "1").split(",")]
LENGTH_S = float(os.environ.get("LYCHEEFALL_SOAK_S", "12"))
EVENTS = 6
CALLERS = 12
# Longer than a start and the time after which a replica or an entry counts as silent.
QUIET_S = 5.0


@dataclass
class History:
    """What was seen at the sockets."""

    # Runs by attempt id, as the upstreams saw them.
    runs: Counter[str] = field(default_factory=Counter)
    # Status by attempt id of each booking.
    bookings: dict[str, int] = field(default_factory=dict)
    served: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    acknowledged: int = 0


def upstream_answer(history: History, random: Random) -> Any:
    """Return an upstream that runs what it gets, and fails now and then."""

    async def answer(exchange: Exchange) -> None:
        attempt = exchange.received.headers["attempt-id"]
        draw = random.random()
        if draw < 0.03:
            await exchange.send(
                complete_response(exchange.received, b"", "503 Full", "Not-Executed: 1\r\n")
            )
            return
        history.runs[attempt] += 1
        if draw < 0.06:
            exchange.reset()
            return
        if attempt.startswith("stream"):
            first = int(exchange.received.headers.get("last-event-id", -1)) + 1
            await exchange.send(stream_head(exchange.received))
            for number in range(first, EVENTS):
                await exchange.send(chunk(event(number)))
                await asyncio.sleep(0.05)
            await exchange.send(LAST_CHUNK)
            return
        await asyncio.sleep(0.02)
        await exchange.send(complete_response(exchange.received, attempt.encode()))

    return answer


async def run_caller(made: Platform, history: History, number: int, random: Random) -> None:
    """Ask one thing after the other, over connections that are kept while they work."""
    path_of = {"stream": "/s/x", "booking": "/b/x", "lookup": "/l/x"}
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    for turn in range(1_000_000):
        kind = random.choice(sorted(path_of))
        attempt = f"{kind}-{number}-{turn}"
        try:
            if connection is None:
                entry = random.choice(made.of("entry"))
                port = int(entry.front.split(":")[1])
                connection = await asyncio.open_connection(entry.ip, port)
            reader, writer = connection
            writer.write(request(path_of[kind], attempt=attempt, deadline_ms=3000))
            async with asyncio.timeout(4.0):
                found = await read_response(reader)
            check_answer(history, kind, attempt, found)
            if not found.is_complete or found.headers.get("connection") == "close":
                raise ConnectionResetError
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if connection is not None:
                connection[1].close()
            connection = None
        await asyncio.sleep(random.uniform(0.01, 0.1))


def check_answer(history: History, kind: str, attempt: str, found: Any) -> None:
    """Check one answer by itself."""
    if kind == "booking":
        history.bookings[attempt] = found.status
    if found.status != 200:
        return
    whole_stream = b"".join(event(n) for n in range(EVENTS))
    if kind == "stream":
        is_right = whole_stream.startswith(found.body) and (
            found.body == whole_stream or not found.is_complete
        )
    else:
        is_right = found.is_complete and found.body == attempt.encode()
    if not is_right:
        history.broken.append(f"{attempt}: wrong answer {found.body!r}")
    if found.is_complete:
        history.served[kind] += 1


async def run_operator(made: Platform, history: History, random: Random) -> None:
    """Change the file and read it back at any replica."""
    while True:
        await asyncio.sleep(random.uniform(0.2, 1.0))
        made.number += random.randint(1, 3)
        made.file = made.file | {"Version": made.number}
        if await made.put(made.file, timeout_s=30.0) == 200:
            history.acknowledged = made.number
        before = history.acknowledged
        read = await made.read(random.choice(made.of("control")))
        if read is not None and read["Version"] < before:
            history.broken.append(f"read {read['Version']} after {before} was acknowledged")


async def run_faults(made: Platform, history: History, ups: list[Served], random: Random) -> None:
    """Let one thing after the other go wrong, some at the same time, and mend all of them."""
    ends_s = asyncio.get_running_loop().time() + LENGTH_S
    async with asyncio.TaskGroup() as faults:
        while asyncio.get_running_loop().time() < ends_s:
            faults.create_task(one_fault(made, history, ups, random))
            await asyncio.sleep(random.uniform(0.5, 2.5))


async def one_fault(made: Platform, history: History, ups: list[Served], random: Random) -> None:
    kind = random.choice(["kill", "pause", "terminate", "hang up", "drain"])
    # A majority of the replicas and one entry go on.
    name = random.choice(["control0", "entry0", "entry1"] if kind != "pause" else ["control1"])
    history.faults.append(f"{kind} {name}")
    process = made.machines[name].process
    assert process is not None
    match kind:
        case "kill" | "terminate" if process.returncode is None:
            number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            made.signal(name, number)
            await made.ended(name, 12.0)
            await asyncio.sleep(random.uniform(0.0, 1.0))
            # Another fault may have ended the same process and started it again.
            if made.machines[name].process is process:
                await made.start(name)
        case "pause":
            made.signal(name, signal.SIGSTOP)
            await asyncio.sleep(random.uniform(0.2, 3.0))
            made.signal(name, signal.SIGCONT)
        case "hang up" if process.returncode is None:
            # A process that has just started takes the signal for the default, its end.
            if any(e["event"] == "process_started" for e in made.events(name)[-50:]):
                made.signal(name, signal.SIGHUP)
        case "drain":
            up = random.choice(ups)
            up.state = "draining"
            await asyncio.sleep(random.uniform(0.5, 2.0))
            up.state = "ready"


@pytest.mark.parametrize("seed", sorted({*SEEDS, *REGRESSIONS}))
async def test_soak(tmp_path: Path, seed: int) -> None:
    """Guards against broken promises under faults that come in series and overlap."""
    random = Random(seed)
    history = History()
    async with platform(tmp_path) as made, AsyncExitStack() as stack:
        answer = upstream_answer(history, random)
        ups = [
            await stack.enter_async_context(served(made, f"{pool}{n}", pool, answer))
            for pool in ("engines", "desk")
            for n in range(3)
        ]
        await made.all_ready()
        tasks = [
            asyncio.create_task(run_caller(made, history, n, Random(f"{seed}/{n}")))
            for n in range(CALLERS)
        ]
        operator = asyncio.create_task(run_operator(made, history, random))
        await run_faults(made, history, ups, random)
        before = history.served.total()
        await asyncio.sleep(QUIET_S)
        await stopped(operator, *tasks)
        read = await made.read(made.machines["control2"])
        print(f"seed {seed}: {dict(history.served)}, faults: {history.faults}")
        assert history.served.total() > before + 50, "nothing is served after the faults"
        assert read is not None and read["Version"] >= history.acknowledged
    assert history.broken == []
    twice = [a for a, count in history.runs.items() if count > 1 and a.startswith("booking")]
    assert twice == [], "bookings that ran twice"
    false = [
        a for a, status in history.bookings.items() if status in (429, 503) and history.runs[a]
    ]
    assert false == [], "bookings that ran although they were refused"


async def stopped(*tasks: "asyncio.Task[None]") -> None:
    """Cancel tasks; fail if one had failed by itself."""
    for task in tasks:
        failed = task.done() and not task.cancelled() and task.exception()
        assert not failed, f"a task of the soak failed: {failed!r}"
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
