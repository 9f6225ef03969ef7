"""Tests of control replicas as separate processes, with injected faults.

The bounds are those of the targets table in docs/design.md.
"""

import asyncio
import contextlib
import json
import resource
from pathlib import Path

import pytest

from lycheefall._control.client import ControlClient
from lycheefall._core.codes import ResultCode
from lycheefall._core.events import Event
from lycheefall._core.exceptions import ControlUnavailable
from lycheefall._core.ids import CommandId, Incarnation, LeaseName
from lycheefall._core.messages.control import (
    AcquireLease,
    Changes,
    Failed,
    LeaseResult,
    Propose,
    Proposed,
)
from processes.history import Call, is_linearizable
from processes.scaffold import (
    POLL_S,
    Cluster,
    apply_command,
    apply_file,
    ask,
    client_of,
    cluster,
    collector,
    status_of,
    wait_for_leader,
    watch_once,
)

pytestmark = pytest.mark.processes

# "claims and applies resume after a voter is killed or cut off" and "accepted file in force
# everywhere".
RESUME_S = 2.0
IN_FORCE_S = 2.0
# The table has no bound for the return of a replica without its disk.
REPAIR_S = 5.0
FILL_BYTES = 50_000


async def apply_resumes(client: ControlClient, replaces: int) -> float:
    """Apply a file within the target and return the time that it took."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    result = await apply_file(client, replaces, 9, RESUME_S)
    assert result.code is ResultCode.OK
    return loop.time() - started_s


async def revision_everywhere(made: Cluster, names: str, revision: int) -> None:
    """Wait until all these replicas give watchers a revision, within the target."""
    for name in names:
        async with asyncio.timeout(IN_FORCE_S):
            await revision_at(made, name, revision)


async def revision_at(made: Cluster, name: str, revision: int) -> None:
    """Wait until a replica gives a watcher a revision."""
    while True:
        if (await watch_once(made.specs[name].client, 1)).revision == revision:
            return
        await asyncio.sleep(POLL_S)


class TestLostLeader:
    async def test_kill(self, tmp_path: Path) -> None:
        """Guards against applies that stop for longer than the target after a leader's death."""
        async with cluster(tmp_path) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            for revision in (1, 2):
                leader = await wait_for_leader(made, made.names)
                made.kill(leader)
                await apply_resumes(client, revision)
                await made.start(leader)
            await revision_everywhere(made, "abc", 3)

    async def test_stop_and_continue(self, tmp_path: Path) -> None:
        """Guards against a stopped leader that answers from its old state when it continues."""
        async with cluster(tmp_path, forwarded=True) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(made, made.names)
            made.pause(leader)
            made.isolate(leader)
            await apply_resumes(client, 1)
            made.resume(leader)
            for _ in range(20):
                assert (await watch_once(made.specs[leader].client, 1)).revision == 0
            made.heal()
            await revision_everywhere(made, "abc", 2)
            assert (await status_of(made.specs[leader].client)).role == "follower"

    async def test_silent_connections(self, tmp_path: Path) -> None:
        """Guards against replicas that keep using connections that went silent for ever."""
        async with cluster(tmp_path, forwarded=True) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(made, made.names)
            for ends, link in made.links.items():
                if leader in ends:
                    link.blackhole_open_connections()
            await apply_resumes(client, 1)
            await revision_everywhere(made, "abc", 2)


class TestPartition:
    async def test_isolated_minority(self, tmp_path: Path) -> None:
        """Guards against an isolated replica that serves an old revision or ends the term."""
        async with cluster(tmp_path, forwarded=True) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(made, made.names)
            made.isolate(leader)
            await apply_resumes(client, 1)
            rest = tuple(name for name in made.names if name != leader)
            second = await wait_for_leader(made, rest)
            term = (await status_of(made.specs[second].client)).term
            seen: list[Changes] = []
            async with client_of(made.clients(leader), collector(seen)):
                await asyncio.sleep(3)
            assert seen and {each.revision for each in seen} == {0}
            made.heal()
            await revision_everywhere(made, "abc", 2)
            assert (await status_of(made.specs[second].client)).term == term

    async def test_one_way(self, tmp_path: Path) -> None:
        """Guards against a leader that hears nobody and goes on leading."""
        async with cluster(tmp_path, forwarded=True) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(made, made.names)
            for (_, target), link in made.links.items():
                if target == leader:
                    link.block(to_target=True, to_client=False)
            await apply_resumes(client, 1)


class TestFirstCopy:
    async def test_leader_only(self, tmp_path: Path) -> None:
        """Guards against a new process that begins with what a stopped follower holds."""
        async with cluster(tmp_path) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(made, made.names)
            follower = next(name for name in made.names if name != leader)
            await revision_everywhere(made, "abc", 1)
            made.pause(follower)
            await apply_resumes(client, 1)
            made.resume(follower)
            for _ in range(20):
                assert (await watch_once(made.specs[follower].client, 0)).revision == 0
            assert (await watch_once(made.specs[leader].client, 0)).revision == 2


