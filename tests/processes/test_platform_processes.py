"""Tests of the platform adapter as processes: end-to-end requests, kills, drains, restarts."""

import asyncio
import json
import random
import shutil
import signal
from pathlib import Path

import pytest

from entry_harness import Response, read_response, request
from processes.platform_harness import (
    READINESS_PORT,
    START_TIMEOUT_S,
    AnnouncedUpstream,
    Machine,
    PlatformCluster,
    announced_upstream,
    http,
    poll_until,
    start_platform,
)
from test_exchange import respond_ok, stream_events
from upstream_double import LAST_CHUNK, Exchange, chunk, event, stream_head

pytestmark = pytest.mark.processes


async def send_request(
    cluster: PlatformCluster, entry: str, path: str, attempt: str = "a1"
) -> Response:
    """Send a request to an entry."""
    machine = cluster.machines[entry]
    data = request(path, attempt=attempt, deadline_ms=5000)
    reader, writer = await asyncio.open_connection(
        machine.ip, int(machine.caller_address.split(":")[1])
    )
    try:
        writer.write(data)
        async with asyncio.timeout(6.0):
            return await read_response(reader)
    finally:
        writer.close()


async def send_until_served(cluster: PlatformCluster, entry: str, path: str) -> Response:
    """Repeat a request until it is answered with status 200."""

    async def send_once() -> Response | None:
        try:
            answer = await send_request(cluster, entry, path)
        except (OSError, asyncio.IncompleteReadError):
            return None
        return answer if answer.status == 200 else None

    answer = await poll_until(send_once, 15.0)
    assert isinstance(answer, Response)
    return answer


class TestEndToEnd:
    async def test_each_kind(self, tmp_path: Path) -> None:
        """Guards against programs that don't work together as separate processes."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "u1", "engines", stream_events(0, 1, 2)),
            announced_upstream(cluster, "s1", "desk", respond_ok),
        ):
            await cluster.wait_until_ready()
            for entry in ("entry0", "entry1"):
                stream = await send_until_served(cluster, entry, "/s/x")
                assert stream.body == event(0) + event(1) + event(2)
                assert stream.is_complete
                assert (await send_until_served(cluster, entry, "/b/x")).body == b"answer"
                assert (await send_until_served(cluster, entry, "/l/x")).body == b"answer"
                assert (await send_request(cluster, entry, "/none/x")).status == 404
            assert await cluster.put_file(cluster.file | {"Version": 9, "Services": []}) == 400
            assert await cluster.put_file(cluster.file) == 200
            file = await cluster.read_file(cluster.machines["control1"])
            assert file == cluster.file
            names = {each["event"] for each in cluster.events("entry0")}
            assert {"process_started", "control_reached", "request_routed"} <= names

    async def test_changes_are_in_force_when_acknowledged(self, tmp_path: Path) -> None:
        """Guards against an entry that applies an older file after the acknowledgement."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "s1", "desk", respond_ok),
        ):
            await cluster.wait_until_ready()
            for number in range(10):
                routes = [*cluster.file["Routes"][:3]]
                routes.append(routes[2] | {"Name": f"n{number}", "PathPrefix": f"/n{number}/"})
                await cluster.change_file(Routes=routes)
                for entry in ("entry0", "entry1"):
                    assert (await send_request(cluster, entry, f"/n{number}/x")).status == 200
                    if number:
                        assert (
                            await send_request(cluster, entry, f"/n{number - 1}/x")
                        ).status == 404


