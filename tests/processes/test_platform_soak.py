"""Randomized soak test of the programs of the platform adapter.

Signals, aborted connections, restarts and configuration changes overlap.
The guarantees are checked from what callers, operators and upstreams observe. The variable
LYCHEEFALL_SOAK_SEEDS holds the seeds (comma-separated), LYCHEEFALL_SOAK_S the length of each run
in seconds.
"""

import asyncio
import contextlib
import os
import signal
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import pytest

from entry_harness import Response, read_response, request
from processes.platform_harness import (
    ROUTES,
    AnnouncedUpstream,
    PlatformCluster,
    announced_upstream,
    start_platform,
)
from upstream_double import LAST_CHUNK, Exchange, chunk, complete_response, event, stream_head

pytestmark = pytest.mark.processes

# Seeds of earlier failures, each with its cause.
REGRESSIONS: tuple[int, ...] = (
    # Streams that were sent in a planned stop ran, and were cut at the end of the grace period.
    1,
    # An entry was killed between the head and the body of a booking's answer.
    1502,
)
SEEDS = [int(each) for each in os.environ.get("LYCHEEFALL_SOAK_SEEDS", "1").split(",")]
DURATION_S = float(os.environ.get("LYCHEEFALL_SOAK_S", "12"))
EVENT_PERIOD_S = 0.05
SHORT_STREAM_S = 0.3
CALLERS = 24
# Path of each kind of request. "single" is a stream that must not run twice.
PATHS = {"stream": "/s/", "single": "/single/", "booking": "/b/", "lookup": "/l/"}
SINGLE_ROUTE = ROUTES[0] | {"Name": "single", "PathPrefix": "/single/", "Resumable": False}
STREAM_KINDS = ("stream", "single")
NON_IDEMPOTENT_KINDS = ("booking", "single")
# The grace period, the begin of its last sixth, and the time for which a kill excuses requests.
GRACE_S = 8.0
LAST_SIXTH_S = GRACE_S * 5 / 6
FAULT_WINDOW_S = 3.0
# A request whose deadline is this long before the end of the grace must be accepted.
ACCEPTED_MARGIN_S = 1.0
# Longer than a start, and than the timeout after which a replica or an entry counts as silent.
RECOVERY_S = 5.0


@dataclass
class Call:
    """A request and its answer; a request without an end was in progress at the end of the test."""

    attempt: str
    process: asyncio.subprocess.Process
    sent_s: float
    # Latest end, by the caller's deadline and the timeout of the route.
    deadline_s: float
    ended_s: float | None = None
    answer: Response | None = None

    @property
    def kind(self) -> str:
        """Return the kind of request."""
        return self.attempt.partition("-")[0]

    @property
    def is_served(self) -> bool:
        """Return whether the whole answer arrived."""
        return self.answer is not None and self.answer.is_complete and self.answer.status == 200

    @property
    def is_refused(self) -> bool:
        """Return whether the entry promised that the request did not and will not run."""
        return self.answer is not None and self.answer.status in (429, 503)


@dataclass
class History:
    """What callers, operators and upstreams observed."""

    # Executions by attempt id, as counted by the upstreams.
    runs: Counter[str] = field(default_factory=Counter)
    # Attempts whose upstream reset the connection, and the time at which an upstream was done.
    reset: set[str] = field(default_factory=set)
    finished_s: dict[str, float] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    # Time of the first SIGTERM to each process, and times of unplanned faults.
    stops: dict[asyncio.subprocess.Process, float] = field(default_factory=dict)
    kills: dict[asyncio.subprocess.Process, float] = field(default_factory=dict)
    change_file: asyncio.Event = field(default_factory=asyncio.Event)
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
            history.reset.add(attempt)
            exchange.reset()
            return
        if attempt.startswith(STREAM_KINDS):
            first = int(exchange.received.headers.get("last-event-id", -1)) + 1
            await exchange.send(stream_head(exchange.received))
            for number in range(first, event_count(attempt)):
                await exchange.send(chunk(event(number)))
                await asyncio.sleep(EVENT_PERIOD_S)
            await exchange.send(LAST_CHUNK)
        else:
            await asyncio.sleep(0.02)
            await exchange.send(complete_response(exchange.received, attempt.encode()))
        history.finished_s[attempt] = asyncio.get_running_loop().time()

    return answer


