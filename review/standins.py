"""Stand-ins for the users' platform, its model servers and its clients.

The platform starts the commands of `deploy/system.toml` as separate processes, each on a loopback
address of its own, with a settings file as `DEPLOY.md` shows it. Servers and clients speak
HTTP/1.1 as `PROTOCOL.md` describes it. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[1]
# Port numbers are the same on all machines, and each machine has its own loopback address.
CONTROL_PORT = 18_229
DIRECTORY_PORT = 18_224
FRONT_PORT = 18_227
READY_PORT = 18_220
SERVER_PORT = 18_080
INTERNAL_PORTS = (17_340, 17_355)
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
START_TIMEOUT_S = 20.0

RULE_HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2

BOUNDS = """StabilityWindowMs = 3000
SeedLagS = 3
ReuseAfterS = 2
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


HOST = "ficu95.example"
TENANT = "hule930"
KEY = "n2ctnfzs989anu6wsjnb"


def route(name: str, prefix: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 1000,
        "TargetLatencyMs": 203,
        "Priority": 2,
        "Service": service,
        "Attempts": 2,
        "Anonymous": False,
    } | changes


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    *,
    body_bytes: int = 4_194_304,
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a configuration with the services that its routes name, and one tenant."""
    names = sorted({each["Service"] for each in routes})
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/healthz",
                "MaxConnections": 110,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in names
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": body_bytes,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}] if tenants is None else tenants,
    }


def client_headers(attempt: str, deadline_ms: int, **more: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Api-Key": KEY,
    } | {name.replace("_", "-"): value for name, value in more.items()}


async def connect(machine: "Machine") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an entry, as a client does."""
    host, _, port = machine.front.rpartition(":")
    return await asyncio.open_connection(host, int(port))


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._started_s = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started_s:9.4f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


@dataclass
class Answer:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


class BrokenOff(Exception):
    """The connection ended before a complete response."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; names are in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise BrokenOff(repr(error)) from error
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int((await reader.readline()).split(b";")[0] or b"0", 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readline()
            return b"".join(parts)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenOff(repr(error)) from error


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next response on a connection."""
    first, headers = await read_head(reader)
    return Answer(int(first.split(" ")[1]), headers, await read_body(reader, headers))


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b"", *, chunked: bool = False
) -> bytes:
    """Return a request; a body is sent with its length or as one chunk."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    elif body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer | None:
    """Send one request on a new connection; return None if it fails or times out."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                sent = {"Host": address, **(headers or {})}
                writer.write(encode_request(method, target, sent, body))
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, BrokenOff):
        return None


@dataclass
class Machine:
    """A machine of the system that runs one role."""

    name: str
    role: str
    ip: str
    folder: Path
    zone: str
    process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def front(self) -> str:
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None


@dataclass
class Platform:
    """The machines, and what the operator does."""

    record: Record
    folder: Path
    machines: list[Machine] = field(default_factory=list)
    # Prefix of the loopback addresses of this run.
    prefix: str = ""
    memory_mb: int = 300

    def with_role(self, role: str) -> list[Machine]:
        return [each for each in self.machines if each.role == role]

    @property
    def controls(self) -> list[Machine]:
        return self.with_role("control")

    @property
    def entries(self) -> list[Machine]:
        return self.with_role("entry")

    def new_address(self, number: int) -> str:
        """Return a loopback address that no machine of the system has."""
        return f"{self.prefix}.{number}"

    async def start_all(self, controls: int = 3, entries: int = 2) -> None:
        """Start the whole system for the first time."""
        digits = random.SystemRandom()
        self.prefix = f"127.{digits.randint(20, 250)}.{digits.randint(1, 250)}"
        zones = ("cork-a", "cork-b", "cork-c")
        for number in range(controls + entries):
            role = "control" if number < controls else "entry"
            name = f"{role}-{number if role == 'control' else number - controls}"
            folder = self.folder / name
            (folder / "data").mkdir(parents=True)
            zone = zones[number % len(zones)]
            machine = Machine(name, role, self.new_address(number + 1), folder, zone)
            self.machines.append(machine)
        for machine in self.machines:
            await self.start(machine, is_first_start=True)

    async def start(self, machine: Machine, *, is_first_start: bool = False) -> None:
        """Start the role of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][machine.role]["run"])
        settings = machine.folder / "local.toml"
        settings.write_text(self._settings(machine, is_first_start))
        output = (machine.folder / "log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                "LYCHEEFALL_SETTINGS": str(settings),
                "PYTHONPATH": "target/deps",
                "PATH": os.environ["PATH"],
            },
            stdout=output,
            stderr=output,
        )
        output.close()
        self.record(f"platform: {machine.name} starts as process {machine.process.pid}")

    def _settings(self, machine: Machine, is_first_start: bool) -> str:
        is_control = machine.role == "control"
        seeds = [each.control for each in self.controls][:3]
        listen = (
            f'Control = "{machine.control}"\nDirectory = "{machine.ip}:{DIRECTORY_PORT}"'
            if is_control
            else f'Front = "{machine.front}"\nReady = "{machine.ip}:{READY_PORT}"'
        )
        return f"""NodeName = "{machine.name}"
