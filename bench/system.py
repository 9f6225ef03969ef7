"""Start control replicas, entries, agents and simulated peers as separate processes."""

import contextlib
import json
import subprocess
from collections.abc import Iterator
from pathlib import Path

import msgspec

from bench.peer_simulator import Counts
from bench.slopes import kill_process, start_module
from lycheefall._core.ids import NO_REVISION, Address, Revision
from lycheefall._core.messages.control import ApplyFile, FileResult
from lycheefall._operate.configuration_file import digest_of
from processes.control_harness import client_of, free_addresses
from processes.fleet import configuration_text

PROPOSE_TIMEOUT_S = 15.0


@contextlib.contextmanager
def replicas(folder: Path, count: int) -> Iterator[list[tuple[subprocess.Popen[bytes], Address]]]:
    """Run control replicas and yield each process with its client address."""
    addresses = free_addresses(2 * count)
    clients, peers = addresses[:count], addresses[count:]
    voters = ",".join(f"c-{n}={peers[n]}/{clients[n]}" for n in range(count))
    started = []
    try:
        for number in range(count):
            flags = ["control", "--instance", f"c-{number}", "--data-centre", "cork-a"]
            flags += ["--listen", clients[number], "--peer-listen", peers[number]]
            flags += ["--voters", voters, "--data-folder", str(folder / f"c-{number}")]
            started.append(
                (start_module("lycheefall", *flags, "--log-level", "error"), clients[number])
            )
        yield started
    finally:
        for process, _ in started:
            kill_process(process)


@contextlib.contextmanager
def peer_simulator(**options: object) -> Iterator[subprocess.Popen[bytes]]:
    """Run bench.peer_simulator as a process with these options; `stop_simulator` ends it early."""
    process = start_module("bench.peer_simulator", json.dumps(options))
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        yield process
    finally:
        kill_process(process)


def stop_simulator(process: subprocess.Popen[bytes]) -> Counts:
    """Close the input of a peer simulator and return the counts that it prints."""
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.close()
    line = process.stdout.readline()
    process.stdin = None
    return msgspec.json.decode(line, type=Counts)


@contextlib.contextmanager
def entry(control: Address) -> Iterator[tuple[subprocess.Popen[bytes], Address]]:
    """Run an entry and yield its process and the address that receives announcements."""
    listen, announce = free_addresses(2)
    flags = ["entry", "--instance", "entry-0", "--data-centre", "cork-a", "--control", control]
    flags += ["--listen", listen, "--announce-listen", announce, "--log-level", "error"]
    process = start_module("lycheefall", *flags)
    try:
        yield process, announce
    finally:
        kill_process(process)


@contextlib.contextmanager
def agent(control: Address, upstream: Address) -> Iterator[tuple[subprocess.Popen[bytes], Address]]:
    """Run an agent and yield its process and the address that entries connect to."""
    (listen,) = free_addresses(1)
    flags = ["agent", "--instance", "host-a", "--data-centre", "cork-a", "--upstream", "u-0"]
    flags += ["--pool", "counter-app", "--kind", "service", "--upstream-address", upstream]
    flags += ["--listen", listen, "--control", control, "--log-level", "error"]
    process = start_module("lycheefall", *flags)
    try:
        yield process, listen
    finally:
        kill_process(process)


async def apply_teams(
    addresses: tuple[Address, ...], replaces: Revision = NO_REVISION, teams: int = 570
) -> None:
    """Apply a configuration file with this many teams."""
    text = configuration_text(replaces, teams)
    async with client_of(addresses) as client:
        result = await client.propose(ApplyFile(replaces, digest_of(text), text), PROPOSE_TIMEOUT_S)
    assert isinstance(result, FileResult) and result.revision == replaces + 1, result