def event_count(attempt: str) -> int:
    """Return the number of events of a stream, whose attempt id ends with its duration."""
    return round(float(attempt.rpartition("-")[2]) / EVENT_PERIOD_S)


async def run_caller(
    cluster: PlatformCluster, history: History, number: int, random: Random
) -> None:
    """Send requests on one connection until the entry closes it, also after `Connection: close`."""
    loop = asyncio.get_running_loop()
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    for turn in range(1_000_000):
        kind = random.choice(sorted(PATHS))
        is_long = kind in STREAM_KINDS and random.random() < 0.3
        duration_s = random.uniform(SHORT_STREAM_S, 6.0) if is_long else SHORT_STREAM_S
        # The timeout of the route, or an earlier deadline of the caller.
        timeout_s = random.choice([8.0, duration_s + 1.5]) if kind in STREAM_KINDS else 1.0
        deadline_ms = int(timeout_s * 1000) if kind in STREAM_KINDS else 3000
        attempt = f"{kind}-{number}-{turn}-{duration_s:.2f}"
        sent = encode_request(PATHS[kind] + "x", attempt, deadline_ms, random)
        try:
            if connection is None:
                entry = random.choice(cluster.with_role("entry"))
                process = entry.process
                port = int(entry.caller_address.split(":")[1])
                connection = await asyncio.open_connection(entry.ip, port)
            reader, writer = connection
            call = Call(attempt, process, loop.time(), loop.time() + timeout_s)
            history.calls.append(call)
            try:
                writer.write(sent)
                async with asyncio.timeout(max(4.0, timeout_s + 1.0)):
                    call.answer = await read_response(reader)
            finally:
                call.ended_s = loop.time()
            check_answer(history, call, call.answer)
            if not call.answer.is_complete:
                raise ConnectionResetError
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if connection is not None:
                connection[1].close()
            connection = None
        await asyncio.sleep(random.uniform(0.01, 0.1))


def encode_request(path: str, attempt: str, deadline_ms: int, random: Random) -> bytes:
    """Return a request with a body in chunks or with a length."""
    if random.random() < 0.5:
        return request(path, attempt=attempt, deadline_ms=deadline_ms)
    extra = "Transfer-Encoding: chunked\r\n"
    head = request(path, attempt=attempt, deadline_ms=deadline_ms, body=b"", extra=extra)
    return head + chunk(b"question") + LAST_CHUNK


def check_answer(history: History, call: Call, answer: Response) -> None:
    """Check the body of an answer; a stream is complete with all its events and its last chunk."""
    if answer.status != 200:
        return
    if call.kind in STREAM_KINDS:
        expected_stream = b"".join(event(n) for n in range(event_count(call.attempt)))
        is_correct = expected_stream.startswith(answer.body) and (
            answer.body == expected_stream or not answer.is_complete
        )
    else:
        is_correct = answer.is_complete and answer.body == call.attempt.encode()
    if not is_correct:
        history.violations.append(f"{call.attempt}: wrong answer {answer.body!r}")
    if answer.is_complete:
        history.served[call.kind] += 1


def planned_stop_violations(history: History) -> list[str]:
    """Return the requests that a planned stop cut, or refused without need."""
    violations = []
    for call in history.calls:
        signal_s = history.stops.get(call.process)
        if signal_s is None or call.ended_s is None or call.ended_s < signal_s:
            continue
        times_s = [round(t - signal_s, 2) for t in (call.sent_s, call.ended_s, call.deadline_s)]
        details = f"{call.attempt} sent, ended, deadline after the signal {times_s}: {call.answer}"
        has_run = history.runs[call.attempt] > 0
        if call.is_refused and call.answer is not None and b"stopping" in call.answer.body:
            if has_run or call.deadline_s <= signal_s + GRACE_S - ACCEPTED_MARGIN_S:
                violations.append(f"refused though it {'ran' if has_run else 'fits'}: {details}")
        elif has_run and not call.is_served and not is_excused(history, call, signal_s):
            violations.append(f"cut: {details}")
    return violations


