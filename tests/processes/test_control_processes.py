"""Tests of control replicas as separate processes, with injected faults.

The time bounds are those of the targets table in docs/design.md.
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
    ProposeReply,
)
from processes.control_harness import (
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
from processes.history import Call, is_linearizable

pytestmark = pytest.mark.processes

# Bounds in the targets table for "claims and applies resume after a voter is killed or cut off" and
# for "accepted file in force everywhere".
RESUME_S = 2.0
IN_FORCE_S = 2.0
# The table has no bound for the repair of a replica that lost its disk.
REPAIR_S = 5.0
FILL_BYTES = 50_000
# Answered calls of a history, and the longest time that it may take.
ANSWERED_CALLS = 100
HISTORY_LIMIT_S = 60.0


async def apply_resumes(client: ControlClient, replaces: int) -> float:
    """Apply a file within the target and return the elapsed seconds."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    result = await apply_file(client, replaces, 9, RESUME_S)
    assert result.code is ResultCode.OK
    return loop.time() - started_s


async def wait_for_revision_on_all(replicas: Cluster, names: str, revision: int) -> None:
    """Wait until each of these replicas serves a revision to watchers, within the target."""
    for name in names:
        async with asyncio.timeout(IN_FORCE_S):
            await wait_for_revision(replicas, name, revision)


async def wait_for_revision(replicas: Cluster, name: str, revision: int) -> None:
    """Wait until a replica serves a revision to watchers."""
    while True:
        if (await watch_once(replicas.specs[name].client, 1)).revision == revision:
            return
        await asyncio.sleep(POLL_S)


