"""Tests of the platform's programs as processes: the whole path, kills, drains and restarts."""

import asyncio
import json
import shutil
import signal
from pathlib import Path

import pytest

from entry_harness import Response, read_response, request
from processes.platform_world import READY, Platform, Served, http, platform, served, until
from test_exchange import respond_ok, stream_events
from upstream_double import LAST_CHUNK, Exchange, chunk, event, stream_head

pytestmark = pytest.mark.processes


async def ask(made: Platform, entry: str, path: str, attempt: str = "a1") -> Response:
    """Send a request to an entry."""
    machine = made.machines[entry]
    data = request(path, attempt=attempt, deadline_ms=5000)
    reader, writer = await asyncio.open_connection(machine.ip, int(machine.front.split(":")[1]))
    try:
        writer.write(data)
        async with asyncio.timeout(6.0):
            return await read_response(reader)
    finally:
        writer.close()


async def answered(made: Platform, entry: str, path: str) -> Response:
    """Send a request again until it is served."""

    async def once() -> Response | None:
        try:
            found = await ask(made, entry, path)
        except (OSError, asyncio.IncompleteReadError):
            return None
        return found if found.status == 200 else None

    found = await until(once, 15.0)
    assert isinstance(found, Response)
    return found


class TestWholePath:
    async def test_each_kind(self, tmp_path: Path) -> None:
        """Guards against programs that don't work together as separate processes."""
        async with (
            platform(tmp_path) as made,
            served(made, "u1", "engines", stream_events(0, 1, 2)),
            served(made, "s1", "desk", respond_ok),
        ):
            await made.all_ready()
            for entry in ("entry0", "entry1"):
                stream = await answered(made, entry, "/s/x")
                assert stream.body == event(0) + event(1) + event(2)
                assert stream.is_complete
                assert (await answered(made, entry, "/b/x")).body == b"answer"
                assert (await answered(made, entry, "/l/x")).body == b"answer"
                assert (await ask(made, entry, "/none/x")).status == 404
            assert await made.put(made.file | {"Version": 9, "Services": []}) == 400
            assert await made.put(made.file) == 200
            read = await made.read(made.machines["control1"])
            assert read == made.file
            names = {each["event"] for each in made.events("entry0")}
            assert {"process_started", "control_reached", "request_routed"} <= names

    async def test_changes_are_in_force_when_acknowledged(self, tmp_path: Path) -> None:
        """Guards against an entry that obeys an older file after the acknowledgement."""
        async with platform(tmp_path) as made, served(made, "s1", "desk", respond_ok):
            await made.all_ready()
            for number in range(10):
                routes = [*made.file["Routes"][:3]]
                routes.append(routes[2] | {"Name": f"n{number}", "PathPrefix": f"/n{number}/"})
                await made.change(Routes=routes)
                for entry in ("entry0", "entry1"):
                    assert (await ask(made, entry, f"/n{number}/x")).status == 200
                    if number:
                        assert (await ask(made, entry, f"/n{number - 1}/x")).status == 404


class TestDrain:
    async def test_no_new_work_after_the_acknowledgement(self, tmp_path: Path) -> None:
        """Guards against a request at an upstream whose drain was acknowledged."""
        async with (
            platform(tmp_path) as made,
            served(made, "s1", "desk", respond_ok) as leaving,
            served(made, "s2", "desk", respond_ok),
        ):
            await made.all_ready()
            await answered(made, "entry0", "/l/x")
            leaving.state = "draining"
            assert await leaving.beat()
            before = len(leaving.double.received)
            for number in range(20):
                found = await ask(made, f"entry{number % 2}", "/l/x", f"d{number}")
                assert found.status == 200
            assert len(leaving.double.received) == before


class TestReplicas:
    async def test_any_one_killed(self, tmp_path: Path) -> None:
        """Guards against a system that stops with one of its control replicas."""
        async with platform(tmp_path) as made, served(made, "s1", "desk", respond_ok):
            await made.all_ready()
            for name in ("control0", "control1", "control2"):
                await made.kill(name)
                await made.change()
                assert (await answered(made, "entry0", "/l/x")).status == 200
                await made.start(name)
                read = await until(lambda name=name: made.read(made.machines[name]), 10.0)
                assert read["Version"] == made.number

    async def test_lost_disk_then_another(self, tmp_path: Path) -> None:
        """Guards against an acknowledged file that is lost with a second disk."""
        async with platform(tmp_path) as made:
            await made.change()
            for name in ("control0", "control2"):
                await made.kill(name)
                shutil.rmtree(made.machines[name].folder / "data")
                await made.start(name)
                await asyncio.sleep(4.0)
            for name in ("control0", "control1", "control2"):
                read = await until(lambda name=name: made.read(made.machines[name]), 10.0)
                assert read["Version"] == made.number

    async def test_all_killed_at_once(self, tmp_path: Path) -> None:
        """Guards against a lost or older file after all replicas were killed."""
        async with platform(tmp_path) as made:
            await made.change()
            names = ("control0", "control1", "control2")
            for name in names:
                made.signal(name, signal.SIGKILL)
            for name in names:
                await made.ended(name)
                await made.start(name)
            read = await until(lambda: made.read(made.machines["control1"]), 15.0)
            assert read["Version"] == made.number

    async def test_stopped_leader_answers_nothing_old(self, tmp_path: Path) -> None:
        """Guards against an old file from a leader that was stopped and goes on."""
        async with platform(tmp_path) as made:
            leader = await wait_for_leader(made)
            made.signal(leader, signal.SIGSTOP)
            await made.change()
            await made.change()
            read = asyncio.create_task(
                http(made.machines[leader].control, "GET", "/-/config", timeout_s=5.0)
            )
            await asyncio.sleep(0.2)
            made.signal(leader, signal.SIGCONT)
            found = await read
            assert found is not None
            assert found.status != 200 or json.loads(found.body)["Version"] == made.number

    async def test_replicas_beyond_the_seeds_join(self, tmp_path: Path) -> None:
        """Guards against replicas beyond the seeds that never become voters."""
        async with platform(tmp_path, controls=5) as made:
            await until(lambda: follows(made, "control3"), 15.0)
            await until(lambda: follows(made, "control4"), 15.0)

    async def test_fourth_replica_replaces_a_lost_one(self, tmp_path: Path) -> None:
        """Guards against a standby that never takes the place of a voter that is gone.

        Four voters bear no more losses than three, so the fourth replica waits as a standby.
        """
        async with platform(tmp_path, controls=4) as made:
            await made.change()
            read = await until(lambda: made.read(made.machines["control3"]), 10.0)
            assert read["Version"] == made.number
            assert await follows(made, "control3") is None
            await made.kill("control1")
            await until(lambda: follows(made, "control3"), 15.0)


