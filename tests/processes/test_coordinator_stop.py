"""Tests of map changes whose coordinating entry is stopped, with the entries as processes."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from enum import Enum
from pathlib import Path
from random import Random

import pytest

from entry_harness import read_response, request
from lycheefall._core.expert_maps import Arm, Go, Hold, Prepare, RankOrder
from processes.platform_harness import (
    INITIAL_FILE,
    ROUTES,
    PlatformCluster,
    poll_until,
    start_platform,
)
from processes.rank_servers import ENGINE, POOL, RANKS, RankServers, running_ranks

pytestmark = pytest.mark.processes

CALLERS = 24
# Longer than the streams in progress take.
STREAMS_END_S = 3.0
# Longer than an entry without callers runs after its signal, and shorter than its grace.
ORDERS_LOST_S = 4.0
# The streams of a group are late if it stands still for longer than this.
LONGEST_PAUSE_S = 2.0
ROLLOUT_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 9.0
FILE = INITIAL_FILE | {
    "Routes": [ROUTES[0] | {"Resumable": False, "ItlTargetMs": 120}],
    "Services": [{"Name": POOL, "MaxConnections": 400, "Engine": ENGINE}],
}


class Moment(Enum):
    """A moment of a rollout, by the last order that a rank has received."""

    # No rank has carried out the order to prepare.
    PREPARE_SENT = "prepare-sent"
    PREPARED_IN_PART = "prepared-in-part"
    PREPARED = "prepared"
    HOLD_SENT = "hold-sent"
    HELD = "held"
    ARMED_IN_PART = "armed-in-part"
    ARMED = "armed"
    GO_SENT = "go-sent"


def moment_of(order: RankOrder, number: int, is_carried_out: bool) -> Moment | None:
    """Return the moment of the rollout at an order; `number` counts those of its kind."""
    match order:
        case Prepare() if not is_carried_out:
            return Moment.PREPARE_SENT
        case Prepare():
            return Moment.PREPARED if number == RANKS else Moment.PREPARED_IN_PART
        case Hold():
            return Moment.HELD if is_carried_out else Moment.HOLD_SENT
        case Arm() if is_carried_out:
            return Moment.ARMED if number == RANKS else Moment.ARMED_IN_PART
        case Go() if not is_carried_out:
            return Moment.GO_SENT
    return None


@asynccontextmanager
async def busy_group(folder: Path) -> AsyncIterator[tuple[PlatformCluster, RankServers, str]]:
    """Run two entries and a group with a balanced map; also return the coordinating entry."""
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(start_platform(folder, 1, 2))
        await cluster.change_file(**FILE)
        servers = await stack.enter_async_context(running_ranks(cluster))
        await cluster.wait_until_ready()
        callers = [
            asyncio.create_task(run_caller(cluster, servers, number)) for number in range(CALLERS)
        ]
        try:
            coordinator = await poll_until(lambda: find_coordinator(cluster), ROLLOUT_TIMEOUT_S)
            await servers.wait_for_switch()
            yield cluster, servers, coordinator
        finally:
            for each in callers:
                each.cancel()
            await asyncio.gather(*callers, return_exceptions=True)


async def run_caller(cluster: PlatformCluster, servers: RankServers, number: int) -> None:
    """Ask for one stream after the other, at any entry that has callers, until cancelled."""
    random = Random(number)
    turn = 0
    while True:
        turn += 1
        entries = [
            each for each in cluster.with_role("entry") if each.name not in servers.without_callers
        ]
        host, _, port = random.choice(entries).caller_address.partition(":")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request("/s/x", attempt=f"c{number}-{turn}", deadline_ms=8000))
                await read_response(reader)
            finally:
                writer.close()
        await asyncio.sleep(0.02)


async def find_coordinator(cluster: PlatformCluster) -> str | None:
    """Return the entry that has put a map in force."""
    for machine in cluster.with_role("entry"):
        if any(is_in_force(each) for each in cluster.events(machine.name)):
            return machine.name
    return None


def is_in_force(line: dict[str, object]) -> bool:
    """Return whether a log line says that a map is in force."""
    return line["event"] == "experts_placed" and line["outcome"] == "in-force"


def signal_at(
    servers: RankServers, moment: Moment, send_signal: asyncio.Event, is_lost: asyncio.Event
) -> None:
    """Set an event at a moment of the next rollout; orders get lost while `is_lost` is set."""
    numbers: dict[type, int] = {}

    def observe(order: RankOrder, is_carried_out: bool) -> None:
        number = numbers.get(type(order), 0) + is_carried_out
        numbers[type(order)] = number
        if moment_of(order, number, is_carried_out) is moment:
            send_signal.set()

    def before(rank: int, order: RankOrder) -> bool:
        if is_lost.is_set() and send_signal.is_set():
            return False
        observe(order, False)
        return not (is_lost.is_set() and send_signal.is_set())

    def after(rank: int, order: RankOrder) -> bool:
        observe(order, True)
        return not (is_lost.is_set() and send_signal.is_set())

    servers.before_order, servers.after_order = before, after


async def stop_coordinator(
    cluster: PlatformCluster,
    servers: RankServers,
    coordinator: str,
    moment: Moment,
    number: signal.Signals,
    is_lost: asyncio.Event,
) -> float:
    """Signal the coordinator at a moment of its next rollout; return the time of the signal."""
    send_signal = asyncio.Event()
    signal_at(servers, moment, send_signal, is_lost)
    servers.shift_demand()
    async with asyncio.timeout(ROLLOUT_TIMEOUT_S):
        await send_signal.wait()
    cluster.signal(coordinator, number)
    return asyncio.get_running_loop().time()


class TestStop:
    @pytest.mark.parametrize(
        "moment",
        [Moment.PREPARE_SENT, Moment.PREPARED, Moment.HOLD_SENT, Moment.HELD, Moment.ARMED],
    )
    async def test_stop(self, tmp_path: Path, moment: Moment) -> None:
        """Guards against a group that a stopping coordinator leaves held."""
        async with busy_group(tmp_path) as (cluster, servers, name):
            at_s = await stop_coordinator(
                cluster, servers, name, moment, signal.SIGTERM, asyncio.Event()
            )
            await cluster.wait_for_exit(name, EXIT_TIMEOUT_S)
            await asyncio.sleep(LONGEST_PAUSE_S + 1.0)
            assert servers.longest_pause_s(at_s) < LONGEST_PAUSE_S

    @pytest.mark.parametrize("moment", [Moment.HELD, Moment.ARMED_IN_PART])
    async def test_crash(self, tmp_path: Path, moment: Moment) -> None:
        """Guards against a group that stays held after its coordinator was killed."""
        async with busy_group(tmp_path) as (cluster, servers, name):
            at_s = await stop_coordinator(
                cluster, servers, name, moment, signal.SIGKILL, asyncio.Event()
            )
            await asyncio.sleep(2 * LONGEST_PAUSE_S + 1.0)
            assert servers.longest_pause_s(at_s) < LONGEST_PAUSE_S

    @pytest.mark.parametrize("moment", [Moment.HELD, Moment.ARMED_IN_PART, Moment.GO_SENT])
    async def test_exit_while_orders_get_lost(self, tmp_path: Path, moment: Moment) -> None:
        """Guards against a group that stays held if its coordinator exits before `go` arrives."""
        async with busy_group(tmp_path) as (cluster, servers, name):
            is_lost = asyncio.Event()
            is_lost.set()
            await stop_coordinator(cluster, servers, name, moment, signal.SIGTERM, is_lost)
            await cluster.wait_for_exit(name, EXIT_TIMEOUT_S)
            is_lost.clear()
            at_s = asyncio.get_running_loop().time()
            await asyncio.sleep(2 * LONGEST_PAUSE_S)
            assert servers.longest_pause_s(at_s) < LONGEST_PAUSE_S

    async def test_all_entries_stop_while_orders_get_lost(self, tmp_path: Path) -> None:
        """Guards against a coordinator that exits within a switch because it has no callers.

        The other entry stops as well, so none takes over while its streams wait for the group.
        """
        async with busy_group(tmp_path) as (cluster, servers, name):
            servers.without_callers.add(name)
            await asyncio.sleep(STREAMS_END_S)
            is_lost = asyncio.Event()
            is_lost.set()
            await stop_coordinator(cluster, servers, name, Moment.HELD, signal.SIGTERM, is_lost)
            for machine in cluster.with_role("entry"):
                cluster.signal(machine.name, signal.SIGTERM)
            await asyncio.sleep(ORDERS_LOST_S)
            is_lost.clear()
            at_s = asyncio.get_running_loop().time()
            await asyncio.sleep(LONGEST_PAUSE_S)
            assert servers.longest_pause_s(at_s) < LONGEST_PAUSE_S / 2
            await cluster.wait_for_exit(name, EXIT_TIMEOUT_S - ORDERS_LOST_S)
