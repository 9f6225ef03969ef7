"""Measure the cost of heartbeats, watchers and file deliveries for a control replica and watchers.

Run: PYTHONPATH=src:tests:. python -m bench.control_slopes
A watcher is a process that waits at control for changes of the configuration and of the members.
With the argument `deliveries`, only the delivery of configuration files is measured.
"""

import asyncio
import contextlib
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from bench.slopes import ROUNDS, Point, cpu_time_s, cpu_usage, print_fit, resident_mb
from bench.system import apply_teams, peer_simulator, replicas, stop_simulator
from lycheefall._control.configuration_cache import CachedConfiguration, apply_changes
from lycheefall._core.ids import Address, Incarnation, Revision
from lycheefall._core.messages.control import Changes, Watch
from lycheefall._wire.codec import encode
from processes.control_harness import ask

HEARTBEATS_PER_S = 4
ANNOUNCERS = (25, 50, 100, 200)
WATCHERS = (0, 50, 100, 200)
MEMBERS = 100
SIMULATORS = 4
TEAMS = 570
WINDOW_S = 1.5
SETTLE_S = 1.5
DELIVERY_WINDOW_S = 4.0


def main() -> None:
    """Print points and slopes."""
    if sys.argv[1:] == ["deliveries"]:
        measure_deliveries()
        return
    for load_changes in (False, True):
        measure_heartbeats(load_changes)
    measure_watchers("watchers, no members", 0, False)
    measure_watchers(f"watchers, {MEMBERS} members, no change", MEMBERS, False)
    measure_watchers(f"watchers, {MEMBERS} members, load changes in each heartbeat", MEMBERS, True)
    measure_deliveries()


def measure_heartbeats(load_changes: bool) -> None:
    """Measure a replica that receives heartbeats and has no watcher."""
    points, memory = [], []
    for count in ANNOUNCERS:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            process, address = running[0]
            # The answer shows that the replica has started.
            uvloop.run(apply_teams((address,), teams=10))
            with peer_simulator(agents=count, announce_to=[address], load_changes=load_changes):
                time.sleep(SETTLE_S)
                (cores,) = cpu_usage([process.pid], WINDOW_S)
                points.append(Point(count * HEARTBEATS_PER_S, cores))
                memory.append(Point(count, (resident_mb(process.pid),)))
    kind = "changed" if load_changes else "unchanged"
    print_fit(f"replica, {kind} heartbeats", "heartbeats/s", "core", points)
    print_fit("replica, memory", "announcers", "MB", memory)


def measure_watchers(name: str, members: int, load_changes: bool) -> None:
    """Measure a replica and the process of the watchers while no file changes."""
    replica_cores, watcher_cores, memory, bytes_in = [], [], [], []
    for count in WATCHERS:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            process, address = running[0]
            uvloop.run(apply_teams((address,), teams=10))
            announcers = {"agents": members, "announce_to": [address], "load_changes": load_changes}
            with (
                peer_simulator(**announcers),
                peer_simulator(watchers=count, watch=[address]) as watcher_process,
            ):
                time.sleep(SETTLE_S)
                cores, cores_of_watchers = cpu_usage([process.pid, watcher_process.pid], WINDOW_S)
                replica_cores.append(Point(count, cores))
                watcher_cores.append(Point(count, cores_of_watchers))
                memory.append(Point(count, (resident_mb(process.pid),)))
                if count:
                    counts = stop_simulator(watcher_process)
                    bytes_in.append((count, counts.bytes_in / counts.answers, counts.answers))
    print_fit(f"replica, {name}", "watchers", "core", replica_cores)
    print_fit(f"watching process, {name}", "watchers", "core", watcher_cores)
    print_fit(f"replica memory, {name}", "watchers", "MB", memory)
    for count, size, answers in bytes_in:
        print(
            f"  {count} watchers: the first one received {answers} answers, mean {size:.0f} bytes"
        )


def measure_deliveries() -> None:
    """Measure the delivery to all watchers of a file that adds one team to 570."""
    sizes = uvloop.run(_answer_sizes())
    print(f"one team added to 570: {sizes[0]} bytes as a delta, {sizes[1]} as a full configuration")
    times, replica_cost, watcher_cost = [], [], []
    for count in WATCHERS[1:]:
        trials = uvloop.run(_measure_delivery(count))
        times.append(Point(count, tuple(each[0] for each in trials)))
        replica_cost.append(Point(count, tuple(each[1] for each in trials)))
        watcher_cost.append(Point(count, tuple(each[2] for each in trials)))
    print_fit(
        "delivery of one team added to 570 to all watchers, one replica", "watchers", "s", times
    )
    print_fit("replica, CPU time of one delivery above idle", "watchers", "CPU s", replica_cost)
    print_fit(
        "all watchers, CPU time of one delivery above idle", "watchers", "CPU s", watcher_cost
    )


async def _answer_sizes() -> tuple[int, int]:
    """Return the bytes of an answer with a delta and of one with a full configuration."""
    with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
        address = running[0][1]
        await apply_teams((address,))
        first = await _wait_for_newer(address, CachedConfiguration())
        await _apply(address, 1)
        answer = await _wait_for_newer(address, apply_changes(CachedConfiguration(), first)[0])
    return len(encode(answer)), len(encode(first))


async def _wait_for_newer(address: Address, cached: CachedConfiguration) -> Changes:
    """Watch as a process with this cached configuration until a newer revision arrives."""
    watch = Watch(1, cached.revision, Incarnation(""), 0, 0, cached.digest)
    while True:
        answer = await ask(address, watch)
        assert isinstance(answer, Changes)
        if answer.revision > cached.revision:
            return answer


async def _measure_delivery(count: int) -> list[tuple[float, float, float]]:
    """Return, for each round, the delivery time and the CPU time of the replica and the watchers.

    The CPU times are those above the idle load in a window of the same length.
    """
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        process, address = stack.enter_context(replicas(folder, 1))[0]
        await apply_teams((address,))
        watch = {"watchers": count // SIMULATORS, "watch": [address]}
        simulators = [stack.enter_context(peer_simulator(**watch)) for _ in range(SIMULATORS)]
        await asyncio.sleep(SETTLE_S)
        pids = [process.pid, *(each.pid for each in simulators)]
        idle = await asyncio.to_thread(_cpu_times_in_window, pids)
        starts, cpu_times = [], []
        for revision in range(1, 1 + ROUNDS):
            starts.append(time.monotonic())
            measurement = asyncio.to_thread(_cpu_times_in_window, pids)
            _, cpu_s = await asyncio.gather(_apply(address, revision), measurement)
            cpu_times.append(cpu_s)
        counts = [stop_simulator(each) for each in simulators]
    trials = []
    for number, start_s in enumerate(starts):
        # Revision 1 is the file before the first round.
        revision = number + 2
        assert sum(each.holders[revision] for each in counts) == count // SIMULATORS * SIMULATORS
        last_s = max(each.last_s[revision] for each in counts) - start_s
        trials.append((last_s, cpu_times[number][0] - idle[0], cpu_times[number][1] - idle[1]))
    return trials


async def _apply(address: Address, revision: int) -> None:
    await apply_teams((address,), Revision(revision), TEAMS + revision)


def _cpu_times_in_window(pids: list[int]) -> tuple[float, float]:
    """Return the CPU time of the first process and of all others together."""
    before = [cpu_time_s(pid) for pid in pids]
    time.sleep(DELIVERY_WINDOW_S)
    first, *rest = (cpu_time_s(pid) - earlier for pid, earlier in zip(pids, before, strict=True))
    return first, sum(rest)


if __name__ == "__main__":
    main()
