"""Tests of control replicas as tasks of one process."""

import asyncio
from pathlib import Path

from lycheefall._control.service import run_control
from lycheefall._control.settings import ControlSettings, Voter
from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import DataCentreId, InstanceId
from lycheefall._core.messages.control import Changes
from processes.replica import parse_number
from processes.scaffold import apply_file, client_of, collector, eventually, free_addresses


def settings_of_three(folder: Path) -> list[ControlSettings]:
    """Return the settings of three replicas on free ports."""
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


class TestControl:
    async def test_apply_and_watch(self, tmp_path: Path) -> None:
        """Guards against an accepted file that watchers of another replica don't receive."""
        replicas = settings_of_three(tmp_path)
        tasks = [asyncio.ensure_future(run_control(each, parse_number)) for each in replicas]
        seen: list[Changes] = []
        try:
            async with (
                client_of(tuple(each.client_listen for each in replicas)) as client,
                client_of((replicas[2].client_listen,), collector(seen)),
            ):
                result = await apply_file(client, 0, 7)
                assert (result.code, result.revision) == (ResultCode.OK, 1)
                await eventually(lambda: any(each.configuration for each in seen), 2)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        delivered = [each.configuration for each in seen if each.configuration is not None]
        assert [each.limits.queue_requests for each in delivered] == [7]
