"""The programs of the platform as processes, with operators, upstreams and callers beside them."""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from entry_harness import ADAPTER, Response, read_response
from upstream_double import RequestHandler, UpstreamDouble, upstream

START_TIMEOUT_S = 15.0
POLL_S = 0.05
BEAT_S = 0.4
# Ports are the same on all machines; each machine has a loopback address of its own.
CONTROL, DIRECTORY, FRONT, READY, FIRST_INTERNAL = 21_001, 21_002, 21_003, 21_004, 21_010


@dataclass
class Machine:
    """A machine with one program."""

    name: str
    role: str
    ip: str
    folder: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        """Return where operators and upstreams call."""
        return f"{self.ip}:{CONTROL}"

    @property
    def front(self) -> str:
        """Return where callers connect."""
        return f"{self.ip}:{FRONT}"


@dataclass
class Platform:
    """Machines, and the file that the operator sent last."""

    machines: dict[str, Machine]
    number: int = 0
    file: dict[str, Any] = field(default_factory=dict)

    def of(self, role: str) -> list[Machine]:
        """Return the machines with a role."""
        return [each for each in self.machines.values() if each.role == role]

    async def start(self, name: str, first: bool = False) -> None:
        """Start the program of a machine with its settings."""
        machine = self.machines[name]
        write_settings(machine, [each.control for each in self.of("control")][:3], first)
        output = (machine.folder / "log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ADAPTER / "run_role.py"),
            machine.role,
            env={
                "LYCHEEFALL_SETTINGS": str(machine.folder / "settings.toml"),
                "PYTHONPATH": str(ADAPTER.parent / "src"),
                "PATH": os.environ["PATH"],
            },
            stdout=output,
            stderr=output,
        )
        output.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the program of a machine."""
        process = self.machines[name].process
        assert process is not None
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def ended(self, name: str, timeout_s: float = 10.0) -> None:
        """Wait for the end of a program."""
        process = self.machines[name].process
        assert process is not None
        await asyncio.wait_for(process.wait(), timeout_s)

    async def kill(self, name: str) -> None:
        """Kill a program."""
        self.signal(name, signal.SIGKILL)
        await self.ended(name)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of a machine."""
        lines = (self.machines[name].folder / "log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def put(self, body: dict[str, Any], timeout_s: float = START_TIMEOUT_S) -> int:
        """Send a file to one replica after the other until there is a clear answer."""

        async def once() -> int | None:
            for machine in random.sample(self.of("control"), len(self.of("control"))):
                status = await self.put_at(machine, body)
                if status in (200, 400):
                    return status
            return None

        return await until(once, timeout_s)

    async def put_at(self, machine: Machine, body: dict[str, Any]) -> int | None:
        """Send a file to one replica, and to the one that it names."""
        address = machine.control
        for _ in range(3):
            answered = await http(address, "PUT", "/-/config", json.dumps(body).encode())
            if answered is None or answered.status != 307:
                return None if answered is None else answered.status
            address = answered.headers["location"].split("/")[2]
        return None

    async def change(self, **fields: Any) -> None:
        """Put the file in force with the next number and other fields."""
        self.number += 1
        self.file = self.file | fields | {"Version": self.number}
        assert await self.put(self.file) == 200

    async def read(self, machine: Machine) -> dict[str, Any] | None:
        """Read the file at a replica, or at the one that it names."""
        address = machine.control
        for _ in range(3):
            answered = await http(address, "GET", "/-/config")
            if answered is not None and answered.status == 200:
                return json.loads(answered.body)
            if answered is None or answered.status != 307:
                return None
            address = answered.headers["location"].split("/")[2]
        return None

    async def directory(self, machine: Machine) -> list[str]:
        """Ask a replica for the entries."""
        address = f"{machine.ip}:{DIRECTORY}"
        answered = await http(address, "GET", "/-/resolve?Name=h&Region=r&Zone=dc1")
        if answered is None or answered.status != 200:
            return []
        return list(json.loads(answered.body)["Addresses"])

    async def all_ready(self) -> None:
        """Wait until each replica names each running entry."""

        async def named() -> bool | None:
            running = sorted(
                each.front
                for each in self.of("entry")
                if each.process is not None and each.process.returncode is None
            )
            found = [
                sorted(await self.directory(each))
                for each in self.of("control")
                if each.process is not None and each.process.returncode is None
            ]
            return all(each == running for each in found) or None

        await until(named, START_TIMEOUT_S)


async def until(ask: Callable[[], Awaitable[Any]], timeout_s: float) -> Any:
    """Ask again until there is a result."""
    async with asyncio.timeout(timeout_s):
        while (found := await ask()) is None:
            await asyncio.sleep(POLL_S)
    return found


def write_settings(machine: Machine, seeds: list[str], first: bool) -> None:
    """Write the settings file as the platform does."""
    listen = {
        "control": f'Control = "{machine.control}"\nDirectory = "{machine.ip}:{DIRECTORY}"',
        "entry": f'Front = "{machine.front}"\nReady = "{machine.ip}:{READY}"',
    }[machine.role]
    (machine.folder / "settings.toml").write_text(f"""NodeName = "{machine.name}"
Ip = "{machine.ip}"
Zone = "dc1"
InternalPortRange = [{FIRST_INTERNAL}, {FIRST_INTERNAL + 5}]
Seeds = {json.dumps(seeds)}
Bootstrap = {"true" if first else "false"}
DataDir = "{machine.folder / "data"}"
[Listen]
{listen}
[Bounds]
GraceS = 8
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetryAllowance = 88
""")


async def http(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 1.5
) -> Response | None:
    """Call once; return None where no answer comes."""
    host, _, port = address.partition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                return await read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


@dataclass
class Served:
    """An upstream that announces itself."""

    name: str
    pool: str
    double: UpstreamDouble
    platform: Platform
    state: str = "ready"
    sequence: int = 0
    start_time_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)

    async def beat(self) -> bool:
        """Announce once; return whether a replica acknowledged it."""
        self.sequence += 1
        body = {
            "Service": self.pool,
            "Address": self.double.address,
            "Zone": "dc1",
            "Slots": 6,
            "State": self.state,
            "Sequence": self.sequence,
            "born": self.start_time_ms,
        }
        for machine in random.sample(self.platform.of("control"), len(self.platform.of("control"))):
            path = f"/-/instances/{self.name}"
            answered = await http(machine.control, "PUT", path, json.dumps(body).encode())
            if answered is not None and answered.status == 200:
                return True
        return False

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)