class TestDrain:
    async def test_no_new_work_after_the_acknowledgement(self, tmp_path: Path) -> None:
        """Guards against a request sent to an upstream after its drain was acknowledged."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "s1", "desk", respond_ok) as draining,
            announced_upstream(cluster, "s2", "desk", respond_ok),
        ):
            await cluster.wait_until_ready()
            await send_until_served(cluster, "entry0", "/l/x")
            draining.state = "draining"
            assert await draining.announce()
            before = len(draining.double.received)
            for number in range(20):
                answer = await send_request(cluster, f"entry{number % 2}", "/l/x", f"d{number}")
                assert answer.status == 200
            assert len(draining.double.received) == before


class TestOddEntries:
    async def test_every_process_goes_on(self, tmp_path: Path) -> None:
        """Guards against replicas that end, or no longer follow the list, after one odd entry."""
        entry = {
            "Service": "desk",
            "Address": "127.0.0.1:9",
            "Zone": "dc1",
            "Slots": 6,
            "State": "ready",
            "Sequence": 1,
            "born": 1,
        }
        nested = "[" * 100_000 + "]" * 100_000
        odd_bodies = [
            json.dumps(entry | {"group": "@"}).replace('"@"', nested),
            json.dumps(entry | {"Other": "@"}).replace('"@"', nested),
            *(json.dumps(entry | {name: 2**64}) for name in ("Slots", "Sequence", "born")),
            *(json.dumps(entry | {"Address": f"127.0.0.1:{port}"}) for port in ("²", 70_000)),
        ]
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "s1", "desk", respond_ok),
        ):
            await cluster.wait_until_ready()
            for machine in cluster.with_role("control"):
                for number, body in enumerate(odd_bodies):
                    path = f"/-/instances/odd{number}"
                    response = await http(machine.control, "PUT", path, body.encode())
                    assert response is not None
                    assert response.status == 400
            # An upstream that is announced afterwards is followed.
            async with announced_upstream(cluster, "e1", "engines", stream_events(1, 2)):
                for name in ("entry0", "entry1"):
                    await send_until_served(cluster, name, "/s/x")
                    await send_until_served(cluster, name, "/l/x")
            for machine in cluster.machines.values():
                assert machine.process is not None
                assert machine.process.returncode is None


class TestReplicas:
    async def test_any_one_killed(self, tmp_path: Path) -> None:
        """Guards against an outage when one control replica is killed."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "s1", "desk", respond_ok),
        ):
            await cluster.wait_until_ready()
            for name in ("control0", "control1", "control2"):
                await cluster.kill(name)
                await cluster.change_file()
                assert (await send_until_served(cluster, "entry0", "/l/x")).status == 200
                await cluster.start(name)
                file = await poll_until(
                    lambda name=name: cluster.read_file(cluster.machines[name]), 10.0
                )
                assert file["Version"] == cluster.version

    async def test_lost_disk_then_another(self, tmp_path: Path) -> None:
        """Guards against an acknowledged file that is lost when two disks fail in sequence."""
        async with start_platform(tmp_path) as cluster:
            await cluster.change_file()
            for name in ("control0", "control2"):
                await cluster.kill(name)
                shutil.rmtree(cluster.machines[name].folder / "data")
                await cluster.start(name)
                await asyncio.sleep(4.0)
            for name in ("control0", "control1", "control2"):
                file = await poll_until(
                    lambda name=name: cluster.read_file(cluster.machines[name]), 10.0
                )
                assert file["Version"] == cluster.version

    async def test_all_killed_at_once(self, tmp_path: Path) -> None:
        """Guards against a lost or stale file after all replicas were killed."""
        async with start_platform(tmp_path) as cluster:
            await cluster.change_file()
            names = ("control0", "control1", "control2")
            for name in names:
                cluster.signal(name, signal.SIGKILL)
            for name in names:
                await cluster.wait_for_exit(name)
                await cluster.start(name)
            file = await poll_until(lambda: cluster.read_file(cluster.machines["control1"]), 15.0)
            assert file["Version"] == cluster.version

    async def test_paused_leader_returns_no_stale_file(self, tmp_path: Path) -> None:
        """Guards against a stale read from a leader that was paused and resumed."""
        async with start_platform(tmp_path) as cluster:
            leader = await wait_for_leader(cluster)
            cluster.signal(leader, signal.SIGSTOP)
            await cluster.change_file()
            await cluster.change_file()
            pending_read = asyncio.create_task(
                http(cluster.machines[leader].control, "GET", "/-/config", timeout_s=5.0)
            )
            await asyncio.sleep(0.2)
            cluster.signal(leader, signal.SIGCONT)
            answer = await pending_read
            assert answer is not None
            assert answer.status != 200 or json.loads(answer.body)["Version"] == cluster.version

    async def test_replicas_beyond_the_seeds_join(self, tmp_path: Path) -> None:
        """Guards against replicas beyond the seeds that never become voters."""
        async with start_platform(tmp_path, controls=5) as cluster:
            await poll_until(lambda: is_voter(cluster, "control3"), 15.0)
            await poll_until(lambda: is_voter(cluster, "control4"), 15.0)

    async def test_fourth_replica_replaces_a_lost_one(self, tmp_path: Path) -> None:
        """Guards against a standby that never replaces a lost voter.

        Four voters tolerate no more failures than three, so the fourth replica stays a standby.
        """
        async with start_platform(tmp_path, controls=4) as cluster:
            await cluster.change_file()
            file = await poll_until(lambda: cluster.read_file(cluster.machines["control3"]), 10.0)
            assert file["Version"] == cluster.version
            assert await is_voter(cluster, "control3") is None
            await cluster.kill("control1")
            await poll_until(lambda: is_voter(cluster, "control3"), 15.0)


async def is_voter(cluster: PlatformCluster, name: str) -> bool | None:
    """Return True if the latest role of a replica is that of a voter, else None."""
    changes = [e for e in cluster.events(name) if e["event"] == "role_changed"]
    return True if changes and changes[-1]["role"] in ("follower", "leader") else None


