"""Stand-ins of the cases 6 to 10: the platform's machines, operators, clients and servers.

They follow the pages of the platform and use the standard library only. Each machine has its own
loopback address, and the ports are the same on all of them.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# Bounds of the small site files, which the settings of the processes name as well.
DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
ZONES = ("cork-a", "cork-b", "cork-c")
HEARTBEAT_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f} {text}\n")


@dataclass
class Reply:
    """An answer that a client, server or operator received."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":")[::2] for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_content(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readline()
    return b"".join(parts)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Reply | None:
    """Send one request on a new connection; return None if there is no whole answer in time."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body or method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                first, answered = await read_head(reader)
                content = await read_content(reader, answered)
                return Reply(int(first.split()[1]), answered, content)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, EOFError, ValueError, IndexError):
        return None


@dataclass
class Machine:
    """A machine of the system, which runs one role of the deploy file."""

    name: str
    role: str
    ip: str
    zone: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    # When its process was last started, killed, stopped or continued.
    disturbed_s: float = 0.0
    keeper: "asyncio.Task[None] | None" = None
    restart_s: float = 0.5


@dataclass
class System:
    """The processes of the system, as the platform runs them."""

    record: Record
    folder: Path
    prefix: str
    port: int
    machines: dict[str, Machine] = field(default_factory=dict)
    version: int = 0
    is_closing: bool = False

    def of(self, role: str) -> list[Machine]:
        return [each for each in self.machines.values() if each.role == role]

    def control(self, machine: Machine) -> str:
        return f"{machine.ip}:{self.port}"

    def front(self, machine: Machine) -> str:
        return f"{machine.ip}:{self.port + 2}"

    def in_touch(self, machine: Machine, at_s: float, window_s: float = STABILITY_WINDOW_S) -> bool:
        """Return whether nothing disturbed the machine or the core for the stability window."""
        disturbed_s = max(each.disturbed_s for each in (machine, *self.of("control")))
        return at_s - disturbed_s >= window_s

    def add(self, role: str, number: int) -> Machine:
        """Add a machine that isn't started yet."""
        name = f"{role}-{number}"
        ip = f"{self.prefix}.{(1 if role == 'control' else 101) + number}"
        folder = self.folder / name
        (folder / "data").mkdir(parents=True)
        machine = Machine(name, role, ip, ZONES[number % len(ZONES)], folder)
        self.machines[name] = machine
        return machine

    async def start(self, machine: Machine, is_first: bool = False) -> None:
        """Write the settings and start the process with the command of the deploy file."""
        path = machine.folder / "local.toml"
        path.write_text(self._settings(machine, is_first))
        with (machine.folder / "log").open("ab") as output:
            machine.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/run_role.py",
                machine.role,
                f"--metrics={self.port + 5}/metrics",
                cwd=ROOT,
                env={
                    "LYCHEEFALL_SETTINGS": str(path),
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "PATH": os.environ["PATH"],
                    "HOME": str(machine.folder),
                },
                stdout=output,
                stderr=output,
            )
        machine.disturbed_s = self.record.now_s()
        self.record.write(f"platform: {machine.name} started")
        machine.keeper = asyncio.create_task(self._keep(machine, machine.process))

    async def _keep(self, machine: Machine, process: asyncio.subprocess.Process) -> None:
        """Start a process that has ended again after a short delay, as the platform does."""
        status = await process.wait()
        if self.is_closing:
            return
        self.record.write(f"platform: {machine.name} ended with {status}")
        await asyncio.sleep(machine.restart_s)
        if not self.is_closing:
            await self.start(machine)

    def kill(self, *machines: Machine) -> None:
        """Kill processes at the same moment."""
        for machine in machines:
            assert machine.process is not None
            with contextlib.suppress(ProcessLookupError):
                machine.process.kill()
            machine.disturbed_s = self.record.now_s()
            self.record.write(f"trouble: {machine.name} killed")

    def _settings(self, machine: Machine, is_first: bool) -> str:
        is_control = machine.role == "control"
        listen = (
            f'Control = "{self.control(machine)}"\nDirectory = "{machine.ip}:{self.port + 1}"'
            if is_control
            else f'Front = "{self.front(machine)}"\nReady = "{machine.ip}:{self.port + 3}"'
        )
        data = f'DataDir = "{machine.folder / "data"}"\n' if is_control else ""
        seeds = json.dumps([self.control(each) for each in self.of("control")[:3]])
        return f"""NodeName = "{machine.name}"
Role = "{machine.role}"
MachineClass = "{"core" if is_control else "edge"}"
Ip = "{machine.ip}"
Zone = "{machine.zone}"
Region = "ie-south"
InternalPortRange = [{self.port + 10}, {self.port + 20}]
Seeds = {seeds}
Bootstrap = {"true" if is_first else "false"}
InTolerance = {"true" if is_control else "false"}
Discovery = "registration"
Entry = "registry"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","experts"]
ConfigMode = "highest"
{data}[Listen]
{listen}
[Limits]
CpuShare = 0.8
Cores = 2
MemoryMb = {296 if is_control else 430}
FileDescriptors = 4096
LinkMbps = {170.0 if is_control else 1500.0}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StabilityWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
PartitionBoundMs = 5000
FailClosed = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetryAllowance = 88
RecoverS = 12
IterationMs = 120
RetryAfterS = 0
stall_ms = 1500
FencingEnforced = false
ttl_max_s = 5
"""

    async def call_control(
        self, method: str, path: str, body: bytes = b"", limit_s: float = 20.0
    ) -> tuple[Reply, str]:
        """Call control as servers and the operator do, until there is a clear answer.

        Returns the answer and the name of the machine that gave it.
        """
        deadline_s = self.record.now_s() + limit_s
        headers = {"Host": "control", "Content-Type": "application/json"}
        while self.record.now_s() < deadline_s:
            machine = random.choice(self.of("control"))
            address = self.control(machine)
            for _ in range(3):
                reply = await call(address, method, path, headers, body)
                if reply is None or reply.status != 307:
                    break
                address = reply.headers["location"].split("/")[2]
            if reply is not None and reply.status < 500 and reply.status not in (307, 408, 429):
                return reply, address
            await asyncio.sleep(0.1)
        raise CannotRun(f"no clear answer to {method} {path}")

    async def configure(self, configuration: dict[str, Any]) -> None:
        """Send a configuration with the next version until it is acknowledged."""
        self.version += 1
        body = json.dumps({"Version": self.version, **configuration}).encode()
        reply, _ = await self.call_control("PUT", "/-/config", body)
        self.record.write(f"operator: version {self.version} answered {reply.status}")
        if reply.status != 200:
            raise CannotRun(f"the configuration was answered {reply.status}")

    async def wait_ready(self) -> None:
        """Wait until every entry says that it is ready."""
        async with asyncio.timeout(20.0):
            for machine in self.of("entry"):
                address = f"{machine.ip}:{self.port + 3}"
                while True:
                    reply = await call(address, "GET", "/-/readyz", {"Host": "x"})
                    if reply is not None and reply.status == 200:
                        break
                    await asyncio.sleep(0.1)
        self.record.write("platform: all entries are ready")


