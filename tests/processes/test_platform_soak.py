"""Randomized soak test of the programs of the platform adapter.

Signals, aborted connections, restarts and configuration changes overlap.
The guarantees are checked from what callers, operators and upstreams observe. The variable
LYCHEEFALL_SOAK_SEEDS holds the seeds (comma-separated), LYCHEEFALL_SOAK_S the length of each run
in seconds.
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
from processes.platform_harness import (
    AnnouncedUpstream,
    PlatformCluster,
    announced_upstream,
    start_platform,
)
from upstream_double import LAST_CHUNK, Exchange, chunk, complete_response, event, stream_head

pytestmark = pytest.mark.processes

# Seeds of earlier failures, each with its cause.
REGRESSIONS: tuple[int, ...] = (
    # An entry was killed between the head and the body of a booking's answer.
    1502,
)
SEEDS = [int(each) for each in os.environ.get("LYCHEEFALL_SOAK_SEEDS", "1").split(",")]
DURATION_S = float(os.environ.get("LYCHEEFALL_SOAK_S", "12"))
EVENTS = 6
CALLERS = 12
# Longer than a start, and than the timeout after which a replica or an entry counts as silent.
RECOVERY_S = 5.0


@dataclass
class History:
    """What callers, operators and upstreams observed."""

    # Executions by attempt id, as counted by the upstreams.
    runs: Counter[str] = field(default_factory=Counter)
    # Status by attempt id of each booking.
    bookings: dict[str, int] = field(default_factory=dict)
    served: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    acknowledged: int = 0


def make_upstream_handler(history: History, random: Random) -> Any:
    """Return the handler of an upstream that runs requests and fails some of them at random."""

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


async def run_caller(
    cluster: PlatformCluster, history: History, number: int, random: Random
) -> None:
    """Send requests one after the other, reusing a connection until it fails."""
    path_of = {"stream": "/s/x", "booking": "/b/x", "lookup": "/l/x"}
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    for turn in range(1_000_000):
        kind = random.choice(sorted(path_of))
        attempt = f"{kind}-{number}-{turn}"
        try:
            if connection is None:
                entry = random.choice(cluster.with_role("entry"))
                port = int(entry.caller_address.split(":")[1])
                connection = await asyncio.open_connection(entry.ip, port)
            reader, writer = connection
            writer.write(request(path_of[kind], attempt=attempt, deadline_ms=3000))
            async with asyncio.timeout(4.0):
                answer = await read_response(reader)
            check_answer(history, kind, attempt, answer)
            if not answer.is_complete or answer.headers.get("connection") == "close":
                raise ConnectionResetError
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if connection is not None:
                connection[1].close()
            connection = None
        await asyncio.sleep(random.uniform(0.01, 0.1))


def check_answer(history: History, kind: str, attempt: str, answer: Any) -> None:
    """Record an answer and check its body."""
    if kind == "booking":
        history.bookings[attempt] = answer.status
    if answer.status != 200:
        return
    expected_stream = b"".join(event(n) for n in range(EVENTS))
    if kind == "stream":
        is_correct = expected_stream.startswith(answer.body) and (
            answer.body == expected_stream or not answer.is_complete
        )
    else:
        is_correct = answer.is_complete and answer.body == attempt.encode()
    if not is_correct:
        history.violations.append(f"{attempt}: wrong answer {answer.body!r}")
    if answer.is_complete:
        history.served[kind] += 1


async def run_operator(cluster: PlatformCluster, history: History, random: Random) -> None:
    """Change the file repeatedly and read it back from a random replica."""
    while True:
        await asyncio.sleep(random.uniform(0.2, 1.0))
        cluster.version += random.randint(1, 3)
        cluster.file = cluster.file | {"Version": cluster.version}
        if await cluster.put_file(cluster.file, timeout_s=30.0) == 200:
            history.acknowledged = cluster.version
        before = history.acknowledged
        file = await cluster.read_file(random.choice(cluster.with_role("control")))
        if file is not None and file["Version"] < before:
            history.violations.append(f"read {file['Version']} after {before} was acknowledged")


async def inject_faults(
    cluster: PlatformCluster, history: History, upstreams: list[AnnouncedUpstream], random: Random
) -> None:
    """Inject faults at random intervals, some concurrently; each one reverts itself."""
    end_s = asyncio.get_running_loop().time() + DURATION_S
    async with asyncio.TaskGroup() as faults:
        while asyncio.get_running_loop().time() < end_s:
            faults.create_task(inject_fault(cluster, history, upstreams, random))
            await asyncio.sleep(random.uniform(0.5, 2.5))


async def inject_fault(
    cluster: PlatformCluster, history: History, upstreams: list[AnnouncedUpstream], random: Random
) -> None:
    kind = random.choice(["kill", "pause", "terminate", "hang up", "drain"])
    # Each fault leaves a majority of the replicas and one entry running.
    name = random.choice(["control0", "entry0", "entry1"] if kind != "pause" else ["control1"])
    history.faults.append(f"{kind} {name}")
    process = cluster.machines[name].process
    assert process is not None
    match kind:
        case "kill" | "terminate" if process.returncode is None:
            number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            cluster.signal(name, number)
            await cluster.wait_for_exit(name, 12.0)
            await asyncio.sleep(random.uniform(0.0, 1.0))
            # Another fault may have ended the same process and started it again.
            if cluster.machines[name].process is process:
                await cluster.start(name)
        case "pause":
            cluster.signal(name, signal.SIGSTOP)
            await asyncio.sleep(random.uniform(0.2, 3.0))
            cluster.signal(name, signal.SIGCONT)
        case "hang up" if process.returncode is None:
            # A process that hasn't installed its handler yet is terminated by the default action.
            if any(e["event"] == "process_started" for e in cluster.events(name)[-50:]):
                cluster.signal(name, signal.SIGHUP)
        case "drain":
            announced = random.choice(upstreams)
            announced.state = "draining"
            await asyncio.sleep(random.uniform(0.5, 2.0))
            announced.state = "ready"


@pytest.mark.parametrize("seed", sorted({*SEEDS, *REGRESSIONS}))
async def test_soak(tmp_path: Path, seed: int) -> None:
    """Guards against violated guarantees under consecutive and overlapping faults."""
    random = Random(seed)
    history = History()
    async with start_platform(tmp_path) as cluster, AsyncExitStack() as stack:
        answer = make_upstream_handler(history, random)
        upstreams = [
            await stack.enter_async_context(announced_upstream(cluster, f"{pool}{n}", pool, answer))
            for pool in ("engines", "desk")
            for n in range(3)
        ]
        await cluster.wait_until_ready()
        tasks = [
            asyncio.create_task(run_caller(cluster, history, n, Random(f"{seed}/{n}")))
            for n in range(CALLERS)
        ]
        operator = asyncio.create_task(run_operator(cluster, history, random))
        await inject_faults(cluster, history, upstreams, random)
        before = history.served.total()
        await asyncio.sleep(RECOVERY_S)
        await cancel_tasks(operator, *tasks)
        file = await cluster.read_file(cluster.machines["control2"])
        print(f"seed {seed}: {dict(history.served)}, faults: {history.faults}")
        assert history.served.total() > before + 50, "too few requests served after the faults"
        assert file is not None and file["Version"] >= history.acknowledged
    assert history.violations == []
    duplicate_bookings = [
        a for a, count in history.runs.items() if count > 1 and a.startswith("booking")
    ]
    assert duplicate_bookings == [], "bookings that ran twice"
    refused_but_run = [
        a for a, status in history.bookings.items() if status in (429, 503) and history.runs[a]
    ]
    assert refused_but_run == [], "bookings that ran although they were refused"


async def cancel_tasks(*tasks: "asyncio.Task[None]") -> None:
    """Cancel tasks; fail if one has already failed."""
    for task in tasks:
        failed = task.done() and not task.cancelled() and task.exception()
        assert not failed, f"a task of the soak test failed: {failed!r}"
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
