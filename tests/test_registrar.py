"""Tests of what a registry knows of upstreams and entries, and whom it tells."""

import asyncio
from asyncio import Future
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState, ReplicaRole
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Fingerprint,
    Incarnation,
    InstanceId,
    LogIndex,
    Revision,
    Term,
    UpstreamId,
)
from lycheefall._core.messages.relay import (
    Crash,
    EntryStatus,
    FetchFile,
    FileBody,
    PeerUpdate,
    ReplicaUpdate,
    ToRelay,
)
from lycheefall._core.pipeline import Inbox, tick
from lycheefall._registry.messages import (
    Announce,
    AwaitRevision,
    Depart,
    DirectoryQuery,
    FromEntry,
    RegistrarTick,
    ToRegistrar,
)
from lycheefall._registry.registrar import (
    ENTRY_TIMEOUT_S,
    MAX_WAIT_FOR_ENTRIES_S,
    REGISTRAR_TICK_PERIOD_S,
    Registrar,
    run_registrar,
)
from lycheefall._rules.replicated.newest_file import NewestFile
from relay_values import record


@dataclass
class Office:
    """A registrar and what it sent."""

    inbox: Inbox[ToRegistrar]
    sent: dict[bytes, list[ToRelay]] = field(default_factory=dict)
    to_peers: list[PeerUpdate] = field(default_factory=list)

    async def status(self, entry: str, **changes: Any) -> None:
        """Let an entry tell how it is."""
        values: dict[str, Any] = {
            "state": MemberState.READY,
            "revision": Revision(1),
            "acknowledged_sequence": 0,
            "in_flight": None,
        } | changes
        status = EntryStatus(
            InstanceId(entry),
            Incarnation(entry),
            Address(f"{entry}:80"),
            DataCentreId("dc1"),
            **values,
        )
        await self.inbox.put(FromEntry(entry.encode(), status))
        await settle()

    def news(self, entry: str) -> list[ReplicaUpdate]:
        """Return what an entry was told."""
        return [
            each for each in self.sent.get(entry.encode(), []) if isinstance(each, ReplicaUpdate)
        ]

    async def announce(self, *changes: Any, **named: Any) -> "Future[None]":
        """Let an upstream announce itself."""
        known: Future[None] = asyncio.get_running_loop().create_future()
        await self.inbox.put(Announce(record(*changes, **named), known))
        await settle()
        return known

    async def directory(self) -> tuple[Address, ...]:
        """Ask for the addresses for callers."""
        found: Future[tuple[Address, ...]] = asyncio.get_running_loop().create_future()
        await self.inbox.put(DirectoryQuery(found))
        return await found


async def settle() -> None:
    """Let the registrar take what is in its inbox."""
    for _ in range(5):
        await asyncio.sleep(0)


@asynccontextmanager
async def office() -> AsyncIterator[Office]:
    """Run a registrar."""
    made = Office(Inbox(1000))
    state = Registrar(instance=InstanceId("c1"))

    def to_entry(peer: bytes, message: ToRelay) -> None:
        made.sent.setdefault(peer, []).append(message)

    loop = asyncio.get_running_loop()
    tasks = [
        asyncio.create_task(
            run_registrar(state, made.inbox, to_entry, made.to_peers.append, loop.time)
        ),
        asyncio.create_task(tick(made.inbox, RegistrarTick(), REGISTRAR_TICK_PERIOD_S)),
    ]
    try:
        yield made
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def view(role: ReplicaRole) -> ReplicaView:
    """Return how the step task sees the agreement."""
    return ReplicaView(role, Term(1), LogIndex(1), None, (InstanceId("c1"),), 0.0, 0.0)


