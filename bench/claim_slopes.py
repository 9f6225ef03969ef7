"""Measure the cost of claims for control replicas: CPU time, syncs, log bytes and latency.

Run: PYTHONPATH=src:tests:. python -m bench.claim_slopes
A booking is two commands: the claim and its recorded answer of 100 bytes.
"""

import asyncio
import os
import statistics
import tempfile
import time
import uuid
from pathlib import Path

import uvloop
from msgspec import Struct

from bench.slopes import ROUNDS, Point, cpu_time_s, print_fit
from lycheefall._control.client import ControlClient
from lycheefall._control.frames import read_frames
from lycheefall._control.storage import LOG_FILE
from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import (
    FIRST_ATTEMPT,
    Digest,
    IdempotencyKey,
    Incarnation,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.control import Claim, RecordedAnswer, RecordOutcome, Result
from processes.control_harness import Cluster, client_of, cluster, wait_for_leader

IN_FLIGHT = (1, 4, 16, 64)
TRIAL_S = 1.5
PROPOSE_TIMEOUT_S = 5.0
SYNC_SAMPLES = 200
# Snapshots would truncate the log, whose frames are counted.
NO_SNAPSHOT = 10_000_000
ANSWER = RecordedAnswer(ResultCode.OK, 200, "application/json", b"x" * 100)


class Trial(Struct, frozen=True):
    """Hold the measurements of one load on a cluster.

    `log_bytes` and `client_us`, the CPU time of the client, are those of one booking.
    """

    bookings_per_s: float
    p50_ms: float
    leader_cores: float
    follower_cores: float
    commands_per_sync: float
    log_bytes: float
    client_us: float


class BookingStats(Struct):
    """Count completed bookings and collect the latencies of their claims."""

    bookings: int = 0
    claim_latencies_s: list[float] = []


def main() -> None:
    """Print points and slopes for one and for three replicas."""
    with tempfile.TemporaryDirectory() as folder:
        print(f"sync of 500 appended bytes: median {_sync_us(Path(folder)):.0f} us")
    for names in ("a", "abc"):
        with tempfile.TemporaryDirectory() as folder:
            _print_trials(len(names), uvloop.run(_trials(Path(folder), names)))


def _sync_us(folder: Path) -> float:
    times_us = []
    with (folder / "file").open("ab", buffering=0) as file:
        for _ in range(SYNC_SAMPLES):
            start_s = time.perf_counter()
            file.write(b"x" * 500)
            os.fsync(file.fileno())
            times_us.append((time.perf_counter() - start_s) * 1e6)
    return statistics.median(times_us)


async def _trials(folder: Path, names: str) -> dict[int, list[Trial]]:
    trials: dict[int, list[Trial]] = {}
    async with cluster(folder, names, names, snapshot_entries=NO_SNAPSHOT) as running:
        leader = await wait_for_leader(running, tuple(names))
        async with client_of(running.clients()) as client:
            # The first command makes the client find the leader.
            await _book(client, BookingStats())
            for in_flight in IN_FLIGHT:
                trials[in_flight] = [
                    await _trial(running, client, leader, in_flight) for _ in range(ROUNDS)
                ]
    return trials


async def _trial(running: Cluster, client: ControlClient, leader: str, in_flight: int) -> Trial:
    pids = {name: process.pid for name, process in running.processes.items()}
    before = {name: cpu_time_s(pid) for name, pid in pids.items()}
    frames_before, bytes_before = _log_size(running, leader)
    client_s, stats = time.process_time(), BookingStats(claim_latencies_s=[])
    deadline_s = time.perf_counter() + TRIAL_S

    async def caller() -> None:
        while time.perf_counter() < deadline_s:
            await _book(client, stats)

    await asyncio.gather(*(caller() for _ in range(in_flight)))
    client_s = time.process_time() - client_s
    cores = {name: (cpu_time_s(pid) - before[name]) / TRIAL_S for name, pid in pids.items()}
    frames, size = _log_size(running, leader)
    followers = [value for name, value in cores.items() if name != leader]
    return Trial(
        stats.bookings / TRIAL_S,
        statistics.median(stats.claim_latencies_s) * 1000,
        cores[leader],
        statistics.median(followers) if followers else 0.0,
        # Each sync appends one frame to the log.
        2 * stats.bookings / (frames - frames_before),
        (size - bytes_before) / stats.bookings,
        client_s / stats.bookings * 1e6,
    )


def _log_size(running: Cluster, name: str) -> tuple[int, int]:
    """Return the number of frames in the log of a replica and its size in bytes."""
    data = (running.specs[name].folder / LOG_FILE).read_bytes()
    return len(read_frames(data, LOG_FILE).payloads), len(data)


async def _book(client: ControlClient, stats: BookingStats) -> None:
    """Claim a new key and record the answer, as an entry does for a booking."""
    key, team = IdempotencyKey(str(uuid.uuid4())), TeamId(f"team-{stats.bookings % 570}")
    holder = Incarnation("e" * 16)
    digest, upstream = Digest("d" * 32), UpstreamId("counter-app-1")
    now_ms = int(time.time() * 1000)
    start_s = time.perf_counter()
    claim = Claim(key, team, digest, now_ms, holder, upstream, holder)
    _check_ok(await client.propose(claim, PROPOSE_TIMEOUT_S))
    stats.claim_latencies_s.append(time.perf_counter() - start_s)
    _check_ok(
        await client.propose(RecordOutcome(key, team, FIRST_ATTEMPT, ANSWER), PROPOSE_TIMEOUT_S)
    )
    stats.bookings += 1


def _check_ok(result: Result) -> None:
    assert result.code is ResultCode.OK, result


def _print_trials(replicas: int, trials: dict[int, list[Trial]]) -> None:
    print(f"{replicas} replicas: in flight, bookings/s, claim p50 ms, commands per sync")
    for in_flight, rounds in trials.items():
        rate, p50_ms, batch = (
            statistics.median(getattr(each, name) for each in rounds)
            for name in ("bookings_per_s", "p50_ms", "commands_per_sync")
        )
        print(f"  {in_flight}: {rate:.0f}, {p50_ms:.2f}, {batch:.1f}")
    all_trials = [each for rounds in trials.values() for each in rounds]
    print(
        f"  log bytes per booking: {statistics.median(each.log_bytes for each in all_trials):.0f}"
    )
    print(
        f"  client us per booking: {statistics.median(each.client_us for each in all_trials):.0f}"
    )
    _print_cost(f"leader of {replicas}, one booking", trials, "leader_cores")
    if replicas > 1:
        _print_cost(f"follower of {replicas}, one booking", trials, "follower_cores")


def _print_cost(name: str, trials: dict[int, list[Trial]], field_name: str) -> None:
    """Fit the CPU time of a booking: the slope is the cost of a sync, the intercept the rest."""
    points = []
    for rounds in trials.values():
        syncs = statistics.median(2 / each.commands_per_sync for each in rounds)
        costs = tuple(getattr(each, field_name) / each.bookings_per_s * 1e6 for each in rounds)
        points.append(Point(syncs, costs))
    print_fit(name, "syncs per booking", "us", points)


if __name__ == "__main__":
    main()
