"""Measure the cost of announcements and links for an entry and an agent, without requests.

Run: PYTHONPATH=src:tests:. python -m bench.link_slopes
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from bench.slopes import Point, cpu_usage, kill_process, print_fit, resident_mb, start_module
from bench.system import agent, apply_teams, entry, peer_simulator, replicas
from lycheefall._core.ids import Address
from lycheefall._core.messages.entry import Tick, ToDispatch
from lycheefall._core.messages.membership import Announce
from lycheefall._core.pipeline import Inbox, run_actor, tick
from lycheefall._entry.service import TICK_PERIOD_S
from lycheefall._entry.upstreams import UPSTREAM_TIMEOUT_S, announce_receiver, step_upstreams
from lycheefall._rules import membership
from lycheefall._wire.zmq_sockets import RouterSocket
from processes.control_harness import free_addresses

AGENTS = (25, 50, 100, 200)
ENTRIES = (0, 25, 50, 100)
WINDOW_S = 2.0
# Links open within the first second.
SETTLE_S = 3.0
INBOX_MESSAGES = 10_000


def main() -> None:
    """Print points and slopes, or receive announcements at the address in the first argument."""
    if len(sys.argv) > 1:
        uvloop.run(receive_announcements(Address(sys.argv[1])))
        return
    measure_announcements()
    measure_entry_links()
    measure_agent_links()


async def receive_announcements(address: Address) -> None:
    """Run the announcement receiver and the membership filter of an entry, and nothing else."""
    inbox: Inbox[Announce | Tick] = Inbox(INBOX_MESSAGES)
    router = RouterSocket(address, announce_receiver(inbox.offer))
    try:
        await asyncio.gather(
            run_actor(inbox, membership.initial(UPSTREAM_TIMEOUT_S), step_upstreams, _discard),
            tick(inbox, Tick(), TICK_PERIOD_S),
        )
    finally:
        router.close()


def _discard(message: ToDispatch) -> None:
    """Discard the output of the membership filter."""


def measure_announcements() -> None:
    """Measure the filters that receive announcements."""
    cores, memory = [], []
    for count in AGENTS:
        (address,) = free_addresses(1)
        process = start_module("bench.link_slopes", address)
        try:
            with peer_simulator(agents=count, announce_to=[address], load_changes=True):
                time.sleep(SETTLE_S)
                cores.append(Point(count, cpu_usage([process.pid], WINDOW_S)[0]))
                memory.append(Point(count, (resident_mb(process.pid),)))
        finally:
            kill_process(process)
    print_fit("filters of an entry that receive announcements (4/s each)", "agents", "core", cores)
    print_fit("memory of these filters", "agents", "MB", memory)


def measure_entry_links() -> None:
    """Measure an entry with a link to each agent; no agent announces itself to control."""
    cores, memory = [], []
    for count in AGENTS:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            address = running[0][1]
            uvloop.run(apply_teams((address,)))
            with entry(address) as (process, announce):
                time.sleep(1.0)
                with peer_simulator(agents=count, announce_to=[announce], load_changes=True):
                    time.sleep(SETTLE_S)
                    cores.append(Point(count, cpu_usage([process.pid], WINDOW_S)[0]))
                    memory.append(Point(count, (resident_mb(process.pid),)))
    print_fit("entry with a link to each agent, announcements included", "agents", "core", cores)
    print_fit("memory of this entry", "agents", "MB", memory)


def measure_agent_links() -> None:
    """Measure an agent that announces itself to each entry and answers its pings."""
    cores, memory = [], []
    for count in ENTRIES:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            address = running[0][1]
            uvloop.run(apply_teams((address,)))
            (upstream,) = free_addresses(1)
            fake = start_module("lycheefall._fakes.service", "--listen", upstream)
            try:
                _measure_agent(count, address, upstream, cores, memory)
            finally:
                kill_process(fake)
    print_fit("agent, announcing to and pinged by each entry", "entries", "core", cores)
    print_fit("memory of this agent", "entries", "MB", memory)


def _measure_agent(
    count: int, control: Address, upstream: Address, cores: list[Point], memory: list[Point]
) -> None:
    with agent(control, upstream) as (process, listen):
        simulated_entries = {"entries": count, "announce_to": [control]}
        with peer_simulator(**simulated_entries, pingers=count, ping=listen):
            time.sleep(SETTLE_S)
            cores.append(Point(count, cpu_usage([process.pid], WINDOW_S)[0]))
            memory.append(Point(count, (resident_mb(process.pid),)))


if __name__ == "__main__":
    main()
