"""Many small stand-ins in one process: agents, entries and watchers with real sockets.

The options come as JSON. It prints `ready`, runs until its input ends, then prints its counts.
"""

import asyncio
import sys
import time
from collections.abc import Callable

import msgspec
import uvloop
from msgspec import Struct, field, structs

from lycheefall._control.client import new_client, run_client
from lycheefall._core.enums import MemberState, UpstreamKind
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Incarnation,
    InstanceId,
    PoolId,
    UpstreamId,
)
from lycheefall._core.messages.control import Changes
from lycheefall._core.messages.dispatch import Ping, Pong
from lycheefall._core.messages.membership import EntryMember, Load, UpstreamMember
from lycheefall._wire.announcer import HEARTBEAT_PERIOD_S, Announcer
from lycheefall._wire.codec import decode_to_agent, encode
from lycheefall._wire.zmq_sockets import DealerSocket, RouterSocket
from processes.scaffold import free_addresses


class Options(Struct, frozen=True):
    """How many stand-ins of each kind, and whom they reach."""

    name: str = "crowd"
    agents: int = 0
    entries: int = 0
    announce_to: tuple[Address, ...] = ()
    # Agents report another load in each heartbeat.
    load_changes: bool = False
    # Stand-ins of the link of an entry, each to this agent.
    pingers: int = 0
    ping: Address = Address("")
    watchers: int = 0
    watch: tuple[Address, ...] = ()


class Counts(Struct):
    """What the stand-ins saw; bytes are those of the first watcher."""

    bytes_in: int = 0
    answers: int = 0
    # For each revision the watchers that hold it, and when the last one got it.
    holders: dict[int, int] = field(default_factory=dict)
    last_s: dict[int, float] = field(default_factory=dict)


def main() -> None:
    """Run until the input ends."""
    uvloop.run(run(msgspec.json.decode(sys.argv[1], type=Options)))


async def run(options: Options) -> None:
    """Run the stand-ins until the input ends, then print what they saw."""
    counts = Counts()
    kept: list[DealerSocket | RouterSocket] = [*_pingers(options)]
    work = [_agent(options, number, kept) for number in range(options.agents)]
    work += [_entry(options, number, kept) for number in range(options.entries)]
    work += [
        run_client(new_client(), options.watch, _watcher(counts, number == 0))
        for number in range(options.watchers)
    ]
    tasks = [asyncio.ensure_future(each) for each in work]
    tasks.append(asyncio.ensure_future(_beat(kept)))
    await asyncio.sleep(0.5)
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(msgspec.json.encode(counts).decode(), flush=True)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _pingers(options: Options) -> list[DealerSocket]:
    return [DealerSocket(options.ping, lambda payload: None) for _ in range(options.pingers)]


async def _beat(ends: list[DealerSocket | RouterSocket]) -> None:
    sequence = 0
    while True:
        sequence += 1
        payload = encode(Ping(sequence))
        for end in ends:
            if isinstance(end, DealerSocket):
                end.send(payload)
        await asyncio.sleep(HEARTBEAT_PERIOD_S)


async def _agent(options: Options, number: int, kept: list[DealerSocket | RouterSocket]) -> None:
    (address,) = free_addresses(1)
    name = f"{options.name}-{number}"
    incarnation = Incarnation(f"{number:016x}")
    member = UpstreamMember(
        UpstreamId(name),
        InstanceId(f"host-{name}"),
        DataCentreId("cork-a"),
        PoolId("assistant-pool"),
        UpstreamKind.ENGINE,
        address,
        incarnation,
        MemberState.READY,
        16,
    )

    def answer(peer: bytes, payload: bytes) -> None:
        message = decode_to_agent(payload)
        if isinstance(message, Ping):
            pong = Pong(message.sequence, incarnation, MemberState.READY, Load())
            router.send(peer, encode(pong))

    router = RouterSocket(address, answer)
    kept.append(router)
    await _announce(options, member)


async def _entry(options: Options, number: int, kept: list[DealerSocket | RouterSocket]) -> None:
    (address,) = free_addresses(1)
    kept.append(RouterSocket(address, lambda peer, payload: None))
    instance = InstanceId(f"{options.name}-{number}")
    member = EntryMember(
        instance,
        DataCentreId("cork-a"),
        Address("127.0.0.1:1"),
        address,
        Incarnation(f"{number:016x}"),
        MemberState.READY,
    )
    await _announce(options, member)


async def _announce(options: Options, member: UpstreamMember | EntryMember) -> None:
    announcer = Announcer()
    announcer.set_member(member)
    announcer.set_addresses(set(options.announce_to))
    beats = asyncio.ensure_future(announcer.run())
    try:
        turn = 0
        while options.load_changes and isinstance(member, UpstreamMember):
            turn += 1
            announcer.set_member(structs.replace(member, load=Load(turn % 16, turn % 5, turn * 7)))
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
        await beats
    finally:
        beats.cancel()


def _watcher(counts: Counts, counted: bool) -> Callable[[Changes], bool]:
    def watch(changes: Changes) -> bool:
        if counted:
            counts.answers += 1
            counts.bytes_in += len(encode(changes))
        if changes.configuration is not None:
            revision = int(changes.configuration.revision)
            counts.holders[revision] = counts.holders.get(revision, 0) + 1
            counts.last_s[revision] = time.monotonic()
        return True

    return watch


if __name__ == "__main__":
    main()
