"""Upstreams that leave under load, with control reachable, cut off or gone."""

import asyncio
import subprocess
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import pytest

from processes.callers import LongAnswer, long_stream, short_load, statistics
from processes.fleet import Fleet, configuration_text, forwarded, running
from processes.scaffold import eventually

# Bound of the targets table for new work to a leaving upstream.
LEAVING_S = 2.0
# Time after the bound in which the load goes on.
WATCH_S = 1.5
LONG_TOKENS = 250
LONG_STREAMS = 8
# An entry without a control replica of its own.
PLAIN_ENTRY = 3
END_TIMEOUT_S = 20.0
LEAVING = ("engine-0", "service-0")
STAYING = ("engine-1", "service-1")

# Orders a drain and returns the processes that must end by themselves.
Order = Callable[[Fleet], Awaitable[list[subprocess.Popen[bytes]]]]


async def order_by_file(fleet: Fleet) -> list[subprocess.Popen[bytes]]:
    """Apply a file that drains the leaving upstreams."""
    text = configuration_text(1, engine_drain=("engine-0",), service_drain=("service-0",))
    applied = await asyncio.to_thread(fleet.apply, text)
    assert applied.returncode == 0, applied.stdout + applied.stderr
    return []


async def order_by_signal(fleet: Fleet) -> list[subprocess.Popen[bytes]]:
    """Send SIGTERM to the agents of the leaving upstreams."""
    return [fleet.terminate(f"{name}-agent") for name in LEAVING]


async def order_and_kill_control(fleet: Fleet) -> list[subprocess.Popen[bytes]]:
    """Send SIGTERM to the agents, then kill all control replicas with their entries."""
    ended = await order_by_signal(fleet)
    for number in range(fleet.replicas):
        fleet.kill(f"entry-{number}")
    return ended


async def work_of(fleet: Fleet, session: aiohttp.ClientSession, name: str) -> int:
    """Return how many requests an upstream has taken."""
    if name.startswith("service"):
        return len(fleet.executions_of(name))
    return (await statistics(fleet, session, name))["submitted"]


async def check_leaving(
    fleet: Fleet, session: aiohttp.ClientSession, order: Order, entries: range
) -> None:
    """Order the drain under load, then compare the work of all upstreams after the bound."""
    long_entries = [entries[number % len(entries)] for number in range(LONG_STREAMS)]
    streams = [
        asyncio.create_task(long_stream(fleet, session, entry, f"long {number}", LONG_TOKENS))
        for number, entry in enumerate(long_entries)
    ]
    async with short_load(fleet, session, entries) as answers:
        await asyncio.sleep(1.0)
        ended = await order(fleet)
        await asyncio.sleep(LEAVING_S)
        before = {name: await work_of(fleet, session, name) for name in LEAVING + STAYING}
        await asyncio.sleep(WATCH_S)
        after = {name: await work_of(fleet, session, name) for name in LEAVING + STAYING}
        wholes: list[LongAnswer] = await asyncio.gather(*streams)
    print(f"work after {LEAVING_S} s {before}, {WATCH_S} s later {after}, {answers.codes}")
    assert [after[name] for name in LEAVING] == [before[name] for name in LEAVING]
    assert all(answers.ran("chat", entry) for entry in entries)
    assert after["engine-1"] > before["engine-1"]
    assert all(each.is_whole for each in wholes)
    for name in ("engine-0", "engine-1"):
        assert (await statistics(fleet, session, name))["withdrawn"] == 0
    for process in ended:
        await eventually(lambda each=process: each.poll() is not None, END_TIMEOUT_S)
        assert process.returncode == 0


def planned(folder: Path) -> Fleet:
    """Return a fleet with two upstreams of each kind."""
    fleet = Fleet(folder, engines=2, services=2)
    fleet.assign_addresses()
    return fleet


class TestLeaving:
    @pytest.mark.parametrize("order", [order_by_file, order_by_signal])
    async def test_no_new_work(self, tmp_path: Path, order: Order) -> None:
        """Guards against new work at a leaving upstream and against cutting off what it runs.

        Three entries reach control; the fourth is cut off from it before the order.
        """
        fleet = planned(tmp_path)
        names = [f"entry-{PLAIN_ENTRY}:client-{n}" for n in range(fleet.replicas)]
        async with forwarded(fleet, *names) as links, running(fleet) as session:
            for link in links:
                link.block()
            await check_leaving(fleet, session, order, range(4))

    async def test_control_lost(self, tmp_path: Path) -> None:
        """Guards against a drain that ends when all control replicas die after its order."""
        fleet = planned(tmp_path)
        async with running(fleet) as session:
            await check_leaving(fleet, session, order_and_kill_control, range(PLAIN_ENTRY, 4))
