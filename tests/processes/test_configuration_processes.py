"""Configuration files under racing operators, lost answers and restarts of everything."""

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
from processes.callers import booking, short_chat, statistics
from processes.fleet import Fleet, configuration_text, running
from processes.scaffold import POLL_S, client_of

# Bound of the targets table for an accepted file.
IN_FORCE_S = 2.0
CHANGES = 100
RACERS = 6
SNAPSHOT_ROUNDS = 30
RESTART_TIMEOUT_S = 30.0
ACCEPTED = "OK (1000)"
CONFLICT = "(5000)"


def planned(folder: Path) -> Fleet:
    """Return a fleet with two upstreams of each kind."""
    fleet = Fleet(folder, engines=2, services=2)
    fleet.assign_addresses()
    return fleet


async def known_teams(fleet: Fleet, session: aiohttp.ClientSession, entry: int) -> int | None:
    """Return how many of the teams named team-N an entry knows; None if it takes no work."""
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
    """Return the revisions that a process put in force, in order, since its first start."""
    lines = (fleet.folder / f"{name}.log").read_text().splitlines()
    events = [json.loads(line) for line in lines if '"configuration_in_force"' in line]
    return [event["revision"] for event in events]


async def accept(client: ControlClient, replaces: int, text: str) -> None:
    """Have a file accepted, without the start-up time of the command line."""
    result = await client.propose(ApplyFile(Revision(replaces), digest_of(text), text), 10.0)
    assert isinstance(result, FileResult)
    assert (result.code, result.revision) == (ResultCode.OK, replaces + 1), result


async def apply(fleet: Fleet, text: str, name: str = "configuration") -> str:
    """Apply a file under its own name and return what the command line printed."""
    file = fleet.folder / f"{name}.toml"
    file.write_text(text)
    arguments = ("apply", str(file), "--control", fleet.control)
    return (await asyncio.to_thread(fleet.command, *arguments)).stdout


async def wait_for_teams(fleet: Fleet, session: aiohttp.ClientSession, teams: int) -> None:
    """Wait until every entry knows exactly these teams."""
    for entry in range(fleet.entries):
        while await known_teams(fleet, session, entry) != teams:
            await asyncio.sleep(POLL_S)


async def work_through_all(fleet: Fleet, session: aiohttp.ClientSession, name: str) -> None:
    """Send chats and bookings through every entry; all must be answered."""
    calls = [
        send(fleet, session, entry, f"{name}-{entry}-{number}")
        for send in (short_chat, booking)
        for entry in range(fleet.entries)
        for number in range(4)
    ]
    answers = await asyncio.gather(*calls)
    assert set(answers) == {(200, "1000")}


async def work_of(fleet: Fleet, session: aiohttp.ClientSession) -> tuple[int, int]:
    """Return the work that the upstreams to be drained have taken."""
    chats = (await statistics(fleet, session, "engine-0"))["submitted"]
    return chats, len(fleet.executions_of("service-0"))