@pytest.mark.looptime
class TestAnnouncements:
    async def test_drain_is_acknowledged_once_entries_know(self) -> None:
        """Guards against an acknowledged drain that an entry has not heard of."""
        async with office() as made:
            await made.status("e1")
            await made.announce(sequence=1)
            known = await made.announce(sequence=2, state=MemberState.DRAINING)
            assert not known.done()
            told = made.news("e1")[-1]
            assert [each.state for each in told.records] == [MemberState.DRAINING]
            await made.status("e1", acknowledged_sequence=told.sequence)
            assert known.done()
            assert [each.records[0].state for each in made.to_peers][-1] is MemberState.DRAINING

    async def test_silent_entry_does_not_hold_the_drain_up(self) -> None:
        """Guards against a leaving upstream that gets no acknowledgement in time."""
        async with office() as made:
            await made.status("e1")
            known = await made.announce()
            await asyncio.wait_for(known, MAX_WAIT_FOR_ENTRIES_S + 2 * REGISTRAR_TICK_PERIOD_S)

    async def test_plain_heartbeat_is_acknowledged_at_once(self) -> None:
        """Guards against heartbeats that wait for entries, and records that are sent again."""
        async with office() as made:
            await made.status("e1")
            await made.announce(sequence=1)
            count = len(made.news("e1"))
            known = await made.announce(sequence=2)
            assert known.done()
            assert len(made.news("e1")) == count
            await asyncio.sleep(0.5)
            later = made.news("e1")[count:]
            assert later
            assert [each.records for each in later if each.records] == []

    async def test_loads_of_the_others_together(self) -> None:
        """Guards against news whose size grows with entries times upstreams, ten times a second."""
        async with office() as made:
            u1, u2 = UpstreamId("u1"), UpstreamId("u2")
            await made.status("e1", in_flight={u1: 1})
            await made.status("e2", in_flight={u1: 2, u2: 3})
            await made.status("e3", in_flight={u2: 4})
            await asyncio.sleep(0.3)
            assert made.news("e1")[-1].in_flight == {u1: 2, u2: 7}
            assert made.news("e3")[-1].in_flight == {u1: 3, u2: 3}

    async def test_entries_only_when_they_change(self) -> None:
        """Guards against all entries being named to each of them again and again."""
        async with office() as made:
            await made.status("e1")
            await made.status("e2")
            await asyncio.sleep(0.6)
            told = [each.entries for each in made.news("e1")]
            assert sum(1 for each in told if each) == 1
            assert told[-1] is None
            await made.status("e2", state=MemberState.DRAINING)
            await asyncio.sleep(0.3)
            changed = [each for each in made.news("e1")[len(told) :] if each.entries]
            assert changed[0].entries is not None
            assert changed[0].entries[0].state is MemberState.DRAINING

    async def test_new_entry_learns_all(self) -> None:
        """Guards against an entry that started later and knows no upstream."""
        async with office() as made:
            await made.announce("u1")
            await made.announce("u2", state=MemberState.DRAINING)
            await made.status("e1")
            names = {each.upstream for each in made.news("e1")[0].records}
            assert names == {"u1", "u2"}

    async def test_departure(self) -> None:
        """Guards against an upstream that leaves without a drain and gets new work."""
        async with office() as made:
            await made.status("e1")
            await made.announce("u1")
            known: Future[None] = asyncio.get_running_loop().create_future()
            await made.inbox.put(Depart(UpstreamId("u1"), 0, known))
            await settle()
            told = made.news("e1")[-1]
            assert told.records[0].state is MemberState.FAILED
            await made.status("e1", acknowledged_sequence=told.sequence)
            assert known.done()

    async def test_news_of_other_replicas(self) -> None:
        """Guards against a drain that entries of another replica alone hear of."""
        async with office() as made:
            await made.status("e1")
            await made.inbox.put(PeerUpdate((record(state=MemberState.DRAINING),)))
            await settle()
            assert made.news("e1")[-1].records[0].state is MemberState.DRAINING

    async def test_changes_are_repeated_to_the_others(self) -> None:
        """Guards against a change that is lost on the way between two replicas."""
        async with office() as made:
            await made.announce(state=MemberState.DRAINING)
            first = len(made.to_peers)
            await asyncio.sleep(1.2)
            assert len(made.to_peers) > first


@pytest.mark.looptime
class TestDirectory:
    async def test_ready_entries_only(self) -> None:
        """Guards against callers that are sent to an entry that starts, leaves or is gone."""
        async with office() as made:
            await made.status("e1")
            await made.status("e2", state=MemberState.STARTING)
            await made.status("e3", state=MemberState.DRAINING)
            assert await made.directory() == ("e1:80",)
            await asyncio.sleep(ENTRY_TIMEOUT_S + 0.2)
            assert await made.directory() == ()


@pytest.mark.looptime
class TestFiles:
    async def test_acknowledged_once_in_force(self) -> None:
        """Guards against an acknowledged file that an entry does not use yet."""
        async with office() as made:
            await made.status("e1", revision=Revision(1))
            in_force: Future[None] = asyncio.get_running_loop().create_future()
            await made.inbox.put(AwaitRevision(Revision(2), in_force))
            await settle()
            assert not in_force.done()
            await made.status("e1", revision=Revision(2))
            assert in_force.done()

    async def test_new_file_is_told_at_once(self) -> None:
        """Guards against entries that hear of a file with the next period only."""
        async with office() as made:
            await made.status("e1")
            held = NewestFile(Revision(7), b"body")
            applied = AppliedView(LogIndex(3), Configuration(), 0, newest_file=held)
            await made.inbox.put(applied)
            await settle()
            assert made.news("e1")[-1].revision == 7
            await made.inbox.put(FromEntry(b"e1", FetchFile(Revision(7))))
            await settle()
            assert made.sent[b"e1"][-1] == FileBody(Revision(7), b"body")


@pytest.mark.looptime
class TestCoordinator:
    async def test_leader_names_one_ready_entry(self) -> None:
        """Guards against two entries that place experts, or one that left."""
        async with office() as made:
            await made.inbox.put(view(ReplicaRole.LEADER))
            await made.status("e2")
            await made.status("e1")
            assert {each.coordinator for each in made.news("e1")} == {"e2"}
            await made.status("e2", state=MemberState.DRAINING)
            await made.status("e1")
            await asyncio.sleep(0.3)
            assert made.news("e1")[-1].coordinator == "e1"

    async def test_follower_names_none(self) -> None:
        """Guards against a coordinator that a replica without a majority names."""
        async with office() as made:
            await made.inbox.put(view(ReplicaRole.FOLLOWER))
            await made.status("e1")
            assert made.news("e1")[-1].coordinator is None


@pytest.mark.looptime
class TestCrashes:
    async def test_told_to_all_entries(self) -> None:
        """Guards against a request that crashes upstreams through another entry."""
        async with office() as made:
            await made.status("e2")
            crashes = tuple(
                Crash(Fingerprint("f"), UpstreamId(name), 1) for name in ("a", "b", "c")
            )
            await made.status("e1", crashes=crashes)
            await asyncio.sleep(0.3)
            assert made.news("e2")[-1].refused == ("f",)