class TestStandby:
    async def test_promotion(self, tmp_path: Path) -> None:
        """Guards against a standby that doesn't replace a voter which stays away."""
        timing = {"replace_s": 1.0}
        async with (
            cluster(tmp_path, "abcd", timing=timing) as made,
            client_of(made.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(made, made.names)
            lost, other = (name for name in "abc" if name != leader)
            made.kill(lost)
            await voters_are(made, set("abcd") - {lost}, [leader, other])
            made.kill(other)
            await apply_resumes(client, 1)


class TestLostDisk:
    async def test_second_loss_after_the_repair(self, tmp_path: Path) -> None:
        """Guards against a second lost disk that takes what was accepted before the first."""
        async with cluster(tmp_path) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            for revision, name in enumerate("ab", 1):
                made.kill(name)
                made.wipe(name)
                await made.start(name)
                async with asyncio.timeout(REPAIR_S):
                    await revision_at(made, name, revision)
                await repaired(made, set("abc"), name)
                assert (await apply_file(client, revision, 9)).code is ResultCode.OK
            made.kill("c")
            await apply_resumes(client, 3)
            await revision_everywhere(made, "ab", 4)


async def repaired(made: Cluster, voters: set[str], name: str) -> None:
    """Wait until a replica with an empty disk is a voter again.

    The voters' names alone don't say so: until the change they hold its incarnation of before.
    """
    async with asyncio.timeout(REPAIR_S):
        while True:
            report = await status_of(made.specs[name].client)
            if report.role != "learner" and set(report.voters) == voters:
                return
            await asyncio.sleep(POLL_S)


class TestFullDisk:
    @pytest.mark.parametrize("role", ["leader", "follower"])
    async def test_full_disk(self, tmp_path: Path, role: str) -> None:
        """Guards against an acknowledgement of what isn't on disk, and against lost data."""
        async with (
            cluster(tmp_path, log_files=True) as made,
            client_of(made.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            # Makes the file of the replicated log larger than that of the log lines.
            long_name = LeaseName("l" * FILL_BYTES)
            await client.propose(AcquireLease(long_name, Incarnation("a"), 1.0), RESUME_S)
            await revision_everywhere(made, "abc", 1)
            leader = await wait_for_leader(made, made.names)
            full = leader if role == "leader" else next(n for n in made.names if n != leader)
            limit_files(made, full)
            await asyncio.gather(self.refuses(made, full), apply_resumes(client, 1))
            await self.ended(made, full)
            rest = "".join(name for name in made.names if name != full)
            await revision_everywhere(made, rest, 2)
            await made.start(full)
            await revision_everywhere(made, full, 2)
            # The part of the batch that the system took was taken back before the process ended.
            assert Event.LOG_TAIL_CUT not in {each["number"] for each in events_of(made, full)}
            made.kill(rest[0])
            await apply_resumes(client, 2)
            await revision_everywhere(made, full, 3)

    async def refuses(self, made: Cluster, name: str) -> None:
        """Propose to this replica only, which may say that it does not lead, and nothing else."""
        with contextlib.suppress(TimeoutError):
            answer = await ask(
                made.specs[name].client, Propose(CommandId("f"), apply_command(1, 5)), 1.0
            )
            assert isinstance(answer, Proposed) and isinstance(answer.result, Failed), answer

    async def ended(self, made: Cluster, name: str) -> None:
        """Wait until a replica has ended with the code of a full disk and said so."""
        process = made.processes.pop(name)
        assert process.stdout is not None
        assert await asyncio.to_thread(process.wait, RESUME_S) == 1
        assert process.stdout.read().startswith(b"[6004 DISK_FULL]")
        last = events_of(made, name)[-1]
        assert (last["number"], last["code"]) == (Event.DISK_FULL, 6004)


def events_of(made: Cluster, name: str) -> list[dict[str, int]]:
    """Return the lines that a replica wrote to its log."""
    lines = (made.folder / f"{name}.log").read_text().splitlines()
    return [json.loads(line) for line in lines]


def limit_files(made: Cluster, name: str) -> None:
    """Let the system refuse a few bytes after the end of a replica's log."""
    size = (made.specs[name].folder / "log").stat().st_size + 20
    resource.prlimit(made.processes[name].pid, resource.RLIMIT_FSIZE, (size, size))


async def voters_are(made: Cluster, voters: set[str], asked: list[str]) -> None:
    """Wait until all the asked replicas know exactly these voters."""
    async with asyncio.timeout(REPAIR_S):
        while True:
            reports = [await status_of(made.specs[name].client) for name in asked]
            if all(sorted(each.voters) == sorted(voters) for each in reports):
                return
            await asyncio.sleep(POLL_S)


class TestRestart:
    async def test_all_after_many_changes(self, tmp_path: Path) -> None:
        """Guards against a revision that goes back when everything restarts."""
        changes = 500
        seen: list[Changes] = []
        async with cluster(tmp_path) as made, client_of(made.clients(), collector(seen)) as client:
            for revision in range(changes):
                assert (await apply_file(client, revision, revision)).code is ResultCode.OK
            made.kill("a", "b", "c")
            assert (tmp_path / "a" / "snapshot").exists()
            await made.start("a", "b", "c")
            await revision_everywhere(made, "abc", changes)
            await apply_resumes(client, changes)
        delivered = [each.configuration.revision for each in seen if each.configuration]
        assert delivered == sorted(set(delivered))


class TestOperators:
    async def test_racing_files(self, tmp_path: Path) -> None:
        """Guards against two files accepted under one number, whichever replicas they go to."""
        async with (
            cluster(tmp_path) as made,
            client_of(made.clients("a")) as one,
            client_of(made.clients("b")) as two,
            client_of(made.clients("c")) as three,
        ):
            for replaces in range(10):
                results = await asyncio.gather(
                    apply_file(one, replaces, 10),
                    apply_file(two, replaces, 20),
                    apply_file(three, replaces, 30),
                )
                codes = [each.code for each in results]
                assert codes.count(ResultCode.OK) == 1
                assert codes.count(ResultCode.FILE_CONFLICT) == 2
                assert len({each.digest for each in results}) == 1
                assert {each.revision for each in results} == {replaces + 1}

    async def test_resend_after_a_lost_answer(self, tmp_path: Path) -> None:
        """Guards against a resend that takes effect twice or is told of a conflict with itself."""
        async with cluster(tmp_path) as made, client_of(made.clients()) as client:
            acquire = AcquireLease(LeaseName("l"), Incarnation("a"), 0.3)
            first = await client.propose(acquire, RESUME_S, CommandId("one"))
            await asyncio.sleep(0.5)
            leader = await wait_for_leader(made, made.names)
            made.kill(leader)
            again = await client.propose(acquire, 2 * RESUME_S, CommandId("one"))
            assert isinstance(again, LeaseResult) and again == first
            accepted = await apply_file(client, 0, 1)
            assert await apply_file(client, 1, 2)
            assert await client.propose(apply_command(0, 1), RESUME_S) == accepted

    async def test_without_quorum(self, tmp_path: Path) -> None:
        """Guards against a file that is accepted by a single replica."""
        async with cluster(tmp_path) as made, client_of(made.clients()) as client:
            await apply_file(client, 0, 1)
            made.kill("a", "b")
            with pytest.raises(ControlUnavailable):
                await apply_file(client, 1, 2, 1.5)
            await made.start("a", "b")
            assert (await apply_file(client, 1, 2, RESUME_S)).code is ResultCode.OK


class TestHistories:
    async def test_linearizable(self, tmp_path: Path) -> None:
        """Guards against answers of files and leases that no single order explains."""
        async with cluster(tmp_path) as made:
            histories = await asyncio.gather(
                *(record(made, position) for position in range(3)), disturb(made)
            )
        calls = [call for each in histories[:-1] for call in each]
        assert sum(1 for call in calls if call.result is not None) > 100
        assert is_linearizable(calls)


async def record(made: Cluster, position: int) -> list[Call]:
    """Apply files and acquire leases for a while, and return what was asked and answered."""
    loop = asyncio.get_running_loop()
    calls: list[Call] = []
    names = made.names[position:] + made.names[:position]
    end_s = loop.time() + 5
    revision = 0
    async with client_of(made.clients(*names)) as client:
        while loop.time() < end_s:
            number = len(calls) * 3 + position
            command = apply_command(revision, number)
            called_s = loop.time()
            try:
                result = await client.propose(command, 1.0)
            except ControlUnavailable:
                calls.append(Call(command, called_s, None, None))
                continue
            calls.append(Call(command, called_s, loop.time(), result))
            revision = max(revision, result.revision)
            await asyncio.sleep(0.02)
    return calls


async def disturb(made: Cluster) -> list[Call]:
    """Kill and stop leaders while the others record."""
    for kill in (True, False):
        await asyncio.sleep(1)
        leader = await wait_for_leader(made, made.names)
        if kill:
            made.kill(leader)
            await asyncio.sleep(0.8)
            await made.start(leader)
        else:
            made.pause(leader)
            await asyncio.sleep(1)
            made.resume(leader)
    return []
