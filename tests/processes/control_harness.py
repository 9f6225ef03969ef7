"""Starts and stops control replicas as processes, and interrupts their connections."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

from lycheefall._control.client import ControlClient, new_client, run_client
from lycheefall._core.ids import Address, Digest, Incarnation, Revision
from lycheefall._core.messages.control import (
    ApplyFile,
    Changes,
    FileResult,
    FromControl,
    Propose,
    StatusQuery,
    StatusReport,
    Watch,
)
from lycheefall._fakes.forwarder import Forwarder
from lycheefall._wire.codec import decode_from_control, encode
from lycheefall._wire.zmq_sockets import DealerSocket

TESTS = Path(__file__).resolve().parents[1]
START_TIMEOUT_S = 10.0
POLL_S = 0.02
# Below the ephemeral ports: an outgoing connection could otherwise take a chosen port before its
# process listens.
PORTS = range(15_000, 32_000)
# Each test session listens on its own loopback address. On a shared address, another session could
# take the port of a process that is restarting: the process couldn't start again, and callers and
# replicas would connect to the other session's system.
HOST = ".".join(["127", *(str(random.SystemRandom().randint(1, 254)) for _ in range(3))])


def free_addresses(count: int) -> list[Address]:
    """Return addresses on this process's loopback host with distinct free ports."""
    found: set[int] = set()
    while len(found) < count:
        port = random.SystemRandom().choice(PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            found.add(port)
    return [Address(f"{HOST}:{port}") for port in found]


@dataclass
class ReplicaSpec:
    """Listen addresses and data folder of a replica."""

    name: str
    client: Address
    peer: Address
    folder: Path


@dataclass
class Cluster:
    """Replicas as processes, which connect through forwarders if `forwarded`."""

    folder: Path
    names: tuple[str, ...]
    voters: tuple[str, ...]
    forwarded: bool = False
    snapshot_entries: int = 200
    timing: dict[str, float] = field(default_factory=dict)
    # Additional settings of every replica.
    settings: dict[str, object] = field(default_factory=dict)
    # Whether to write the log of each replica to NAME.log in the folder.
    log_files: bool = False
    specs: dict[str, ReplicaSpec] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    links: dict[tuple[str, str], Forwarder] = field(default_factory=dict)

    async def open(self) -> None:
        """Choose ports and open the forwarders."""
        ports = free_addresses(2 * len(self.names))
        for position, name in enumerate(self.names):
            client, peer = ports[2 * position : 2 * position + 2]
            self.specs[name] = ReplicaSpec(name, client, peer, self.folder / name)
        if self.forwarded:
            for source in self.names:
                for target in self.names:
                    if source != target:
                        link = Forwarder(self.specs[target].peer)
                        await link.open()
                        self.links[source, target] = link

    async def start(self, *names: str) -> None:
        """Start replicas and wait until they listen."""
        for name in names:
            self.processes[name] = self._spawn(name)
        await asyncio.gather(*(self._wait_until_ready(name) for name in names))

    def kill(self, *names: str) -> None:
        """Kill replicas with SIGKILL."""
        for name in names:
            process = self.processes.pop(name)
            process.kill()
            process.wait()

    def pause(self, name: str) -> None:
        """Pause a replica with SIGSTOP."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused replica."""
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def wipe(self, name: str) -> None:
        """Delete the data folder of a replica that is not running."""
        shutil.rmtree(self.specs[name].folder)

    def isolate(self, name: str) -> None:
        """Block all links between a replica and the others."""
        for ends, link in self.links.items():
            if name in ends:
                link.block()

    def heal(self) -> None:
        """Unblock all links."""
        for link in self.links.values():
            link.heal()

    def clients(self, *names: str) -> tuple[Address, ...]:
        """Return the client addresses of the named replicas, or of all without names."""
        return tuple(self.specs[name].client for name in names or self.names)

    def name_at(self, client: Address | None) -> str | None:
        """Return the name of the replica with this client address."""
        return next((each.name for each in self.specs.values() if each.client == client), None)

    async def close(self) -> None:
        """Kill all started processes and close the forwarders."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for link in self.links.values():
            await link.close()

    def _spawn(self, name: str) -> subprocess.Popen[bytes]:
        spec = self.specs[name]
        voters = [
            [other, self._peer_address(name, other), self.specs[other].client]
            for other in self.voters
        ]
        fields = {
            "instance": name,
            "data_centre": "cork-a",
            "client_listen": spec.client,
            "peer_listen": spec.peer,
            "voters": voters,
            "data_folder": str(spec.folder),
            "snapshot_entries": self.snapshot_entries,
            "timing": self.timing,
            **self.settings,
        }
        with contextlib.ExitStack() as stack:
            path = self.folder / f"{name}.log"
            errors = stack.enter_context(path.open("ab")) if self.log_files else None
            return self._popen(fields, errors)

    def _popen(
        self, fields: dict[str, object], errors: IO[bytes] | None
    ) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", "processes.replica", json.dumps(fields)],
            stdout=subprocess.PIPE,
            stderr=errors,
            cwd=TESTS,
            env={**os.environ, "PYTHONPATH": f"{TESTS.parent / 'src'}:{TESTS}"},
        )

    def _peer_address(self, source: str, target: str) -> Address:
        link = self.links.get((source, target))
        return self.specs[target].peer if link is None else link.address

    async def _wait_until_ready(self, name: str) -> None:
        process = self.processes[name]
        assert process.stdout is not None
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await loop.run_in_executor(None, process.stdout.readline)
        assert line == b"ready\n", f"{name} answered {line!r}"


@contextlib.asynccontextmanager
async def cluster(
    folder: Path,
    names: str = "abc",
    voters: str = "abc",
    **options: object,
) -> AsyncIterator[Cluster]:
    """Run replicas for a test, one for each letter of `names`."""
    running_cluster = Cluster(folder, tuple(names), tuple(voters), **options)
    await running_cluster.open()
    try:
        await running_cluster.start(*names)
        yield running_cluster
    finally:
        await running_cluster.close()


@contextlib.asynccontextmanager
async def client_of(
    addresses: tuple[Address, ...], watch: Callable[[Changes], bool] = lambda changes: True
) -> AsyncIterator[ControlClient]:
    """Run a control client for a test."""
    client = new_client()
    task = asyncio.ensure_future(run_client(client, addresses, watch))
    try:
        yield client
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def apply_command(replaces: int, number: int) -> ApplyFile:
    """Return a command that applies a file whose content is one number."""
    text = str(number)
    return ApplyFile(Revision(replaces), Digest(f"digest-{text}"), text)


def collector(received: list[Changes]) -> Callable[[Changes], bool]:
    """Return a watch function that appends all changes to a list."""

    def collect(changes: Changes) -> bool:
        received.append(changes)
        return True

    return collect


async def apply_file(
    client: ControlClient, replaces: int, number: int, timeout_s: float = 5.0
) -> FileResult:
    """Apply a file and return the result."""
    result = await client.propose(apply_command(replaces, number), timeout_s)
    assert isinstance(result, FileResult), result
    return result


async def ask(
    address: Address, message: StatusQuery | Watch | Propose, timeout_s: float = 2.0
) -> FromControl:
    """Query exactly this replica; a client would follow a redirect to the leader."""
    reply: asyncio.Future[FromControl] = asyncio.get_running_loop().create_future()

    def receive(payload: bytes) -> None:
        if not reply.done():
            reply.set_result(decode_from_control(payload))

    end = DealerSocket(address, receive)
    try:
        async with asyncio.timeout(timeout_s):
            while not end.send(encode(message)):
                await asyncio.sleep(POLL_S)
            return await reply
    finally:
        end.close()


async def status_of(address: Address) -> StatusReport:
    """Return the status of one replica."""
    report = await ask(address, StatusQuery(1))
    assert isinstance(report, StatusReport)
    return report


async def watch_once(address: Address, revision: int) -> Changes:
    """Return the answer of one replica to a watch from this revision."""
    changes = await ask(address, Watch(1, Revision(revision), Incarnation(""), 0))
    assert isinstance(changes, Changes)
    return changes


async def wait_for_leader(
    running_cluster: Cluster, names: tuple[str, ...], timeout_s: float = 5.0
) -> str:
    """Wait until one of the replicas is the leader and return its name."""
    async with asyncio.timeout(timeout_s):
        while True:
            for name in names:
                report = await status_of(running_cluster.specs[name].client)
                if report.role == "leader":
                    return name
            await asyncio.sleep(POLL_S)


async def eventually(check: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(POLL_S)