async def follows(made: Platform, name: str) -> bool | None:
    """Tell whether the replica's last role is that of a voter."""
    changes = [e for e in made.events(name) if e["event"] == "role_changed"]
    return True if changes and changes[-1]["role"] in ("follower", "leader") else None


async def wait_for_leader(made: Platform) -> str:
    """Return the replica that leads."""

    async def find() -> str | None:
        for machine in made.of("control"):
            changes = [e for e in made.events(machine.name) if e["event"] == "role_changed"]
            if changes and changes[-1]["role"] == "leader":
                return machine.name
        return None

    found = await until(find, 10.0)
    assert isinstance(found, str)
    return found


async def slow_stream(exchange: Exchange) -> None:
    """Stream for two seconds."""
    await exchange.send(stream_head(exchange.received))
    for number in range(20):
        await exchange.send(chunk(event(number)))
        await asyncio.sleep(0.1)
    await exchange.send(LAST_CHUNK)


class TestEntries:
    async def test_graceful_end(self, tmp_path: Path) -> None:
        """Guards against a request that is cut off when its entry is stopped."""
        async with platform(tmp_path) as made, served(made, "u1", "engines", slow_stream) as up:
            await made.all_ready()
            await wait_known(made, up)
            streams = [asyncio.create_task(ask(made, "entry0", "/s/x", f"g{n}")) for n in range(3)]
            await asyncio.sleep(0.5)
            made.signal("entry0", signal.SIGTERM)
            await asyncio.sleep(0.3)
            ready = await http(f"{made.machines['entry0'].ip}:{READY}", "GET", "/-/readyz")
            assert ready is not None and ready.status == 503
            for machine in made.of("control"):
                assert made.machines["entry0"].front not in await made.directory(machine)
            late = asyncio.create_task(ask(made, "entry0", "/s/x", "late"))
            for each in [*streams, late]:
                found = await each
                assert found.status == 200
                assert found.is_complete
            await made.ended("entry0", 8.0)

    async def test_restart(self, tmp_path: Path) -> None:
        """Guards against an entry that comes back without file, upstreams or callers."""
        async with platform(tmp_path) as made, served(made, "s1", "desk", respond_ok):
            await made.all_ready()
            await made.kill("entry0")
            assert (await answered(made, "entry1", "/l/x")).status == 200
            await made.start("entry0")
            assert (await answered(made, "entry0", "/l/x")).status == 200
            await made.all_ready()

    async def test_cut_off_from_control(self, tmp_path: Path) -> None:
        """Guards against an entry that stops serving because control can't be reached."""
        async with platform(tmp_path) as made, served(made, "s1", "desk", respond_ok):
            await made.all_ready()
            await answered(made, "entry0", "/l/x")
            for machine in made.of("control"):
                await made.kill(machine.name)
            await asyncio.sleep(3.0)
            assert (await ask(made, "entry0", "/l/x", "c1")).status == 200

    async def test_hangup_signal(self, tmp_path: Path) -> None:
        """Guards against a process that ends because its settings changed."""
        async with platform(tmp_path) as made:
            for name in ("control0", "entry0"):
                made.signal(name, signal.SIGHUP)
            await asyncio.sleep(0.5)
            assert made.machines["entry0"].process is not None
            assert made.machines["entry0"].process.returncode is None
            assert (await made.read(made.machines["control0"])) == made.file


async def wait_known(made: Platform, up: Served) -> None:
    """Wait until the entries know an upstream."""

    async def known() -> bool | None:
        received = [
            any(e["event"] == "upstream_seen" and e["upstream"] == up.name for e in lines)
            for lines in (made.events(each.name) for each in made.of("entry"))
        ]
        return all(received) or None

    await until(known, 10.0)