Role = "{machine.role}"
MachineClass = "{"core" if is_control else "edge"}"
Serves = {json.dumps(["control", "registry"] if is_control else ["edge"])}
Ip = "{machine.ip}"
Zone = "{machine.zone}"
Region = "ie-south"
InternalPortRange = {json.dumps(INTERNAL_PORTS)}
Seeds = {json.dumps(seeds)}
Bootstrap = {"true" if is_first_start else "false"}
InTolerance = {"true" if is_control else "false"}
{f'DataDir = "{machine.folder / "data"}"' if is_control else ""}
Discovery = "registration"
Entry = "registry"
HeartbeatMs = {int(HEARTBEAT_S * 1000)}
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","experts"]
ConfigMode = "highest"
[Zones]
cork-a = "ie-south"
cork-b = "ie-south"
cork-c = "ie-south"
[Listen]
{listen}
[Limits]
CpuShare = {0.322 if is_control else 0.817}
Cores = {1 if is_control else 2}
MemoryMb = {296 if is_control else self.memory_mb}
FileDescriptors = {4096 if is_control else 4200}
LinkMbps = {170.0 if is_control else 1000.0}
DiskMb = {128 if is_control else 0}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
{BOUNDS}"""

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        assert machine.process is not None
        self.record(f"platform: {machine.name} gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            machine.process.send_signal(number)

    async def kill(self, machine: Machine) -> None:
        self.signal(machine, signal.SIGKILL)
        assert machine.process is not None
        await machine.process.wait()

    async def stop_all(self) -> None:
        """End all processes that this platform started."""
        for machine in self.machines:
            if machine.is_running:
                assert machine.process is not None
                with contextlib.suppress(ProcessLookupError):
                    machine.process.kill()
                await machine.process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until each control machine names each running entry to clients."""
        running = sorted(each.front for each in self.entries if each.is_running)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            found = [await self.resolve(each) for each in self.controls if each.is_running]
            if all(sorted(each) == running for each in found):
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun("the entries did not become ready")

    async def resolve(self, control: Machine) -> list[str]:
        """Ask a machine for the addresses of entries, as clients do."""
        answer = await call(
            f"{control.ip}:{DIRECTORY_PORT}",
            "GET",
            "/-/resolve?Name=ficu95.example&Region=ie-south&Zone=cork-a",
        )
        if answer is None or answer.status != 200:
            return []
        return list(json.loads(answer.body)["Addresses"])

    async def put_config(self, content: dict[str, Any] | bytes, what: str) -> int:
        """Send a configuration as the operator does, until there is a clear answer."""
        body = content if isinstance(content, bytes) else json.dumps(content).encode()
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            address = random.choice([each for each in self.controls if each.is_running]).control
            for _ in range(3):
                answer = await call(address, "PUT", "/-/config", body, timeout_s=2.0)
                if answer is None or answer.status != 307:
                    break
                address = answer.headers["location"].split("/")[2]
            if answer is not None and answer.status in (200, 400, 409, 412, 413, 422):
                self.record(f"operator: PUT of {what}: {answer.status} from {address}")
                return answer.status
            await asyncio.sleep(0.2)
        raise CouldNotRun(f"no clear answer to the PUT of {what}")

    async def get_config(self) -> bytes | None:
        """Read the configuration back as the operator does."""
        for _ in range(20):
            address = random.choice([each for each in self.controls if each.is_running]).control
            for _ in range(3):
                answer = await call(address, "GET", "/-/config")
                if answer is None or answer.status != 307:
                    break
                address = answer.headers["location"].split("/")[2]
            if answer is not None and answer.status == 200:
                return answer.body
            await asyncio.sleep(0.2)
        return None


# What a server does with a request that it begins to run.
Work = Callable[["Run"], Awaitable[None]]


@dataclass
class Run:
    """A request at a server."""

    server: "Server"
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    began_s: float
    # Whether a part of the answer was sent; a generation begins to run with its first token.
    has_output: bool = False

    @property
    def attempt(self) -> str:
        return self.headers.get("attempt-id", "")

    def head(self, status: str = "200 OK", *extra: str) -> bytes:
        """Return the head of a response, with the echoed id and the signature of the server."""
        lines = [
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {self.attempt}",
            f"Server-Seal: {self.server.name}.{self.attempt}",
            *extra,
            "",
            "",
        ]
        return "\r\n".join(lines).encode()

    async def answer(self, body: bytes) -> None:
        """Send a complete response, unless the server has gone silent."""
        if self.server.is_silent:
            await asyncio.Event().wait()
        self.writer.write(self.head("200 OK", f"Content-Length: {len(body)}") + body)
        await self.writer.drain()


