"""Tests of configuration files under concurrent operators, lost answers and full restarts."""

import asyncio
import contextlib
import json
from pathlib import Path

import aiohttp

from lycheefall._control.client import ControlClient
from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Address, Revision
from lycheefall._core.messages.control import ApplyFile, FileResult
from lycheefall._fakes.forwarder import Forwarder
from lycheefall._operate.configuration_file import digest_of
from processes.callers import send_booking, send_short_chat, statistics
from processes.control_harness import POLL_S, client_of
from processes.fleet import Fleet, configuration_text, running

# Bound in the targets table of docs/design.md for "accepted file in force everywhere".
IN_FORCE_S = 2.0
CHANGES = 100
RACERS = 6
SNAPSHOT_ROUNDS = 30
RESTART_TIMEOUT_S = 30.0
ACCEPTED = "OK (1000)"
CONFLICT = "(5000)"


def new_fleet(folder: Path) -> Fleet:
    """Return a fleet with two upstreams of each kind."""
    fleet = Fleet(folder, engines=2, services=2)
    fleet.assign_addresses()
    return fleet


async def team_count(fleet: Fleet, session: aiohttp.ClientSession, entry: int) -> int | None:
    """Return how many of the teams named team-N an entry knows, or None if it is not ready."""
    low, high = 0, CHANGES + 20
    while low < high:
        middle = (low + high) // 2
        headers = {"X-Lycheefall-Team": f"team-{middle}"}
        async with session.get(fleet.url(entry, "/v1/entries"), headers=headers) as response:
            if response.status == 200:
                low = middle + 1
            elif (await response.json())["code"] == 3000:
                return None
            else:
                high = middle
    return low


def revisions_logged(fleet: Fleet, name: str) -> list[int]:
    """Return the revisions that a process logged as in force since its first start, in order."""
    lines = (fleet.folder / f"{name}.log").read_text().splitlines()
    events = [json.loads(line) for line in lines if '"configuration_in_force"' in line]
    return [event["revision"] for event in events]


async def accept_file(client: ControlClient, replaces: int, text: str) -> None:
    """Apply a file through a control client, without the start-up time of the command line."""
    result = await client.propose(ApplyFile(Revision(replaces), digest_of(text), text), 10.0)
    assert isinstance(result, FileResult)
    assert (result.code, result.revision) == (ResultCode.OK, replaces + 1), result


async def apply_file(fleet: Fleet, text: str, name: str = "configuration") -> str:
    """Apply a file with the command line, under its own file name, and return the output."""
    file = fleet.folder / f"{name}.toml"
    file.write_text(text)
    arguments = ("apply", str(file), "--control", fleet.control)
    return (await asyncio.to_thread(fleet.command, *arguments)).stdout


async def wait_for_teams(fleet: Fleet, session: aiohttp.ClientSession, teams: int) -> None:
    """Wait until every entry knows exactly these teams."""
    for entry in range(fleet.entries):
        while await team_count(fleet, session, entry) != teams:
            await asyncio.sleep(POLL_S)


async def send_through_all_entries(fleet: Fleet, session: aiohttp.ClientSession, name: str) -> None:
    """Send chats and bookings through every entry and check that all succeed."""
    calls = [
        send(fleet, session, entry, f"{name}-{entry}-{number}")
        for send in (send_short_chat, send_booking)
        for entry in range(fleet.entries)
        for number in range(4)
    ]
    answers = await asyncio.gather(*calls)
    assert set(answers) == {(200, "1000")}


async def requests_received(fleet: Fleet, session: aiohttp.ClientSession) -> tuple[int, int]:
    """Return the numbers of requests received by the upstreams that are drained."""
    chats = (await statistics(fleet, session, "engine-0"))["submitted"]
    return chats, len(fleet.executions_of("service-0"))