def is_excused(history: History, call: Call, signal_s: float) -> bool:
    """Return whether a request that ran may end without its whole answer in a planned stop."""
    killed_s = history.kills.get(call.process)
    if killed_s is not None and call.sent_s - FAULT_WINDOW_S <= killed_s <= call.ended_s:
        return True
    if call.attempt in history.reset or call.ended_s >= call.deadline_s:
        return True
    last_sixth_s = signal_s + LAST_SIXTH_S
    was_running = history.finished_s.get(call.attempt, call.ended_s) >= last_sixth_s
    return call.sent_s <= signal_s and was_running and call.ended_s >= last_sixth_s


async def run_operator(cluster: PlatformCluster, history: History, random: Random) -> None:
    """Change the file repeatedly, and when a fault asks for it; read it from a random replica."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(history.change_file.wait(), random.uniform(0.2, 1.0))
        history.change_file.clear()
        cluster.version += random.randint(1, 3)
        added = ROUTES[2] | {"Name": "added", "PathPrefix": f"/added/{cluster.version}/"}
        routes = [*ROUTES, SINGLE_ROUTE, added][: random.choice([4, 5])]
        cluster.file = cluster.file | {"Version": cluster.version, "Routes": routes}
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
    kinds = ["kill", "pause", "terminate", "hang up", "drain", "terminate twice", "terminate both"]
    kind = random.choice(kinds)
    # Each fault leaves a majority of the replicas and, except for stops of both, one entry running.
    name = random.choice(["control0", "entry0", "entry1"] if kind != "pause" else ["control1"])
    history.faults.append(f"{kind} {name}")
    process = cluster.machines[name].process
    assert process is not None
    match kind:
        case "kill" if process.returncode is None:
            history.kills[process] = asyncio.get_running_loop().time()
            cluster.signal(name, signal.SIGKILL)
            await restart_after_exit(cluster, name, process, random)
        case "terminate" | "terminate twice":
            await stop_and_restart(cluster, history, name, random, kind == "terminate twice")
        case "terminate both":
            async with asyncio.TaskGroup() as stops:
                for each in ("entry0", "entry1"):
                    stops.create_task(stop_and_restart(cluster, history, each, random, False))
                    await asyncio.sleep(random.uniform(0.0, 3.0))
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


async def stop_and_restart(
    cluster: PlatformCluster, history: History, name: str, random: Random, is_disturbed: bool
) -> None:
    """Stop a machine's program, maybe with more signals and a new file meanwhile; restart it."""
    process = cluster.machines[name].process
    assert process is not None
    if process.returncode is not None:
        return
    history.stops.setdefault(process, asyncio.get_running_loop().time())
    cluster.signal(name, signal.SIGTERM)
    for _ in range(random.randint(1, 3) if is_disturbed else 0):
        await asyncio.sleep(random.uniform(0.1, 2.5))
        history.change_file.set()
        if cluster.machines[name].process is process:
            cluster.signal(name, random.choice([signal.SIGTERM, signal.SIGHUP]))
    await restart_after_exit(cluster, name, process, random)


async def restart_after_exit(
    cluster: PlatformCluster, name: str, process: asyncio.subprocess.Process, random: Random
) -> None:
    await asyncio.wait_for(process.wait(), 12.0)
    await asyncio.sleep(random.uniform(0.0, 1.0))
    # Another fault may have ended the same process and started it again.
    if cluster.machines[name].process is process:
        await cluster.start(name)


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
        await cluster.change_file(Routes=[*ROUTES, SINGLE_ROUTE])
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
    violations = planned_stop_violations(history)
    assert violations == [], "requests that a planned stop harmed"
    duplicates = [
        a for a, count in history.runs.items() if count > 1 and a.startswith(NON_IDEMPOTENT_KINDS)
    ]
    assert duplicates == [], "requests that ran twice"
    refused_but_run = [
        each.attempt
        for each in history.calls
        if each.kind in NON_IDEMPOTENT_KINDS and each.is_refused and history.runs[each.attempt]
    ]
    assert refused_but_run == [], "requests that ran although they were refused"


async def cancel_tasks(*tasks: "asyncio.Task[None]") -> None:
    """Cancel tasks; fail if one has already failed."""
    for task in tasks:
        failed = task.done() and not task.cancelled() and task.exception()
        assert not failed, f"a task of the soak test failed: {failed!r}"
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