class TestLostLeader:
    async def test_kill(self, tmp_path: Path) -> None:
        """Guards against applies that stay blocked beyond the target after the leader is killed."""
        async with cluster(tmp_path) as replicas, client_of(replicas.clients()) as client:
            await apply_file(client, 0, 1)
            for revision in (1, 2):
                leader = await wait_for_leader(replicas, replicas.names)
                replicas.kill(leader)
                await apply_resumes(client, revision)
                await replicas.start(leader)
            await wait_for_revision_on_all(replicas, "abc", 3)

    async def test_stop_and_continue(self, tmp_path: Path) -> None:
        """Guards against a paused leader that serves stale state when it resumes."""
        async with (
            cluster(tmp_path, forwarded=True) as replicas,
            client_of(replicas.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(replicas, replicas.names)
            replicas.pause(leader)
            replicas.isolate(leader)
            await apply_resumes(client, 1)
            replicas.resume(leader)
            for _ in range(20):
                assert (await watch_once(replicas.specs[leader].client, 1)).revision == 0
            replicas.heal()
            await wait_for_revision_on_all(replicas, "abc", 2)
            assert (await status_of(replicas.specs[leader].client)).role == "follower"

    async def test_silent_connections(self, tmp_path: Path) -> None:
        """Guards against replicas that keep using connections that have gone silent."""
        async with (
            cluster(tmp_path, forwarded=True) as replicas,
            client_of(replicas.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(replicas, replicas.names)
            for ends, link in replicas.links.items():
                if leader in ends:
                    link.blackhole_open_connections()
            await apply_resumes(client, 1)
            await wait_for_revision_on_all(replicas, "abc", 2)


class TestPartition:
    async def test_isolated_minority(self, tmp_path: Path) -> None:
        """Guards against an isolated replica that serves a stale revision or disrupts the term."""
        async with (
            cluster(tmp_path, forwarded=True) as replicas,
            client_of(replicas.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(replicas, replicas.names)
            replicas.isolate(leader)
            await apply_resumes(client, 1)
            others = tuple(name for name in replicas.names if name != leader)
            new_leader = await wait_for_leader(replicas, others)
            term = (await status_of(replicas.specs[new_leader].client)).term
            received: list[Changes] = []
            async with client_of(replicas.clients(leader), collector(received)):
                await asyncio.sleep(3)
            assert received and {each.revision for each in received} == {0}
            replicas.heal()
            await wait_for_revision_on_all(replicas, "abc", 2)
            assert (await status_of(replicas.specs[new_leader].client)).term == term

    async def test_one_way(self, tmp_path: Path) -> None:
        """Guards against a leader that receives no messages and does not step down."""
        async with (
            cluster(tmp_path, forwarded=True) as replicas,
            client_of(replicas.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(replicas, replicas.names)
            for (_, target), link in replicas.links.items():
                if target == leader:
                    link.block(to_target=True, to_client=False)
            await apply_resumes(client, 1)


class TestFirstConfiguration:
    async def test_leader_only(self, tmp_path: Path) -> None:
        """Guards against a new watcher that gets its first configuration from a stale follower."""
        async with cluster(tmp_path) as replicas, client_of(replicas.clients()) as client:
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(replicas, replicas.names)
            follower = next(name for name in replicas.names if name != leader)
            await wait_for_revision_on_all(replicas, "abc", 1)
            replicas.pause(follower)
            await apply_resumes(client, 1)
            replicas.resume(follower)
            for _ in range(20):
                assert (await watch_once(replicas.specs[follower].client, 0)).revision == 0
            assert (await watch_once(replicas.specs[leader].client, 0)).revision == 2


class TestStandby:
    async def test_promotion(self, tmp_path: Path) -> None:
        """Guards against a standby that does not replace a voter that stays down."""
        timing = {"replace_voter_after_s": 1.0}
        async with (
            cluster(tmp_path, "abcd", timing=timing) as replicas,
            client_of(replicas.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            leader = await wait_for_leader(replicas, replicas.names)
            first_killed, second_killed = (name for name in "abc" if name != leader)
            replicas.kill(first_killed)
            await wait_for_voters(replicas, set("abcd") - {first_killed}, [leader, second_killed])
            replicas.kill(second_killed)
            await apply_resumes(client, 1)


class TestLostDisk:
    async def test_second_loss_after_the_repair(self, tmp_path: Path) -> None:
        """Guards against a second disk loss that loses entries accepted before the first one."""
        async with cluster(tmp_path) as replicas, client_of(replicas.clients()) as client:
            await apply_file(client, 0, 1)
            for revision, name in enumerate("ab", 1):
                replicas.kill(name)
                replicas.wipe(name)
                await replicas.start(name)
                async with asyncio.timeout(REPAIR_S):
                    await wait_for_revision(replicas, name, revision)
                await wait_for_repair(replicas, set("abc"), name)
                assert (await apply_file(client, revision, 9)).code is ResultCode.OK
            replicas.kill("c")
            await apply_resumes(client, 3)
            await wait_for_revision_on_all(replicas, "ab", 4)


async def wait_for_repair(replicas: Cluster, voters: set[str], name: str) -> None:
    """Wait until a replica that lost its disk is a voter again.

    The names of the voters do not show this, since they contain its old incarnation until the
    membership change.
    """
    async with asyncio.timeout(REPAIR_S):
        while True:
            report = await status_of(replicas.specs[name].client)
            if report.role != "learner" and set(report.voters) == voters:
                return
            await asyncio.sleep(POLL_S)


class TestFullDisk:
    @pytest.mark.parametrize("role", ["leader", "follower"])
    async def test_full_disk(self, tmp_path: Path, role: str) -> None:
        """Guards against acknowledging entries that are not on disk, and against lost entries."""
        async with (
            cluster(tmp_path, log_files=True) as replicas,
            client_of(replicas.clients()) as client,
        ):
            await apply_file(client, 0, 1)
            # The replicated log must be larger than the file of the log lines, since the limit
            # on file sizes applies to both.
            long_name = LeaseName("l" * FILL_BYTES)
            await client.propose(AcquireLease(long_name, Incarnation("a"), 1.0), RESUME_S)
            await wait_for_revision_on_all(replicas, "abc", 1)
            leader = await wait_for_leader(replicas, replicas.names)
            full_replica = (
                leader if role == "leader" else next(n for n in replicas.names if n != leader)
            )
            limit_file_size(replicas, full_replica)
            await asyncio.gather(
                self.expect_no_acknowledgement(replicas, full_replica), apply_resumes(client, 1)
            )
            await self.wait_for_exit(replicas, full_replica)
            others = "".join(name for name in replicas.names if name != full_replica)
            await wait_for_revision_on_all(replicas, others, 2)
            await replicas.start(full_replica)
            await wait_for_revision_on_all(replicas, full_replica, 2)
            # The partially written batch was truncated before the process exited.
            assert Event.LOG_TAIL_CUT not in {
                each["number"] for each in logged_events(replicas, full_replica)
            }
            replicas.kill(others[0])
            await apply_resumes(client, 2)
            await wait_for_revision_on_all(replicas, full_replica, 3)

    async def expect_no_acknowledgement(self, replicas: Cluster, name: str) -> None:
        """Propose to this replica only; it may answer that it does not lead, but nothing else."""
        with contextlib.suppress(TimeoutError):
            answer = await ask(
                replicas.specs[name].client, Propose(CommandId("f"), apply_command(1, 5)), 1.0
            )
            assert isinstance(answer, ProposeReply) and isinstance(answer.result, Failed), answer

    async def wait_for_exit(self, replicas: Cluster, name: str) -> None:
        """Wait until a replica exits, and check that it reported a full disk."""
        process = replicas.processes.pop(name)
        assert process.stdout is not None
        assert await asyncio.to_thread(process.wait, RESUME_S) == 1
        assert process.stdout.read().startswith(b"[6004 DISK_FULL]")
        last = logged_events(replicas, name)[-1]
        assert (last["number"], last["code"]) == (Event.DISK_FULL, 6004)


def logged_events(replicas: Cluster, name: str) -> list[dict[str, int]]:
    """Return the log lines of a replica."""
    lines = (replicas.folder / f"{name}.log").read_text().splitlines()
    return [json.loads(line) for line in lines]


def limit_file_size(replicas: Cluster, name: str) -> None:
    """Limit file sizes to 20 bytes beyond the replicated log, so that its next write fails."""
    size = (replicas.specs[name].folder / "log").stat().st_size + 20
    resource.prlimit(replicas.processes[name].pid, resource.RLIMIT_FSIZE, (size, size))


async def wait_for_voters(replicas: Cluster, voters: set[str], replica_names: list[str]) -> None:
    """Wait until all the named replicas report exactly these voters."""
    async with asyncio.timeout(REPAIR_S):
        while True:
            reports = [await status_of(replicas.specs[name].client) for name in replica_names]
            if all(sorted(each.voters) == sorted(voters) for each in reports):
                return
            await asyncio.sleep(POLL_S)


class TestRestart:
    async def test_all_after_many_changes(self, tmp_path: Path) -> None:
        """Guards against a revision that decreases when all replicas restart."""
        changes = 500
        received: list[Changes] = []
        async with (
            cluster(tmp_path) as replicas,
            client_of(replicas.clients(), collector(received)) as client,
        ):
            for revision in range(changes):
                assert (await apply_file(client, revision, revision)).code is ResultCode.OK
            replicas.kill("a", "b", "c")
            assert (tmp_path / "a" / "snapshot").exists()
            await replicas.start("a", "b", "c")
            await wait_for_revision_on_all(replicas, "abc", changes)
            await apply_resumes(client, changes)
        delivered = [each.configuration.revision for each in received if each.configuration]
        assert delivered == sorted(set(delivered))


class TestOperators:
    async def test_racing_files(self, tmp_path: Path) -> None:
        """Guards against two files accepted under one revision through different replicas."""
        async with (
            cluster(tmp_path) as replicas,
            client_of(replicas.clients("a")) as one,
            client_of(replicas.clients("b")) as two,
            client_of(replicas.clients("c")) as three,
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
        """Guards against a resent command that takes effect twice or conflicts with itself."""
        async with cluster(tmp_path) as replicas, client_of(replicas.clients()) as client:
            acquire = AcquireLease(LeaseName("l"), Incarnation("a"), 0.3)
            first = await client.propose(acquire, RESUME_S, CommandId("one"))
            await asyncio.sleep(0.5)
            leader = await wait_for_leader(replicas, replicas.names)
            replicas.kill(leader)
            resent = await client.propose(acquire, 2 * RESUME_S, CommandId("one"))
            assert isinstance(resent, LeaseResult) and resent == first
            accepted = await apply_file(client, 0, 1)
            assert await apply_file(client, 1, 2)
            assert await client.propose(apply_command(0, 1), RESUME_S) == accepted

    async def test_without_quorum(self, tmp_path: Path) -> None:
        """Guards against a file that is accepted without a quorum."""
        async with cluster(tmp_path) as replicas, client_of(replicas.clients()) as client:
            await apply_file(client, 0, 1)
            replicas.kill("a", "b")
            with pytest.raises(ControlUnavailable):
                await apply_file(client, 1, 2, 1.5)
            await replicas.start("a", "b")
            assert (await apply_file(client, 1, 2, RESUME_S)).code is ResultCode.OK


class TestHistories:
    async def test_linearizable(self, tmp_path: Path) -> None:
        """Guards against results of applied files that are not linearizable."""
        calls: list[Call] = []
        async with cluster(tmp_path, log_files=True) as replicas, asyncio.timeout(HISTORY_LIMIT_S):
            await asyncio.gather(
                *(record_calls(replicas, position, calls) for position in range(3)),
                inject_faults(replicas),
            )
        assert answered(calls) > ANSWERED_CALLS
        assert is_linearizable(calls)


def answered(calls: list[Call]) -> int:
    """Return the number of answered calls."""
    return sum(1 for call in calls if call.result is not None)


async def record_calls(replicas: Cluster, position: int, calls: list[Call]) -> None:
    """Apply files, for 5 s and until enough calls of all clients are answered, and record them.

    The number of calls in a fixed time depends on the load of the machine.
    """
    loop = asyncio.get_running_loop()
    names = replicas.names[position:] + replicas.names[:position]
    end_s = loop.time() + 5
    revision = 0
    own = 0
    async with client_of(replicas.clients(*names)) as client:
        while loop.time() < end_s or answered(calls) <= ANSWERED_CALLS:
            number = own * 3 + position
            own += 1
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


async def inject_faults(replicas: Cluster) -> None:
    """Kill and pause leaders while calls are recorded."""
    for kill in (True, False):
        await asyncio.sleep(1)
        leader = await wait_for_leader(replicas, replicas.names)
        if kill:
            replicas.kill(leader)
            await asyncio.sleep(0.8)
            await replicas.start(leader)
        else:
            replicas.pause(leader)
            await asyncio.sleep(1)
            replicas.resume(leader)