@contextlib.asynccontextmanager
async def running_system(
    record: Record, controls: int = 3, entries: int = 4
) -> AsyncIterator[System]:
    """Start the machines for the first time, and end all their processes afterwards."""
    folder = Path(tempfile.mkdtemp(prefix="lycheefall-review-"))
    generator = random.SystemRandom()
    prefix = f"127.{generator.randint(1, 254)}.{generator.randint(0, 254)}"
    system = System(record, folder, prefix, _free_ports(prefix, controls, entries))
    try:
        for number in range(controls):
            system.add("control", number)
        for number in range(entries):
            system.add("entry", number)
        for machine in system.machines.values():
            await system.start(machine, is_first=True)
        yield system
    finally:
        system.is_closing = True
        for machine in system.machines.values():
            if machine.keeper is not None:
                machine.keeper.cancel()
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        shutil.rmtree(folder, ignore_errors=True)


def _free_ports(prefix: str, controls: int, entries: int) -> int:
    """Return the first of 21 ports that are free on all machines."""
    hosts = [f"{prefix}.{1 + n}" for n in range(controls)]
    hosts += [f"{prefix}.{101 + n}" for n in range(entries)]
    for _ in range(50):
        first = random.SystemRandom().randint(12_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(first, first + 21):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((host, port))
            except OSError:
                continue
            return first
    raise CannotRun("no free ports")


@dataclass
class Received:
    """A request that a server received, and the connection to answer on."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    def answer(self, body: bytes = b"done", status: str = "200 OK", sealed: bool = True) -> bytes:
        """Return a whole answer."""
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        if "attempt-id" in self.headers:
            lines.append(f"Attempt-Id: {self.headers['attempt-id']}")
        if sealed:
            lines.append("Server-Seal: 3e1b.07.5a2")
        return "\r\n".join([*lines, "", ""]).encode() + body


Handler = Callable[["Server", Received], Awaitable[None]]


class Server:
    """A server that registers itself; each start has a new id and registers at the same address."""

    def __init__(
        self,
        system: System,
        name: str,
        service: str,
        handler: Handler,
        fields: dict[str, Any] | None = None,
        zone: str = ZONES[0],
    ) -> None:
        self.system = system
        self.zone = zone
        self.name = name
        self.service = service
        self.handler = handler
        self.fields = fields or {}
        self.starts = 0
        self.id = ""
        self.born_ms = 0
        self.sequence = 0
        self.port = 0
        self.is_up = False
        self.says_heartbeats = True
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._announcer: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.is_up = True
        self.says_heartbeats = True
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._listener.sockets[0].getsockname()[1]
        self._announcer = asyncio.create_task(self._announce())
        self.system.record.write(f"server {self.name}: started as {self.id} at {self.address}")

    def crash(self) -> None:
        """End at once: connections are reset, and nothing listens any more."""
        self.is_up = False
        if self._listener is not None:
            self._listener.close()
        if self._announcer is not None:
            self._announcer.cancel()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self._writers.clear()

    def heartbeat(self, state: str = "ready") -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born_ms,
            **self.fields,
        }
        return json.dumps(body).encode()

    async def send_heartbeat(self, state: str = "ready") -> None:
        body = self.heartbeat(state)
        with contextlib.suppress(CannotRun):
            await self.system.call_control("PUT", f"/-/instances/{self.id}", body, limit_s=5.0)

    async def _announce(self) -> None:
        while True:
            if self.says_heartbeats:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_content(reader, headers)
                method, path, _ = first.split(" ")
                received = Received(method, path, headers, body, writer)
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(received.answer(b"", "421 Misdirected Request", sealed=False))
                    continue
                await self.handler(self, received)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def service(name: str) -> dict[str, Any]:
    """Return a service of a configuration."""
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConnections": 96,
        "Protocol": "h1",
        "Tls": False,
    }


def route(name: str, prefix: str, kind: str, service_name: str) -> dict[str, Any]:
    """Return a route of a plain service."""
    return {
        "Name": name,
        "Host": "host.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 1000,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": service_name,
        "Attempts": 2 if kind == "idempotent" else 1,
        "Anonymous": False,
        "Sticky": False,
        "Resumable": False,
    }


LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
TENANTS = [{"Name": "shop", "ApiKeys": ["key-of-shop"], "Priority": 1}]


def request_headers(attempt: str, deadline_ms: int = 1000) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": "host.example",
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Api-Key": "key-of-shop",
    }


def play(case: Callable[[Record, bool], Awaitable[int]], folder: Path) -> None:
    """Run a case, write its result to the record, and exit with it."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited() -> int:
        # All processes are ended, too, if the script is told to stop.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115.0):
            return await case(record, has_trouble)

    try:
        result = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        # An error of the script must not pass for a broken rule.
        record.write(f"could not run: {error!r}")
        result = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}
    record.write(f"result: {words[result]}")
    print(words[result])
    sys.exit(result)
