"""Simulate many agents, entries and watchers in one process, with real sockets.

`peer_simulator` in bench/system.py starts it. The first argument is `Options` as JSON. The process
prints `ready`, runs until its standard input is closed and then prints `Counts` as JSON.
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
from processes.control_harness import free_addresses


class Options(Struct, frozen=True):
    """Set the number of simulated peers of each kind and the addresses that they connect to."""

    # Prefix of the ids of the simulated peers.
    name: str = "peers"
    agents: int = 0
    entries: int = 0
    announce_to: tuple[Address, ...] = ()
    # Agents report a different load in each heartbeat.
    load_changes: bool = False
    # Number of simulated entry links to the agent at `ping`.
    pingers: int = 0
    ping: Address = Address("")
    watchers: int = 0
    watch: tuple[Address, ...] = ()


class Counts(Struct):
    """Count what the watchers received; `bytes_in` and `answers` are those of the first watcher."""

    bytes_in: int = 0
    answers: int = 0
    # For each revision, the number of watchers that received it and the time of the last receipt.
    holders: dict[int, int] = field(default_factory=dict)
    last_s: dict[int, float] = field(default_factory=dict)


def main() -> None:
    """Run until standard input is closed."""
    uvloop.run(run(msgspec.json.decode(sys.argv[1], type=Options)))


async def run(options: Options) -> None:
    """Run the simulated peers until standard input is closed, then print their counts."""
    counts = Counts()
    sockets: list[DealerSocket | RouterSocket] = [*_pingers(options)]
    coroutines = [_simulate_agent(options, number, sockets) for number in range(options.agents)]
    coroutines += [_simulate_entry(options, number, sockets) for number in range(options.entries)]
    coroutines += [
        run_client(new_client(), options.watch, _make_watcher(counts, number == 0))
        for number in range(options.watchers)
    ]
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    tasks.append(asyncio.ensure_future(_send_pings(sockets)))
    await asyncio.sleep(0.5)
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(msgspec.json.encode(counts).decode(), flush=True)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _pingers(options: Options) -> list[DealerSocket]:
    return [DealerSocket(options.ping, lambda payload: None) for _ in range(options.pingers)]


async def _send_pings(sockets: list[DealerSocket | RouterSocket]) -> None:
    sequence = 0
    while True:
        sequence += 1
        payload = encode(Ping(sequence))
        for socket in sockets:
            if isinstance(socket, DealerSocket):
                socket.send(payload)
        await asyncio.sleep(HEARTBEAT_PERIOD_S)


async def _simulate_agent(
    options: Options, number: int, sockets: list[DealerSocket | RouterSocket]
) -> None:
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

    def answer_ping(peer: bytes, payload: bytes) -> None:
        message = decode_to_agent(payload)
        if isinstance(message, Ping):
            pong = Pong(message.sequence, incarnation, MemberState.READY, Load())
            router.send(peer, encode(pong))

    router = RouterSocket(address, answer_ping)
    sockets.append(router)
    await _announce(options, member)


async def _simulate_entry(
    options: Options, number: int, sockets: list[DealerSocket | RouterSocket]
) -> None:
    (address,) = free_addresses(1)
    sockets.append(RouterSocket(address, lambda peer, payload: None))
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
    heartbeats = asyncio.ensure_future(announcer.run())
    try:
        update = 0
        while options.load_changes and isinstance(member, UpstreamMember):
            update += 1
            announcer.set_member(
                structs.replace(member, load=Load(update % 16, update % 5, update * 7))
            )
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
        await heartbeats
    finally:
        heartbeats.cancel()


def _make_watcher(counts: Counts, count_answers: bool) -> Callable[[Changes], bool]:
    def record_changes(changes: Changes) -> bool:
        if count_answers:
            counts.answers += 1
            counts.bytes_in += len(encode(changes))
        if changes.configuration is not None:
            revision = int(changes.configuration.revision)
            counts.holders[revision] = counts.holders.get(revision, 0) + 1
            counts.last_s[revision] = time.monotonic()
        return True

    return record_changes


if __name__ == "__main__":
    main()
