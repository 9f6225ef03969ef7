"""Cost of claims to control replicas: processor time, syncs, bytes of log and latency.

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

from bench.slopes import ROUNDS, Point, processor_s, show
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
from processes.scaffold import Cluster, client_of, cluster, wait_for_leader

IN_FLIGHT = (1, 4, 16, 64)
SECONDS = 1.5
PROPOSE_S = 5.0
SYNCS = 200
# The whole log is kept, so that its frames can be counted.
NO_SNAPSHOT = 10_000_000
ANSWER = RecordedAnswer(ResultCode.OK, 200, "application/json", b"x" * 100)


class Trial(Struct, frozen=True):
    """What one load on a cluster gave."""

    bookings_per_s: float
    p50_ms: float
    leader_cores: float
    follower_cores: float
    commands_per_sync: float
    log_bytes: float
    client_us: float


class Load(Struct):
    """Bookings that were carried out, and the times of their claims."""

    bookings: int = 0
    claim_s: list[float] = []


def main() -> None:
    """Print points and slopes for one and for three replicas."""
    with tempfile.TemporaryDirectory() as folder:
        print(f"sync of 500 appended bytes: median {_sync_us(Path(folder)):.0f} us")
    for names in ("a", "abc"):
        with tempfile.TemporaryDirectory() as folder:
            _print(len(names), uvloop.run(_trials(Path(folder), names)))


def _sync_us(folder: Path) -> float:
    times_us = []
    with (folder / "file").open("ab", buffering=0) as file:
        for _ in range(SYNCS):
            start_s = time.perf_counter()
            file.write(b"x" * 500)
            os.fsync(file.fileno())
            times_us.append((time.perf_counter() - start_s) * 1e6)
    return statistics.median(times_us)


async def _trials(folder: Path, names: str) -> dict[int, list[Trial]]:
    trials: dict[int, list[Trial]] = {}
    async with cluster(folder, names, names, snapshot_entries=NO_SNAPSHOT) as made:
        leader = await wait_for_leader(made, tuple(names))
        async with client_of(made.clients()) as client:
            # The first command takes the client to the leader.
            await _book(client, Load())
            for in_flight in IN_FLIGHT:
                trials[in_flight] = [
                    await _trial(made, client, leader, in_flight) for _ in range(ROUNDS)
                ]
    return trials


async def _trial(made: Cluster, client: ControlClient, leader: str, in_flight: int) -> Trial:
    pids = {name: process.pid for name, process in made.processes.items()}
    before = {name: processor_s(pid) for name, pid in pids.items()}
    frames_before, bytes_before = _log(made, leader)
    own_s, load = time.process_time(), Load(claim_s=[])
    end_s = time.perf_counter() + SECONDS

    async def caller() -> None:
        while time.perf_counter() < end_s:
            await _book(client, load)

    await asyncio.gather(*(caller() for _ in range(in_flight)))
    own_s = time.process_time() - own_s
    cores = {name: (processor_s(pid) - before[name]) / SECONDS for name, pid in pids.items()}
    frames, size = _log(made, leader)
    others = [value for name, value in cores.items() if name != leader]
    return Trial(
        load.bookings / SECONDS,
        statistics.median(load.claim_s) * 1000,
        cores[leader],
        statistics.median(others) if others else 0.0,
        2 * load.bookings / (frames - frames_before),
        (size - bytes_before) / load.bookings,
        own_s / load.bookings * 1e6,
    )


def _log(made: Cluster, name: str) -> tuple[int, int]:
    data = (made.specs[name].folder / LOG_FILE).read_bytes()
    return len(read_frames(data, LOG_FILE).payloads), len(data)


async def _book(client: ControlClient, load: Load) -> None:
    key, team = IdempotencyKey(str(uuid.uuid4())), TeamId(f"team-{load.bookings % 570}")
    holder = Incarnation("e" * 16)
    digest, upstream = Digest("d" * 32), UpstreamId("counter-app-1")
    now_ms = int(time.time() * 1000)
    start_s = time.perf_counter()
    claim = Claim(key, team, digest, now_ms, holder, upstream, holder)
    _check(await client.propose(claim, PROPOSE_S))
    load.claim_s.append(time.perf_counter() - start_s)
    _check(await client.propose(RecordOutcome(key, team, FIRST_ATTEMPT, ANSWER), PROPOSE_S))
    load.bookings += 1


def _check(result: Result) -> None:
    assert result.code is ResultCode.OK, result


def _print(replicas: int, trials: dict[int, list[Trial]]) -> None:
    print(f"{replicas} replicas: in flight, bookings/s, p50 of a claim ms, commands a sync")
    for in_flight, rounds in trials.items():
        rate, p50_ms, batch = (
            statistics.median(getattr(each, name) for each in rounds)
            for name in ("bookings_per_s", "p50_ms", "commands_per_sync")
        )
        print(f"  {in_flight}: {rate:.0f}, {p50_ms:.2f}, {batch:.1f}")
    every = [each for rounds in trials.values() for each in rounds]
    print(f"  log bytes a booking: {statistics.median(each.log_bytes for each in every):.0f}")
    print(f"  client us a booking: {statistics.median(each.client_us for each in every):.0f}")
    _show_cost(f"leader of {replicas}, one booking", trials, "leader_cores")
    if replicas > 1:
        _show_cost(f"follower of {replicas}, one booking", trials, "follower_cores")


def _show_cost(name: str, trials: dict[int, list[Trial]], field: str) -> None:
    """Fit the cost of a booking; the slope is that of a sync and the intercept the rest."""
    points = []
    for rounds in trials.values():
        syncs = statistics.median(2 / each.commands_per_sync for each in rounds)
        costs = tuple(getattr(each, field) / each.bookings_per_s * 1e6 for each in rounds)
        points.append(Point(syncs, costs))
    show(name, "syncs a booking", "us", points)


if __name__ == "__main__":
    main()
