"""Starts control replicas, entries and agents as processes for the benches of capacity."""

import contextlib
import json
import subprocess
from collections.abc import Iterator
from pathlib import Path

import msgspec

from bench.crowd import Counts
from bench.slopes import end, start
from lycheefall._core.ids import NO_REVISION, Address, Revision
from lycheefall._core.messages.control import ApplyFile, FileResult
from lycheefall._operate.configuration_file import digest_of
from processes.fleet import configuration_text
from processes.scaffold import client_of, free_addresses

PROPOSE_S = 15.0


@contextlib.contextmanager
def replicas(folder: Path, count: int) -> Iterator[list[tuple[subprocess.Popen[bytes], Address]]]:
    """Run control replicas with the addresses at which they are asked."""
    ports = free_addresses(2 * count)
    clients, peers = ports[:count], ports[count:]
    voters = ",".join(f"c-{n}={peers[n]}/{clients[n]}" for n in range(count))
    running = []
    try:
        for number in range(count):
            flags = ["control", "--instance", f"c-{number}", "--data-centre", "cork-a"]
            flags += ["--listen", clients[number], "--peer-listen", peers[number]]
            flags += ["--voters", voters, "--data-folder", str(folder / f"c-{number}")]
            running.append((start("lycheefall", *flags, "--log-level", "error"), clients[number]))
        yield running
    finally:
        for process, _ in running:
            end(process)


@contextlib.contextmanager
def crowd(**options: object) -> Iterator[subprocess.Popen[bytes]]:
    """Run a process of stand-ins; `counts_of` ends it early."""
    process = start("bench.crowd", json.dumps(options))
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        yield process
    finally:
        end(process)


def counts_of(process: subprocess.Popen[bytes]) -> Counts:
    """End the input of a process of stand-ins and return its counts."""
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.close()
    line = process.stdout.readline()
    process.stdin = None
    return msgspec.json.decode(line, type=Counts)


@contextlib.contextmanager
def entry(control: Address) -> Iterator[tuple[subprocess.Popen[bytes], Address]]:
    """Run an entry, with the address at which it hears announcements."""
    listen, announce = free_addresses(2)
    flags = ["entry", "--instance", "entry-0", "--data-centre", "cork-a", "--control", control]
    flags += ["--listen", listen, "--announce-listen", announce, "--log-level", "error"]
    process = start("lycheefall", *flags)
    try:
        yield process, announce
    finally:
        end(process)


@contextlib.contextmanager
def agent(control: Address, upstream: Address) -> Iterator[tuple[subprocess.Popen[bytes], Address]]:
    """Run an agent, with the address at which entries reach it."""
    (listen,) = free_addresses(1)
    flags = ["agent", "--instance", "host-a", "--data-centre", "cork-a", "--upstream", "u-0"]
    flags += ["--pool", "counter-app", "--kind", "service", "--upstream-address", upstream]
    flags += ["--listen", listen, "--control", control, "--log-level", "error"]
    process = start("lycheefall", *flags)
    try:
        yield process, listen
    finally:
        end(process)


async def apply_teams(
    addresses: tuple[Address, ...], replaces: Revision = NO_REVISION, teams: int = 570
) -> None:
    """Have control accept a file with this many teams."""
    text = configuration_text(replaces, teams)
    async with client_of(addresses) as client:
        result = await client.propose(ApplyFile(replaces, digest_of(text), text), PROPOSE_S)
    assert isinstance(result, FileResult) and result.revision == replaces + 1, result
