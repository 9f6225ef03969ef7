"""Starts the agents and the fake runtimes of a group of ranks, and checks the steps they ran."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import Address
from lycheefall._fakes.forwarder import Forwarder
from processes.scaffold import TESTS, Cluster, free_addresses

RANKS = 4
EXPERTS = 16
PREPARED_POLL_S = 0.001
# The rank whose connections to control are forwarders.
FAR_RANK = 1
GROUP = "assistant-pool/0"
CONFIGURATION = """
replaces = 0

[[pools]]
name = "assistant-pool"
kind = "engine"

[[groups]]
name = "{group}"
pool = "assistant-pool"
ranks = {ranks}
experts = {experts}
slots_per_rank = 6
expert_bytes = 1000
fence = "{fence}"
"""


def configuration_text(fence: FenceMode) -> str:
    """Return a configuration file with one group."""
    return CONFIGURATION.format(group=GROUP, ranks=RANKS, experts=EXPERTS, fence=fence.value)


@dataclass(frozen=True)
class Entered:
    """A line that the runtime of a rank wrote."""

    step: int
    rank: int
    epoch: int
    digest: str
    missing: int


@dataclass
class RankGroup:
    """The processes of a group."""

    folder: Path
    control: tuple[Address, ...]
    fence: FenceMode
    seed: int
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    links: list[Forwarder] = field(default_factory=list)

    def start_all(self) -> None:
        """Start the runtime and the agent of every rank."""
        kinds = ("runtime", "agent", "steps")
        names = [f"{kind}-{rank}" for kind in kinds for rank in range(RANKS)]
        self.addresses = dict(zip(names, free_addresses(len(names)), strict=True))
        for rank in range(RANKS):
            self.start(f"runtime-{rank}")
            self.start(f"agent-{rank}")

    def start(self, name: str) -> None:
        """Start one process."""
        kind, _, rank = name.partition("-")
        command = self._agent(rank) if kind == "agent" else self._runtime(rank)
        environment = os.environ | {"PYTHONPATH": str(TESTS.parent / "src")}
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *command], env=environment, stdout=output, stderr=output
            )

    def _agent(self, rank: str) -> list[str]:
        flags = {
            "instance": f"host-{rank}",
            "data-centre": "cork-a",
            "upstream": f"rank-{rank}",
            "pool": "assistant-pool",
            "kind": "engine",
            "upstream-address": self.addresses[f"runtime-{rank}"],
            "listen": self.addresses[f"agent-{rank}"],
            "control": ",".join(self._control_of(int(rank))),
            "group": GROUP,
            "rank": rank,
            "rank-listen": self.addresses[f"steps-{rank}"],
        }
        return ["lycheefall", "agent", *_as_flags(flags)]

    def _control_of(self, rank: int) -> list[Address]:
        if rank != FAR_RANK or not self.links:
            return list(self.control)
        return [link.address for link in self.links if link.address is not None]

    async def open_links(self) -> None:
        """Open the forwarders between the agent of the far rank and control."""
        self.links = [Forwarder(address) for address in self.control]
        for link in self.links:
            await link.open()

    async def close_links(self) -> None:
        """Close the forwarders."""
        for link in self.links:
            await link.close()

    def _runtime(self, rank: str) -> list[str]:
        flags = {
            "listen": self.addresses[f"runtime-{rank}"],
            "rank": rank,
            "ranks": str(RANKS),
            "experts": str(EXPERTS),
            "agent": self.addresses[f"steps-{rank}"],
            "meeting": self.addresses["runtime-0"],
            "steps-file": str(self.folder / f"steps-{rank}"),
            "fence": self.fence.name,
            "seed": str(self.seed),
            "step-s": "0.002",
            "day-s": "6",
        }
        return ["lycheefall._fakes.rank_runtime", *_as_flags(flags)]

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Stop a process without ending it."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a stopped process continue."""
        self.processes[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """End all processes."""
        for name in list(self.processes):
            self.kill(name)

    def steps_of(self, rank: int) -> list[Entered]:
        """Return the steps that a rank entered."""
        path = self.folder / f"steps-{rank}"
        text = path.read_text() if path.exists() else ""
        whole = text[: text.rfind("\n") + 1]
        return [_entered(line) for line in whole.splitlines()]

    def reached(self) -> int:
        """Return the number of steps that every rank has entered."""
        return min(len(self.steps_of(rank)) for rank in range(RANKS))

    def epoch(self) -> int:
        """Return the lowest epoch that a rank entered its last step with."""
        histories = [self.steps_of(rank) for rank in range(RANKS)]
        return min(each[-1].epoch if each else 0 for each in histories)


def faults_of(histories: list[list[Entered]]) -> list[str]:
    """Return what is wrong with the steps of a group."""
    found: list[str] = []
    maps: dict[int, Entered] = {}
    for rank, history in enumerate(histories):
        if [each.step for each in history] != list(range(len(history))):
            found.append(f"rank {rank} left out a step or ran one twice")
        for each in history:
            first = maps.setdefault(each.step, each)
            if each.digest != first.digest:
                found.append(
                    f"step {each.step}: rank {first.rank} has epoch {first.epoch}, "
                    f"rank {rank} has epoch {each.epoch}"
                )
            if each.missing:
                found.append(f"step {each.step}: rank {rank} lacks {each.missing} experts")
    return found


def coordinator_of(cluster: Cluster) -> str:
    """Return the replica that wrote the latest line about the placement of experts."""
    latest = {name: _latest_placed(cluster.folder / f"{name}.log") for name in cluster.processes}
    return max(latest, key=lambda name: latest[name])


async def next_prepared(cluster: Cluster) -> str:
    """Wait until a coordinator writes that a map is prepared, and return its replica.

    Its commit is then on the way, and no rank has heard of it.
    """
    logs = {name: cluster.folder / f"{name}.log" for name in cluster.processes}
    sizes = {name: path.stat().st_size for name, path in logs.items()}
    while True:
        await asyncio.sleep(PREPARED_POLL_S)
        for name, path in logs.items():
            with path.open("rb") as log:
                log.seek(sizes[name])
                added = log.read()
            sizes[name] += len(added)
            if b'"epoch_prepared"' in added:
                return name


def _latest_placed(log: Path) -> str:
    lines = [line for line in log.read_text().splitlines() if '"experts_placed"' in line]
    return str(json.loads(lines[-1])["timestamp"]) if lines else ""


def _entered(line: str) -> Entered:
    step, rank, epoch, digest, missing = line.split()
    return Entered(int(step), int(rank), int(epoch), digest, int(missing))


def _as_flags(flags: dict[str, str]) -> list[str]:
    return [part for name, value in flags.items() for part in (f"--{name}", value)]
