"""Cost of announcements and of links to an entry and to an agent, without requests.

Run: PYTHONPATH=src:tests:. python -m bench.link_slopes
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from bench.slopes import Point, end, resident_mb, shares, show, start
from bench.system import agent, apply_teams, crowd, entry, replicas
from lycheefall._core.ids import Address
from lycheefall._core.messages.entry import Tick, ToDispatch
from lycheefall._core.messages.membership import Announce
from lycheefall._core.pipeline import Inbox, run_actor, tick
from lycheefall._entry.service import TICK_PERIOD_S
from lycheefall._entry.upstreams import UPSTREAM_TIMEOUT_S, announce_receiver, step_upstreams
from lycheefall._rules import membership
from lycheefall._wire.zmq_sockets import RouterSocket
from processes.scaffold import free_addresses

AGENTS = (25, 50, 100, 200)
ENTRIES = (0, 25, 50, 100)
WINDOW_S = 2.0
# Links open within the first second.
SETTLE_S = 3.0
INBOX_MESSAGES = 10_000


def main() -> None:
    """Print points and slopes, or hear announcements at the address of the first argument."""
    if len(sys.argv) > 1:
        uvloop.run(hear(Address(sys.argv[1])))
        return
    hearing()
    entry_links()
    agent_links()


async def hear(address: Address) -> None:
    """Run the filters of an entry that hear announcements, and no other."""
    inbox: Inbox[Announce | Tick] = Inbox(INBOX_MESSAGES)
    end_of_socket = RouterSocket(address, announce_receiver(inbox.offer))
    try:
        await asyncio.gather(
            run_actor(inbox, membership.initial(UPSTREAM_TIMEOUT_S), step_upstreams, _ignore),
            tick(inbox, Tick(), TICK_PERIOD_S),
        )
    finally:
        end_of_socket.close()


def _ignore(message: ToDispatch) -> None:
    """Drop what the table of upstreams emits."""


def hearing() -> None:
    """Measure the filters that hear announcements."""
    cores, memory = [], []
    for count in AGENTS:
        (address,) = free_addresses(1)
        process = start("bench.link_slopes", address)
        try:
            with crowd(agents=count, announce_to=[address], load_changes=True):
                time.sleep(SETTLE_S)
                cores.append(Point(count, shares([process.pid], WINDOW_S)[0]))
                memory.append(Point(count, (resident_mb(process.pid),)))
        finally:
            end(process)
    show("filters of an entry that hear announcements (4/s each)", "agents", "core", cores)
    show("memory of these filters", "agents", "MB", memory)


def entry_links() -> None:
    """Measure an entry that hears agents and holds a link to each; control knows no agent."""
    cores, memory = [], []
    for count in AGENTS:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            address = running[0][1]
            uvloop.run(apply_teams((address,)))
            with entry(address) as (process, announce):
                time.sleep(1.0)
                with crowd(agents=count, announce_to=[announce], load_changes=True):
                    time.sleep(SETTLE_S)
                    cores.append(Point(count, shares([process.pid], WINDOW_S)[0]))
                    memory.append(Point(count, (resident_mb(process.pid),)))
    show("entry with a link to each agent, announcements included", "agents", "core", cores)
    show("memory of this entry", "agents", "MB", memory)


def agent_links() -> None:
    """Measure an agent that announces itself to each entry and answers its pings."""
    cores, memory = [], []
    for count in ENTRIES:
        with tempfile.TemporaryDirectory() as folder, replicas(Path(folder), 1) as running:
            address = running[0][1]
            uvloop.run(apply_teams((address,)))
            (upstream,) = free_addresses(1)
            fake = start("lycheefall._fakes.service", "--listen", upstream)
            try:
                _agent_at(count, address, upstream, cores, memory)
            finally:
                end(fake)
    show("agent, announcing to and pinged by each entry", "entries", "core", cores)
    show("memory of this agent", "entries", "MB", memory)


def _agent_at(
    count: int, control: Address, upstream: Address, cores: list[Point], memory: list[Point]
) -> None:
    with agent(control, upstream) as (process, listen):
        announcing = {"entries": count, "announce_to": [control]}
        with crowd(**announcing, pingers=count, ping=listen):
            time.sleep(SETTLE_S)
            cores.append(Point(count, shares([process.pid], WINDOW_S)[0]))
            memory.append(Point(count, (resident_mb(process.pid),)))


if __name__ == "__main__":
    main()
