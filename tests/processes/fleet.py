"""Starts a whole system as processes: entries, fake upstreams and the agents of the upstreams.

The first entries also run a control replica each.
"""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from lycheefall._core.enums import MemberState
from lycheefall._core.ids import Address
from lycheefall._core.messages.membership import UpstreamMember
from lycheefall._fakes.forwarder import Forwarder
from processes.control_harness import free_addresses, status_of

SOURCE = Path(__file__).resolve().parents[2] / "src"
START_TIMEOUT_S = 30.0
POLL_S = 0.05

CONFIGURATION = """
replaces = {replaces}

[directory]
ttl_s = 1.0

[[priorities]]
name = "urgent"
target_s = 0.62
worth = 100
share_ratio = 0.2

[[priorities]]
name = "notes"
target_s = 5.0
worth = 10
share_ratio = 0.1

[[priorities]]
name = "overnight"
target_s = 60.0
worth = 1
share_ratio = 0.05

{teams}

[[pools]]
name = "assistant-pool"
kind = "engine"
drain = {engine_drain}

[[pools]]
name = "counter-app"
kind = "service"
drain = {service_drain}

[[routes]]
name = "chat"
kind = "chat"
models = ["m"]
pools = ["assistant-pool"]
priority = "notes"
timeout_s = 20.0

[[routes]]
name = "balances"
kind = "lookup"
service = "counter"
path = "balances"
pools = ["counter-app"]
priority = "urgent"
timeout_s = 5.0

[[routes]]
name = "bookings"
kind = "booking"
service = "counter"
path = "bookings"
idempotent = false
pools = ["counter-app"]
priority = "urgent"
timeout_s = 5.0
"""


def configuration_text(
    replaces: int = 0,
    teams: int = 10,
    engine_drain: tuple[str, ...] = (),
    service_drain: tuple[str, ...] = (),
    limits: str = "",
) -> str:
    """Return a configuration file for the pools of a fleet."""
    names = [f'[[teams]]\nname = "team-{number}"\n' for number in range(teams)]
    return CONFIGURATION.format(
        replaces=replaces,
        teams=f"[limits]\n{limits}\n" + "\n".join(names),
        engine_drain=list(engine_drain),
        service_drain=list(service_drain),
    )


def data_centre_of(name: str) -> str:
    """Return the data centre of an entry or an upstream."""
    return f"dc-{int(name.rpartition('-')[2]) % 3}"


