"""Tests of control replicas that run as tasks of one process."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from structlog.testing import capture_logs

from lycheefall._control.service import run_control
from lycheefall._control.settings import ControlSettings, Voter
from lycheefall._control.storage import LOG_FILE, close_storage, open_storage
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import ReplicaRole
from lycheefall._core.events import Event
from lycheefall._core.exceptions import LogDamaged
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Digest,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.control import Changes, Claim, StatusReport
from processes.control_harness import apply_file, client_of, collector, eventually, free_addresses
from processes.replica import parse_number

CLAIM = Claim(
    IdempotencyKey("1-a"),
    TeamId("team-0"),
    Digest("d"),
    time.time_ns() // 1_000_000,
    Incarnation("entry"),
    UpstreamId("service-0"),
    Incarnation("agent"),
)


def settings_of_three(folder: Path) -> list[ControlSettings]:
    """Return settings of three replicas on free ports."""
    ports = free_addresses(6)
    voters = tuple(
        Voter(InstanceId(name), ports[2 * position], ports[2 * position + 1])
        for position, name in enumerate("abc")
    )
    return [
        ControlSettings(
            instance=each.instance,
            data_centre=DataCentreId("cork-a"),
            client_listen=each.client_address,
            peer_listen=each.peer_address,
            voters=voters,
            data_folder=folder / each.instance,
        )
        for each in voters
    ]


@asynccontextmanager
async def replicas_of(folder: Path) -> AsyncIterator[list[ControlSettings]]:
    """Run three replicas as tasks and yield their settings."""
    replicas = settings_of_three(folder)
    tasks = [asyncio.ensure_future(run_control(each, parse_number)) for each in replicas]
    try:
        yield replicas
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TestLogLines:
    async def test_events_of_a_cluster(self, tmp_path: Path) -> None:
        """Guards against changes of roles, voters and files that are not logged."""
        with capture_logs() as lines:
            async with replicas_of(tmp_path) as replicas:
                addresses = tuple(each.client_listen for each in replicas)
                async with client_of(addresses) as client:
                    await apply_file(client, 0, 7)
                    await apply_file(client, 0, 8)
                    await client.propose(CLAIM, 5.0)
                reports = [await report_of(each) for each in addresses]
        leaders = [each for each in reports if each.role == ReplicaRole.LEADER.value]
        assert [each.claims for each in leaders] == [1]
        logged_events = {line["number"] for line in lines}
        assert logged_events >= {
            Event.ROLE_CHANGED,
            Event.VOTERS_CHANGED,
            Event.FILE_ACCEPTED,
            Event.FILE_REFUSED,
        }
        files = [line for line in lines if line["number"] == Event.FILE_ACCEPTED]
        assert [line["revision"] for line in files] == [1]

    async def test_unreachable_control(self) -> None:
        """Guards against a process that loses control without logging it."""
        with capture_logs() as lines:
            async with client_of((free_addresses(1)[0],)):
                await eventually(lambda: bool(lines), 5)
        assert [line["number"] for line in lines] == [Event.CONTROL_LOST]

    async def test_damaged_log(self, tmp_path: Path) -> None:
        """Guards against a replica that truncates its log, or stops, without logging it."""
        settings = settings_of_three(tmp_path)[0]
        storage, _ = open_storage(settings.data_folder, settings.instance)
        close_storage(storage)
        log_file = settings.data_folder / LOG_FILE
        with log_file.open("ab") as file:
            file.write(b"LYF1")
        with capture_logs() as lines:
            replica = asyncio.ensure_future(run_control(settings, parse_number))
            await eventually(lambda: bool(lines), 5)
            replica.cancel()
            await asyncio.gather(replica, return_exceptions=True)
            log_file.write_bytes(b"")
            with pytest.raises(LogDamaged):
                await run_control(settings, parse_number)
        assert {Event.LOG_TAIL_CUT, Event.LOG_DAMAGED} <= {line["number"] for line in lines}


async def report_of(address: Address) -> StatusReport:
    """Return the status of the replica at an address."""
    async with client_of((address,)) as client:
        return await client.status(5.0)


class TestControl:
    async def test_apply_and_watch(self, tmp_path: Path) -> None:
        """Guards against an accepted file that is not delivered to watchers of another replica."""
        received: list[Changes] = []
        async with (
            replicas_of(tmp_path) as replicas,
            client_of(tuple(each.client_listen for each in replicas)) as client,
            client_of((replicas[2].client_listen,), collector(received)),
        ):
            result = await apply_file(client, 0, 7)
            assert (result.code, result.revision) == (ResultCode.OK, 1)
            await eventually(lambda: any(each.configuration for each in received), 2)
        delivered = [each.configuration for each in received if each.configuration is not None]
        assert [each.limits.queue_requests for each in delivered] == [7]