@asynccontextmanager
async def served(
    platform: Platform, name: str, pool: str, answer: RequestHandler
) -> AsyncIterator[Served]:
    """Run an upstream that announces itself."""
    async with upstream(answer) as double:
        made = Served(name, pool, double, platform)
        beating = asyncio.create_task(made.run())
        try:
            yield made
        finally:
            beating.cancel()
            await asyncio.gather(beating, return_exceptions=True)


ROUTES = [
    {
        "Name": "stream",
        "Host": "h",
        "PathPrefix": "/s/",
        "Kind": "streaming",
        "TimeoutMs": 8000,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Service": "engines",
        "Attempts": 2,
        "Resumable": True,
    },
    {
        "Name": "booking",
        "Host": "h",
        "PathPrefix": "/b/",
        "Kind": "non_idempotent",
        "TimeoutMs": 1000,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": "desk",
        "Attempts": 1,
    },
    {
        "Name": "lookup",
        "Host": "h",
        "PathPrefix": "/l/",
        "Kind": "idempotent",
        "TimeoutMs": 1000,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": "desk",
        "Attempts": 2,
    },
]
FILE = {
    "Version": 1,
    "Routes": ROUTES,
    "Services": [{"Name": "engines"}, {"Name": "desk"}],
    "Limits": {},
    "Tenants": [{"Name": "t1", "ApiKeys": ["k1"]}],
}


@asynccontextmanager
async def platform(folder: Path, controls: int = 3, entries: int = 2) -> AsyncIterator[Platform]:
    """Start all machines for the first time, and put a file in force."""
    prefix = ".".join(["127", *(str(random.SystemRandom().randint(1, 254)) for _ in range(2))])
    machines: dict[str, Machine] = {}
    for number in range(controls + entries):
        role = "control" if number < controls else "entry"
        name = f"{role}{number if number < controls else number - controls}"
        (folder / name).mkdir()
        machines[name] = Machine(name, role, f"{prefix}.{number + 1}", folder / name)
    made = Platform(machines)
    try:
        for name in machines:
            await made.start(name, first=True)
        await made.change(**FILE)
        yield made
    finally:
        for machine in machines.values():
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