@dataclass
class Fleet:
    """The processes of one system and their listen addresses."""

    folder: Path
    engines: int = 2
    services: int = 1
    entries: int = 4
    replicas: int = 3
    # Drain timeout of the entries. Requests with the longest timeout of the configuration that
    # arrive while callers may still know the address end before it.
    drain_s: float = 25.0
    # Extra flags of the fakes, by process name.
    fake_flags: dict[str, list[str]] = field(default_factory=dict)
    # Pools of the agents, by the kind of their upstream.
    pools: dict[str, str] = field(
        default_factory=lambda: {"engine": "assistant-pool", "service": "counter-app"}
    )
    # Extra flags of the agents, by the kind of their upstream.
    agent_flags_by_kind: dict[str, list[str]] = field(default_factory=dict)
    # Module search folders in addition to the source.
    python_path: list[str] = field(default_factory=list)
    # Command of an entry, before its flags.
    entry_command: list[str] = field(default_factory=lambda: ["lycheefall", "entry"])
    # Extra flags of every agent.
    agent_flags: list[str] = field(default_factory=list)
    addresses: dict[str, Address] = field(default_factory=dict)
    # Addresses that other processes connect to instead of the real one, by listener ("client-0"),
    # or by process and listener ("entry-3:client-0") to override it for one process only.
    address_overrides: dict[str, Address] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    commands: dict[str, list[str]] = field(default_factory=dict)
    # Exit codes of processes that had already exited when they were to be killed.
    exit_codes: dict[str, int] = field(default_factory=dict)

    def assign_addresses(self) -> None:
        """Assign an address to each listener."""
        names = [f"{kind}-{n}" for kind, n in self._listeners()]
        self.addresses = dict(zip(names, free_addresses(len(names)), strict=True))

    def _listeners(self) -> list[tuple[str, int]]:
        kinds = {"entry": self.entries, "announce": self.entries}
        kinds |= {"client": self.replicas, "peer": self.replicas}
        kinds |= {"engine": self.engines, "engine-agent": self.engines}
        kinds |= {"service": self.services, "service-agent": self.services}
        return [(kind, number) for kind, count in kinds.items() for number in range(count)]

    @property
    def control(self) -> str:
        """Return the client addresses of the replicas as a flag's value."""
        return self._control_for("operator")

    def _control_for(self, process: str) -> str:
        return ",".join(self._address_for(f"client-{n}", process) for n in range(self.replicas))

    @property
    def upstream_names(self) -> list[str]:
        """Return the names of all upstreams."""
        return [f"engine-{n}" for n in range(self.engines)] + [
            f"service-{n}" for n in range(self.services)
        ]

    def _address_for(self, listener: str, process: str) -> Address:
        shared = self.address_overrides.get(listener, self.addresses[listener])
        return self.address_overrides.get(f"{process}:{listener}", shared)

    def start_all(self) -> None:
        """Start every process."""
        for number in range(self.entries):
            self.start(f"entry-{number}")
        for name in self.upstream_names:
            self.start(name)
            self.start(f"{name}-agent")

    def start(self, name: str) -> None:
        """Start one process; a restart uses its previous command."""
        command = self.commands.setdefault(name, self._command(name))
        folders = os.pathsep.join([str(SOURCE), *self.python_path])
        environment = os.environ | {"PYTHONPATH": folders}
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *command], env=environment, stdout=output, stderr=output
            )

    def _command(self, name: str) -> list[str]:
        kind, _, number = name.rpartition("-")
        if name.endswith("-agent"):
            return self._agent(name.removesuffix("-agent"))
        if kind == "entry":
            return self._entry(int(number))
        fake = f"lycheefall._fakes.{kind}"
        flags = ["--listen", self.addresses[name], *self.fake_flags.get(name, [])]
        flags += ["--requests-file", str(self.folder / f"{name}.requests")]
        if kind == "service":
            flags += ["--executions-file", str(self.folder / f"{name}.executions")]
        return [fake, *flags]

    def _entry(self, number: int) -> list[str]:
        flags = [*self.entry_command, "--instance", f"entry-{number}"]
        flags += ["--data-centre", data_centre_of(f"entry-{number}")]
        flags += ["--control", self._control_for(f"entry-{number}")]
        flags += ["--listen", self.addresses[f"entry-{number}"]]
        flags += ["--announce-listen", self.addresses[f"announce-{number}"]]
        flags += ["--drain-s", str(self.drain_s)]
        if number >= self.replicas:
            return flags
        flags += ["--with-control", "--control-listen", self.addresses[f"client-{number}"]]
        flags += ["--peer-listen", self.addresses[f"peer-{number}"], "--voters", self.voters]
        return [*flags, "--data-folder", str(self.folder / f"data-{number}")]

    @property
    def voters(self) -> str:
        """Return the initial voters as a flag's value."""
        return ",".join(
            f"entry-{n}={self.addresses[f'peer-{n}']}/{self.addresses[f'client-{n}']}"
            for n in range(self.replicas)
        )

    def _agent(self, upstream: str) -> list[str]:
        kind, _, number = upstream.rpartition("-")
        flags = ["lycheefall", "agent", "--instance", f"host-{upstream}"]
        flags += ["--data-centre", data_centre_of(upstream), "--upstream", upstream]
        flags += ["--pool", self.pools[kind], "--kind", kind]
        flags += ["--control", self._control_for(f"{upstream}-agent")]
        flags += [
            "--upstream-address",
            self._address_for(upstream, f"{upstream}-agent"),
            *self.agent_flags,
            *self.agent_flags_by_kind.get(kind, []),
        ]
        listener = f"{kind}-agent-{number}"
        if listener in self.address_overrides:
            flags += ["--announce-as", self.address_overrides[listener]]
        return [*flags, "--listen", self.addresses[listener]]

    def apply(self, text: str) -> subprocess.CompletedProcess[str]:
        """Apply a configuration file with the `apply` subcommand."""
        file = self.folder / "configuration.toml"
        file.write_text(text)
        return self.command("apply", str(file), "--control", self.control)

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a subcommand and return its result."""
        return subprocess.run(
            [sys.executable, "-m", "lycheefall", *arguments],
            env=os.environ | {"PYTHONPATH": str(SOURCE)},
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
            check=False,
        )

    def url(self, entry: int, path: str) -> str:
        """Return the URL of a path at an entry."""
        return f"http://{self.addresses[f'entry-{entry}']}{path}"

    def executions(self) -> list[str]:
        """Return the execution lines of all fake services, one for each execution."""
        names = [f"service-{n}" for n in range(self.services)]
        return [line for name in names for line in self.executions_of(name)]

    def executions_of(self, service: str) -> list[str]:
        """Return the execution lines of one fake service."""
        file = self.folder / f"{service}.executions"
        return file.read_text().splitlines() if file.exists() else []

    def requests(self) -> Counter[str]:
        """Return how often each prompt and each lookup path reached a fake upstream."""
        files = self.folder.glob("*.requests")
        return Counter(json.loads(line) for file in files for line in file.open())

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.processes.pop(name)
        self._record_exit(name, process)
        process.kill()
        process.wait()

    def unexpected_exits(self) -> dict[str, int]:
        """Return the exit codes of all processes that exited without a request to stop."""
        for name, process in self.processes.items():
            self._record_exit(name, process)
        return self.exit_codes

    def _record_exit(self, name: str, process: subprocess.Popen[bytes]) -> None:
        code = process.poll()
        if code is not None:
            self.exit_codes[name] = code

    def terminate(self, name: str) -> subprocess.Popen[bytes]:
        """Send SIGTERM to a process and return it."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Kill all processes."""
        for name in list(self.processes):
            self.kill(name)

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until control has registered all upstreams, and every entry serves every pool."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._all_announced():
                await asyncio.sleep(POLL_S)
            for number in range(self.entries):
                while not await self._serves(session, number):
                    await asyncio.sleep(POLL_S)

    async def _all_announced(self) -> bool:
        try:
            report = await status_of(self.addresses["client-0"])
        except TimeoutError:
            # A replica that has just been restarted doesn't listen yet.
            return False
        upstreams = [each for each in report.members if isinstance(each, UpstreamMember)]
        started = [each for each in upstreams if each.state is not MemberState.STARTING]
        return len(started) == self.engines + self.services

    async def _serves(self, session: aiohttp.ClientSession, number: int) -> bool:
        headers = {"X-Lycheefall-Team": "team-0"}
        body = {"model": "m", "messages": [{"role": "user", "content": "ready?"}], "max_tokens": 1}
        try:
            chat = self.url(number, "/v1/chat/completions")
            async with session.post(chat, json=body, headers=headers) as response:
                served = response.status == 200
            lookup = self.url(number, "/v1/services/counter/balances/0")
            async with session.get(lookup, headers=headers) as response:
                return served and response.status == 200
        except aiohttp.ClientError:
            return False