async def wait_for_leader(cluster: PlatformCluster) -> str:
    """Return the name of the current leader."""

    async def find() -> str | None:
        for machine in cluster.with_role("control"):
            changes = [e for e in cluster.events(machine.name) if e["event"] == "role_changed"]
            if changes and changes[-1]["role"] == "leader":
                return machine.name
        return None

    answer = await poll_until(find, 10.0)
    assert isinstance(answer, str)
    return answer


async def slow_stream(exchange: Exchange) -> None:
    """Send a stream that takes two seconds."""
    await exchange.send(stream_head(exchange.received))
    for number in range(20):
        await exchange.send(chunk(event(number)))
        await asyncio.sleep(0.1)
    await exchange.send(LAST_CHUNK)


class TestEntries:
    async def test_graceful_end(self, tmp_path: Path) -> None:
        """Guards against a request that is aborted when its entry shuts down."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "u1", "engines", slow_stream) as announced,
        ):
            await cluster.wait_until_ready()
            await wait_until_known(cluster, announced)
            streams = [
                asyncio.create_task(send_request(cluster, "entry0", "/s/x", f"g{n}"))
                for n in range(3)
            ]
            await asyncio.sleep(0.5)
            cluster.signal("entry0", signal.SIGTERM)
            await asyncio.sleep(0.3)
            ready = await http(
                f"{cluster.machines['entry0'].ip}:{READINESS_PORT}", "GET", "/-/readyz"
            )
            assert ready is not None and ready.status == 503
            for machine in cluster.with_role("control"):
                assert cluster.machines["entry0"].caller_address not in await cluster.directory(
                    machine
                )
            late = asyncio.create_task(send_request(cluster, "entry0", "/s/x", "late"))
            for each in [*streams, late]:
                answer = await each
                assert answer.status == 200
                assert answer.is_complete
            await cluster.wait_for_exit("entry0", 8.0)

    async def test_restart(self, tmp_path: Path) -> None:
        """Guards against a restarted entry without its file, upstreams or callers."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "s1", "desk", respond_ok),
        ):
            await cluster.wait_until_ready()
            await cluster.kill("entry0")
            assert (await send_until_served(cluster, "entry1", "/l/x")).status == 200
            await cluster.start("entry0")
            assert (await send_until_served(cluster, "entry0", "/l/x")).status == 200
            await cluster.wait_until_ready()

    async def test_cut_off_from_control(self, tmp_path: Path) -> None:
        """Guards against an entry that stops serving while control is unreachable."""
        async with (
            start_platform(tmp_path) as cluster,
            announced_upstream(cluster, "s1", "desk", respond_ok),
        ):
            await cluster.wait_until_ready()
            await send_until_served(cluster, "entry0", "/l/x")
            for machine in cluster.with_role("control"):
                await cluster.kill(machine.name)
            await asyncio.sleep(3.0)
            assert (await send_request(cluster, "entry0", "/l/x", "c1")).status == 200

    async def test_hangup_signal(self, tmp_path: Path) -> None:
        """Guards against a process that exits on SIGHUP."""
        async with start_platform(tmp_path) as cluster:
            for name in ("control0", "entry0"):
                cluster.signal(name, signal.SIGHUP)
            await asyncio.sleep(0.5)
            assert cluster.machines["entry0"].process is not None
            assert cluster.machines["entry0"].process.returncode is None
            assert (await cluster.read_file(cluster.machines["control0"])) == cluster.file

    @pytest.mark.parametrize("role", ["control", "entry"])
    async def test_hangup_signal_during_start(self, tmp_path: Path, role: str) -> None:
        """Guards against SIGHUP ending a process that is still importing its modules."""
        ip = ".".join(["127", "78", *(str(random.SystemRandom().randint(1, 254)) for _ in "ab")])
        machine = Machine(role, role, ip, tmp_path)
        # The seeds are the replicas of the cluster, which need not run.
        seed = Machine("seed", "control", "127.78.0.1", tmp_path)
        cluster = PlatformCluster({"seed": seed, role: machine})
        await cluster.start(role, is_first_start=True)
        process = machine.process
        assert process is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while "asyncio" not in Path(f"/proc/{process.pid}/maps").read_text():
                    await asyncio.sleep(0.001)
            cluster.signal(role, signal.SIGHUP)
            async with asyncio.timeout(START_TIMEOUT_S):
                while not any(each["event"] == "process_started" for each in cluster.events(role)):
                    assert process.returncode is None
                    await asyncio.sleep(0.05)
        finally:
            if process.returncode is None:
                await cluster.kill(role)


async def wait_until_known(cluster: PlatformCluster, announced: AnnouncedUpstream) -> None:
    """Wait until all entries know an upstream."""

    async def is_known() -> bool | None:
        received = [
            any(e["event"] == "upstream_seen" and e["upstream"] == announced.name for e in lines)
            for lines in (cluster.events(each.name) for each in cluster.with_role("entry"))
        ]
        return all(received) or None

    await poll_until(is_known, 10.0)