@dataclass
class Server:
    """A server that announces itself, and records each request that it runs."""

    platform: Platform
    name: str
    service: str
    ip: str
    work: Work
    slots: int = 6
    # Address that the server announces, if a proxy stands in front of it.
    announced: str = ""
    group: dict[str, Any] | None = None
    state: str = "ready"
    sequence: int = 0
    born_ms: int = 0
    is_silent: bool = False
    runs: list[Run] = field(default_factory=list)
    # Requests that are being worked on, by id, and when work on each ended.
    working: dict[str, Run] = field(default_factory=dict)
    ended_s: dict[str, float] = field(default_factory=dict)
    listener: asyncio.Server | None = None
    heart: asyncio.Task[None] | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        return f"{self.ip}:{SERVER_PORT}"

    async def start(self) -> None:
        """Listen and announce the server until it is stopped."""
        self.born_ms = time.time_ns() // 1_000_000
        self.listener = await asyncio.start_server(
            self._serve, self.ip, SERVER_PORT, backlog=512, limit=8 * 1024 * 1024
        )
        if not await self.beat():
            raise CouldNotRun(f"the announcement of {self.name} was not acknowledged")
        self.heart = asyncio.create_task(self._beat_forever())

    async def beat(self) -> bool:
        """Send one heartbeat, to the next node if one does not acknowledge it in a second."""
        self.sequence += 1
        body = {
            "Service": self.service,
            "Address": self.announced or self.address,
            "Zone": "cork-a",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Sequence": self.sequence,
            "born": self.born_ms,
        }
        if self.group is not None:
            body["group"] = self.group
        nodes = [each for each in self.platform.controls if each.is_running]
        for node in random.sample(nodes, len(nodes)):
            path = f"/-/instances/{self.name}"
            answer = await call(node.control, "PUT", path, json.dumps(body).encode())
            if answer is not None and answer.status == 200:
                return True
        return False

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    def crash(self) -> None:
        """End at once: reset all connections and stop listening; nothing is sent."""
        self.platform.record(f"server {self.name}: crashes")
        if self.heart is not None:
            self.heart.cancel()
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def go_silent(self) -> None:
        """Neither announce nor answer any more; connections stay open."""
        self.platform.record(f"server {self.name}: goes silent")
        self.is_silent = True
        if self.heart is not None:
            self.heart.cancel()

    async def restart(self) -> None:
        """Start again under the same id; nothing of before is known, and the counts start anew."""
        self.sequence = 0
        self.is_silent = False
        self.working.clear()
        self.platform.record(f"server {self.name}: starts again")
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (BrokenOff, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        body = await read_body(reader, headers)
        if self.is_silent:
            await asyncio.Event().wait()
        expected = headers.get("expect-instance")
        if expected not in (None, self.name):
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if target.startswith("/-/") or target == "/healthz":
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        run = Run(self, method, target, headers, body, writer, time.monotonic())
        self.runs.append(run)
        self.working[run.attempt] = run
        self.platform.record(f"server {self.name}: runs {run.attempt} {method} {target}")
        work = asyncio.ensure_future(self.work(run))
        # A server drops a request whose connection closes.
        watch = asyncio.ensure_future(_wait_for_close(reader, writer))
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.platform.record(f"server {self.name}: drops {run.attempt}, its caller closed")
                return False
            work.result()
            self.platform.record(f"server {self.name}: has answered {run.attempt}")
            return not watch.done()
        finally:
            self.working.pop(run.attempt, None)
            self.ended_s[run.attempt] = time.monotonic()
            for each in (work, watch):
                each.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)


async def _wait_for_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Return once the peer has closed the connection, without taking bytes from it."""
    while not (reader.at_eof() or reader.exception() or writer.is_closing()):  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def run_case(folder: Path, case: Callable[[Platform, bool], Awaitable[bool]]) -> None:
    """Run a case with or without its disruption, and exit as `run.sh` has to."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play() -> int:
        with tempfile.TemporaryDirectory(prefix="lycheefall-review-") as temporary:
            platform = Platform(record, Path(temporary))
            try:
                async with asyncio.timeout(110.0):
                    is_broken = await case(platform, has_trouble)
            except (CouldNotRun, OSError, TimeoutError) as error:
                record(f"the case could not run: {error!r}")
                return COULD_NOT_RUN
            finally:
                await platform.stop_all()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for machine in platform.machines:
                        text = (machine.folder / "log").read_text()
                        (Path(keep) / f"{machine.name}.log").write_text(text)
            record("the rule was broken" if is_broken else "the rule held")
            return RULE_BROKEN if is_broken else RULE_HELD

    code = asyncio.run(play())
    record.close()
    sys.exit(code)
