"""Cost of heartbeats, watchers and delivered files to a control replica and to watchers.

Run: PYTHONPATH=src:tests:. python -m bench.control_slopes
With `deliveries` behind it, only the delivery of files is measured.
"""

import asyncio
import contextlib
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from bench.slopes import ROUNDS, Point, processor_s, resident_mb, shares, show
from bench.system import apply_teams, counts_of, crowd, replicas
from lycheefall._control.configuration_cache import CachedConfiguration, apply_changes
from lycheefall._core.ids import Address, Incarnation, Revision
from lycheefall._core.messages.control import Changes, Watch
from lycheefall._wire.codec import encode
from processes.scaffold import ask

BEATS_PER_S = 4
ANNOUNCERS = (25, 50, 100, 200)
WATCHERS = (0, 50, 100, 200)
MEMBERS = 100
CROWDS = 4
TEAMS = 570
WINDOW_S = 1.5
SETTLE_S = 1.5
ARRIVE_S = 4.0


def main() -> None:
    """Print points and slopes."""
    if sys.argv[1:] == ["deliveries"]:
        deliveries()
        return
    for changes in (False, True):
        heartbeats(changes)
    watchers("watchers, no members", 0, False)
    watchers(f"watchers, {MEMBERS} members, no change", MEMBERS, False)
    watchers(f"watchers, {MEMBERS} members, load changes in each heartbeat", MEMBERS, True)
    deliveries()


def heartbeats(changes: bool) -> None:
    """Measure a replica that hears heartbeats and has no watcher."""
    points, memory = [], []
    for count in ANNOUNCERS:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            process, address = running[0]
            # The replica answers, so its start is over.
            uvloop.run(apply_teams((address,), teams=10))
            with crowd(agents=count, announce_to=[address], load_changes=changes):
                time.sleep(SETTLE_S)
                (cores,) = shares([process.pid], WINDOW_S)
                points.append(Point(count * BEATS_PER_S, cores))
                memory.append(Point(count, (resident_mb(process.pid),)))
    kind = "changed" if changes else "unchanged"
    show(f"replica, {kind} heartbeats", "heartbeats/s", "core", points)
    show("replica, memory", "announcers", "MB", memory)


def watchers(name: str, members: int, changes: bool) -> None:
    """Measure a replica and the watching processes while nothing but load changes."""
    replica, watching, memory, bytes_in = [], [], [], []
    for count in WATCHERS:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            process, address = running[0]
            uvloop.run(apply_teams((address,), teams=10))
            announcing = {"agents": members, "announce_to": [address], "load_changes": changes}
            with crowd(**announcing), crowd(watchers=count, watch=[address]) as other:
                time.sleep(SETTLE_S)
                cores, other_cores = shares([process.pid, other.pid], WINDOW_S)
                replica.append(Point(count, cores))
                watching.append(Point(count, other_cores))
                memory.append(Point(count, (resident_mb(process.pid),)))
                if count:
                    seen = counts_of(other)
                    bytes_in.append((count, seen.bytes_in / seen.answers, seen.answers))
    show(f"replica, {name}", "watchers", "core", replica)
    show(f"watching process, {name}", "watchers", "core", watching)
    show(f"replica memory, {name}", "watchers", "MB", memory)
    for count, size, answers in bytes_in:
        print(f"  {count} watchers: the first one got {answers} answers of {size:.0f} bytes")


def deliveries() -> None:
    """Measure the time until a file of 570 teams with one more is in force at all watchers."""
    sizes = uvloop.run(_sizes())
    print(f"one more team than 570: {sizes[0]} bytes to a process, {sizes[1]} as a whole")
    times, cost, receiving = [], [], []
    for count in WATCHERS[1:]:
        trials = uvloop.run(_deliver(count))
        times.append(Point(count, tuple(each[0] for each in trials)))
        cost.append(Point(count, tuple(each[1] for each in trials)))
        receiving.append(Point(count, tuple(each[2] for each in trials)))
    show("one more team than 570 in force everywhere, one replica", "watchers", "s", times)
    show("replica, one such change above idle", "watchers", "processor s", cost)
    show("watchers together, one such change above idle", "watchers", "processor s", receiving)


async def _sizes() -> tuple[int, int]:
    """Return the bytes of the answer that brings a change, and of a whole configuration."""
    with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
        address = running[0][1]
        await apply_teams((address,))
        first = await _answer(address, CachedConfiguration())
        await _apply(address, 1)
        answer = await _answer(address, apply_changes(CachedConfiguration(), first)[0])
    return len(encode(answer)), len(encode(first))


async def _answer(address: Address, held: CachedConfiguration) -> Changes:
    """Ask as a process that holds this until a revision comes that it lacks."""
    watch = Watch(1, held.revision, Incarnation(""), 0, 0, held.digest)
    while True:
        answer = await ask(address, watch)
        assert isinstance(answer, Changes)
        if answer.revision > held.revision:
            return answer


async def _deliver(count: int) -> list[tuple[float, float, float]]:
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        process, address = stack.enter_context(replicas(folder, 1))[0]
        await apply_teams((address,))
        watch = {"watchers": count // CROWDS, "watch": [address]}
        crowds = [stack.enter_context(crowd(**watch)) for _ in range(CROWDS)]
        await asyncio.sleep(SETTLE_S)
        pids = [process.pid, *(each.pid for each in crowds)]
        idle = await asyncio.to_thread(_spent, pids)
        starts, spent = [], []
        for revision in range(1, 1 + ROUNDS):
            starts.append(time.monotonic())
            work = asyncio.to_thread(_spent, pids)
            _, cores = await asyncio.gather(_apply(address, revision), work)
            spent.append(cores)
        seen = [counts_of(each) for each in crowds]
    trials = []
    for turn, start_s in enumerate(starts):
        revision = turn + 2
        assert sum(each.holders[revision] for each in seen) == count // CROWDS * CROWDS
        last_s = max(each.last_s[revision] for each in seen) - start_s
        trials.append((last_s, spent[turn][0] - idle[0], spent[turn][1] - idle[1]))
    return trials


async def _apply(address: Address, revision: int) -> None:
    await apply_teams((address,), Revision(revision), TEAMS + revision)


def _spent(pids: list[int]) -> tuple[float, float]:
    before = [processor_s(pid) for pid in pids]
    time.sleep(ARRIVE_S)
    first, *rest = (processor_s(pid) - b for pid, b in zip(pids, before, strict=True))
    return first, sum(rest)


if __name__ == "__main__":
    main()