async def kill_and_restart(fleet: Fleet, name: str, pause_s: float) -> None:
    """Kill a process and restart it `pause_s` seconds later."""
    fleet.kill(name)
    await asyncio.sleep(pause_s)
    fleet.start(name)


async def pause_and_resume(fleet: Fleet, name: str, pause_s: float) -> None:
    """Pause a process for `pause_s` seconds."""
    fleet.pause(name)
    await asyncio.sleep(pause_s)
    fleet.resume(name)


@contextlib.asynccontextmanager
async def running(fleet: Fleet) -> AsyncIterator[aiohttp.ClientSession]:
    """Run a fleet with an applied configuration; yield an HTTP session for its callers."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        try:
            fleet.start_all()
            applied = await asyncio.to_thread(fleet.apply, configuration_text())
            assert applied.returncode == 0, applied.stdout + applied.stderr
            await fleet.wait_until_ready(session)
            yield session
        finally:
            fleet.close()


@contextlib.asynccontextmanager
async def forwarded(fleet: Fleet, *listeners: str) -> AsyncIterator[list[Forwarder]]:
    """Route connections of other processes to these listeners through forwarders."""
    async with contextlib.AsyncExitStack() as stack:
        links = []
        for name in listeners:
            target = name.rpartition(":")[2]
            link = Forwarder(fleet.addresses[target])
            await link.open()
            stack.push_async_callback(link.close)
            fleet.address_overrides[name] = link.address
            links.append(link)
        yield links