class TestConfiguration:
    async def test_in_force(self, tmp_path: Path) -> None:
        """Guards against an entry or agent with an older file 2 s after a new one is accepted."""
        fleet = new_fleet(tmp_path)
        async with running(fleet) as session, client_of(self.addresses(fleet)) as client:
            for replaces, teams in enumerate((12, 7, 9, 10), start=1):
                await accept_file(client, replaces, configuration_text(replaces, teams))
                async with asyncio.timeout(IN_FORCE_S):
                    await wait_for_teams(fleet, session, teams)
            await accept_file(client, 5, configuration_text(5, 10, ("engine-0",), ("service-0",)))
            await asyncio.sleep(IN_FORCE_S)
            before = await requests_received(fleet, session)
            await send_through_all_entries(fleet, session, "drained")
            assert await requests_received(fleet, session) == before
            await accept_file(client, 6, configuration_text(6, 10))
            await asyncio.sleep(IN_FORCE_S)
            await send_through_all_entries(fleet, session, "again")
            assert all(
                a > b for a, b in zip(await requests_received(fleet, session), before, strict=True)
            )

    async def test_racing_operators(self, tmp_path: Path) -> None:
        """Guards against accepting two concurrent files, and a resend that adds a revision."""
        fleet = new_fleet(tmp_path)
        async with running(fleet) as session:
            files = [configuration_text(1, 20 + number) for number in range(RACERS)]
            races = (apply_file(fleet, text, f"racer-{n}") for n, text in enumerate(files))
            answers = await asyncio.gather(*races)
            winners = [n for n, answer in enumerate(answers) if answer.startswith(ACCEPTED)]
            assert len(winners) == 1, answers
            digest = digest_of(files[winners[0]])
            assert all(digest in answer for answer in answers), answers
            assert sum(CONFLICT in answer for answer in answers) == RACERS - 1
            assert await apply_file(fleet, files[winners[0]]) == answers[winners[0]]
            async with asyncio.timeout(IN_FORCE_S):
                await wait_for_teams(fleet, session, 20 + winners[0])
            await self.lose_answers_and_resend(fleet, session)

    async def lose_answers_and_resend(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        """Apply a file over links that drop the answer, and resend it once the file is in force."""
        links = [Forwarder(fleet.addresses[f"client-{n}"]) for n in range(fleet.replicas)]
        for number, link in enumerate(links):
            await link.open()
            link.hold_answers_after = b"replaces = 2"
            fleet.address_overrides[f"operator:client-{number}"] = link.address
        text = configuration_text(2, 30)
        pending_apply = asyncio.create_task(apply_file(fleet, text, "lost"))
        try:
            async with asyncio.timeout(RESTART_TIMEOUT_S):
                await wait_for_teams(fleet, session, 30)
            fleet.address_overrides.clear()
            first = await apply_file(fleet, text, "resent")
            assert first.startswith(f"{ACCEPTED}: revision 3")
            assert await apply_file(fleet, text, "resent") == first
            assert not pending_apply.done()
            for link in links:
                link.hold_answers_after = b""
                link.heal()
            assert await pending_apply == first
        finally:
            for link in links:
                await link.close()

    async def test_restart_of_everything(self, tmp_path: Path) -> None:
        """Guards against a process that restarts with an older file after 100 changes."""
        fleet = new_fleet(tmp_path)
        last = 10 + CHANGES - 1
        async with running(fleet) as session, client_of(self.addresses(fleet)) as client:
            for replaces in range(1, CHANGES):
                await accept_file(client, replaces, configuration_text(replaces, 10 + replaces))
                if replaces == CHANGES // 2:
                    # Enough claims to trigger a snapshot, which then holds an older revision.
                    for number in range(SNAPSHOT_ROUNDS):
                        await send_through_all_entries(fleet, session, f"snapshot-{number}")
            drained = configuration_text(CHANGES, last, ("engine-0",), ("service-0",))
            await accept_file(client, CHANGES, drained)
            for name in list(fleet.processes):
                fleet.kill(name)
            revisions_before = {name: len(revisions_logged(fleet, name)) for name in fleet.commands}
            before = len(fleet.executions_of("service-0"))
            fleet.start_all()
            async with asyncio.timeout(RESTART_TIMEOUT_S):
                await asyncio.gather(
                    *(wait_for_first_teams(fleet, session, n, last) for n in range(4))
                )
            await fleet.wait_until_ready(session)
            await send_through_all_entries(fleet, session, "after")
            assert await requests_received(fleet, session) == (0, before)
            for name in fleet.commands:
                if name.startswith("entry") or name.endswith("agent"):
                    assert set(revisions_logged(fleet, name)[revisions_before[name] :]) == {
                        CHANGES + 1
                    }

    def addresses(self, fleet: Fleet) -> tuple[Address, ...]:
        """Return the client addresses of the control replicas."""
        return tuple(fleet.addresses[f"client-{n}"] for n in range(fleet.replicas))


async def wait_for_first_teams(
    fleet: Fleet, session: aiohttp.ClientSession, entry: int, teams: int
) -> None:
    """Wait until a starting entry is ready, and check that it knows exactly these teams."""
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            count = await team_count(fleet, session, entry)
            if count is not None:
                assert count == teams
                return
        await asyncio.sleep(POLL_S)