class TestConfiguration:
    async def test_in_force(self, tmp_path: Path) -> None:
        """Guards against an entry or agent that holds an older file 2 s after it was accepted."""
        fleet = planned(tmp_path)
        async with running(fleet) as session, client_of(self.addresses(fleet)) as client:
            for replaces, teams in enumerate((12, 7, 9, 10), start=1):
                await accept(client, replaces, configuration_text(replaces, teams))
                async with asyncio.timeout(IN_FORCE_S):
                    await wait_for_teams(fleet, session, teams)
            await accept(client, 5, configuration_text(5, 10, ("engine-0",), ("service-0",)))
            await asyncio.sleep(IN_FORCE_S)
            before = await work_of(fleet, session)
            await work_through_all(fleet, session, "drained")
            assert await work_of(fleet, session) == before
            await accept(client, 6, configuration_text(6, 10))
            await asyncio.sleep(IN_FORCE_S)
            await work_through_all(fleet, session, "again")
            assert all(a > b for a, b in zip(await work_of(fleet, session), before, strict=True))

    async def test_racing_operators(self, tmp_path: Path) -> None:
        """Guards against two winners of a race, and against a resend that counts as a change."""
        fleet = planned(tmp_path)
        async with running(fleet) as session:
            texts = [configuration_text(1, 20 + number) for number in range(RACERS)]
            races = (apply(fleet, text, f"racer-{n}") for n, text in enumerate(texts))
            answers = await asyncio.gather(*races)
            winners = [n for n, answer in enumerate(answers) if answer.startswith(ACCEPTED)]
            assert len(winners) == 1, answers
            digest = digest_of(texts[winners[0]])
            assert all(digest in answer for answer in answers), answers
            assert sum(CONFLICT in answer for answer in answers) == RACERS - 1
            assert await apply(fleet, texts[winners[0]]) == answers[winners[0]]
            async with asyncio.timeout(IN_FORCE_S):
                await wait_for_teams(fleet, session, 20 + winners[0])
            await self.lose_answer(fleet, session)

    async def lose_answer(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        """Apply over links that lose the answer, and resend when the file is in force."""
        links = [Forwarder(fleet.addresses[f"client-{n}"]) for n in range(fleet.replicas)]
        for number, link in enumerate(links):
            await link.open()
            link.hold_answers_after = b"replaces = 2"
            fleet.address_overrides[f"operator:client-{number}"] = link.address
        text = configuration_text(2, 30)
        lost = asyncio.create_task(apply(fleet, text, "lost"))
        try:
            async with asyncio.timeout(RESTART_TIMEOUT_S):
                await wait_for_teams(fleet, session, 30)
            fleet.address_overrides.clear()
            first = await apply(fleet, text, "resent")
            assert first.startswith(f"{ACCEPTED}: revision 3")
            assert await apply(fleet, text, "resent") == first
            assert not lost.done()
            for link in links:
                link.hold_answers_after = b""
                link.heal()
            assert await lost == first
        finally:
            for link in links:
                await link.close()

    async def test_restart_of_everything(self, tmp_path: Path) -> None:
        """Guards against a process that works with an older file after 100 changes."""
        fleet = planned(tmp_path)
        last = 10 + CHANGES - 1
        async with running(fleet) as session, client_of(self.addresses(fleet)) as client:
            for replaces in range(1, CHANGES):
                await accept(client, replaces, configuration_text(replaces, 10 + replaces))
                if replaces == CHANGES // 2:
                    # Enough claims for a snapshot, which then holds an older revision.
                    for number in range(SNAPSHOT_ROUNDS):
                        await work_through_all(fleet, session, f"snapshot-{number}")
            drained = configuration_text(CHANGES, last, ("engine-0",), ("service-0",))
            await accept(client, CHANGES, drained)
            for name in list(fleet.processes):
                fleet.kill(name)
            logged = {name: len(revisions_logged(fleet, name)) for name in fleet.commands}
            before = len(fleet.executions_of("service-0"))
            fleet.start_all()
            async with asyncio.timeout(RESTART_TIMEOUT_S):
                await asyncio.gather(*(first_teams(fleet, session, n, last) for n in range(4)))
            await fleet.wait_until_ready(session)
            await work_through_all(fleet, session, "after")
            assert await work_of(fleet, session) == (0, before)
            for name in fleet.commands:
                if name.startswith("entry") or name.endswith("agent"):
                    assert set(revisions_logged(fleet, name)[logged[name] :]) == {CHANGES + 1}

    def addresses(self, fleet: Fleet) -> tuple[Address, ...]:
        """Return where the control replicas listen."""
        return tuple(fleet.addresses[f"client-{n}"] for n in range(fleet.replicas))


async def first_teams(fleet: Fleet, session: aiohttp.ClientSession, entry: int, teams: int) -> None:
    """Wait until a starting entry takes work; it must then know exactly these teams."""
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            known = await known_teams(fleet, session, entry)
            if known is not None:
                assert known == teams
                return
        await asyncio.sleep(POLL_S)
