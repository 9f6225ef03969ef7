"""Processes of a group of ranks, with fake runtimes, and checks of the steps that they ran."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import Address
from lycheefall._fakes.forwarder import Forwarder
from processes.control_harness import TESTS, Cluster, free_addresses

RANKS = 4
EXPERTS = 16
LOG_POLL_INTERVAL_S = 0.001
# Lines of each log in the message of a wait that fails.
LOG_LINES_SHOWN = 30
# The rank that is connected to control through forwarders.
FORWARDED_RANK = 1
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
class StepRecord:
    """A step that a rank entered, from the output of its runtime."""

    step: int
    rank: int
    epoch: int
    # Digest of the expert map.
    digest: str
    # Number of the rank's experts whose weights were not loaded.
    missing: int


@dataclass
class RankGroup:
    """The processes of a group of ranks."""

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
        """Start the process with this name, such as `agent-0`."""
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
            "control": ",".join(self._control_addresses(int(rank))),
            "group": GROUP,
            "rank": rank,
            "rank-listen": self.addresses[f"steps-{rank}"],
        }
        return ["lycheefall", "agent", *_as_flags(flags)]

    def _control_addresses(self, rank: int) -> list[Address]:
        if rank != FORWARDED_RANK or not self.links:
            return list(self.control)
        return [link.address for link in self.links if link.address is not None]

    async def open_links(self) -> None:
        """Open the forwarders between the agent of FORWARDED_RANK and control."""
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
        """Kill a process with SIGKILL and wait for its exit."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Kill all processes."""
        for name in list(self.processes):
            self.kill(name)

    def read_steps(self, rank: int) -> list[StepRecord]:
        """Return the steps that a rank entered, from its complete lines."""
        path = self.folder / f"steps-{rank}"
        text = path.read_text() if path.exists() else ""
        complete = text[: text.rfind("\n") + 1]
        return [_parse_record(line) for line in complete.splitlines()]

    def entered_steps(self) -> int:
        """Return the number of steps that every rank has entered."""
        return min(len(self.read_steps(rank)) for rank in range(RANKS))

    def describe(self) -> str:
        """Return what shows whether ranks wait for control, for a rank or for the processor.

        It has the last step of each rank, the end of each log, and the load of the machine. A log
        has `group_lease_lost` and `group_lease_acquired` of each coordinator.
        """
        lines = [f"load averages {os.getloadavg()} on {os.cpu_count()} cores"]
        for rank in range(RANKS):
            history = self.read_steps(rank)
            lines.append(f"rank {rank}: {history[-1] if history else 'no step'}")
        for path in sorted(self.folder.glob("*.log")):
            age_s = time.time() - path.stat().st_mtime
            lines.append(f"{path.name}, written {age_s:.1f} s ago:")
            lines += path.read_text(errors="replace").splitlines()[-LOG_LINES_SHOWN:]
        return "\n".join(lines)

    def epoch(self) -> int:
        """Return the lowest epoch with which any rank entered its last step."""
        histories = [self.read_steps(rank) for rank in range(RANKS)]
        return min(history[-1].epoch if history else 0 for history in histories)


def find_violations(histories: list[list[StepRecord]]) -> list[str]:
    """Return a description of each violation in the steps of a group."""
    violations: list[str] = []
    first_records: dict[int, StepRecord] = {}
    for rank, history in enumerate(histories):
        if [record.step for record in history] != list(range(len(history))):
            violations.append(f"rank {rank} skipped a step or ran one twice")
        for record in history:
            first = first_records.setdefault(record.step, record)
            if record.digest != first.digest:
                violations.append(
                    f"step {record.step}: rank {first.rank} has epoch {first.epoch}, "
                    f"rank {rank} has epoch {record.epoch}"
                )
            if record.missing:
                violations.append(f"step {record.step}: rank {rank} lacks {record.missing} experts")
    return violations


def find_coordinator(cluster: Cluster) -> str:
    """Return the replica that logged the latest expert placement."""
    latest = {
        name: _latest_placement_time(cluster.folder / f"{name}.log") for name in cluster.processes
    }
    return max(latest, key=lambda name: latest[name])


async def wait_for_prepared_map(cluster: Cluster) -> str:
    """Wait until a coordinator logs that a map is prepared, and return its replica.

    The map is then being committed, and no rank has received the commit.
    """
    logs = {name: cluster.folder / f"{name}.log" for name in cluster.processes}
    sizes = {name: path.stat().st_size for name, path in logs.items()}
    while True:
        await asyncio.sleep(LOG_POLL_INTERVAL_S)
        for name, path in logs.items():
            with path.open("rb") as log:
                log.seek(sizes[name])
                added = log.read()
            sizes[name] += len(added)
            if b'"epoch_prepared"' in added:
                return name


def _latest_placement_time(log: Path) -> str:
    lines = [line for line in log.read_text().splitlines() if '"experts_placed"' in line]
    return str(json.loads(lines[-1])["timestamp"]) if lines else ""


def _parse_record(line: str) -> StepRecord:
    step, rank, epoch, digest, missing = line.split()
    return StepRecord(int(step), int(rank), int(epoch), digest, int(missing))


def _as_flags(flags: dict[str, str]) -> list[str]:
    return [part for name, value in flags.items() for part in (f"--{name}", value)]
