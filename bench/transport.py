"""Compare the round trips per second of three transports between two processes.

Run: PYTHONPATH=src:tests:. python -m bench.transport
One client and one server process, 64 requests in flight, bodies of 300 bytes. The transport
`descriptor` is that of lycheefall: the event loop watches the file descriptor of a ZeroMQ socket.
"""

import asyncio
import statistics
import sys
import time
from collections.abc import Awaitable, Callable

import aiohttp
import uvloop
import zmq
import zmq.asyncio
from aiohttp import web

from bench.slopes import ROUNDS, cpu_time_s, kill_process, start_module
from lycheefall._core.ids import Address
from lycheefall._wire.zmq_sockets import DealerSocket, RouterSocket
from processes.control_harness import free_addresses

IN_FLIGHT = 64
BODY = b"x" * 300
LOAD_S = 2.0

Client = Callable[[Address, float], Awaitable[int]]


def main() -> None:
    """Print a row for each transport, or run the server of the transport in the arguments."""
    if len(sys.argv) > 1:
        uvloop.run(SERVERS[sys.argv[1]](Address(sys.argv[2])))
        return
    print("transport, round trips/s (median of rounds), server CPU us per round trip")
    rounds: dict[str, list[tuple[float, float]]] = {transport: [] for transport in SERVERS}
    # Rounds alternate between the transports, so that other load on the machine affects all alike.
    for _ in range(ROUNDS):
        for transport in SERVERS:
            rounds[transport].append(_measure(transport))
    for transport, results in rounds.items():
        rates, cpu_costs_us = zip(*results, strict=True)
        all_rates = ", ".join(f"{rate:.0f}" for rate in rates)
        rate, cpu_us = statistics.median(rates), statistics.median(cpu_costs_us)
        print(f"{transport}: {rate:.0f} of {all_rates}; {cpu_us:.1f} us", flush=True)


def _measure(transport: str) -> tuple[float, float]:
    (address,) = free_addresses(1)
    server = start_module("bench.transport", transport, address)
    try:
        assert server.stdout is not None
        assert server.stdout.readline() == b"ready\n"
        before_s = cpu_time_s(server.pid)
        count = uvloop.run(CLIENTS[transport](address, time.perf_counter() + LOAD_S))
        return count / LOAD_S, (cpu_time_s(server.pid) - before_s) / count * 1e6
    finally:
        kill_process(server)


async def serve_http(address: Address) -> None:
    """Echo request bodies over HTTP with aiohttp."""

    async def echo(request: web.Request) -> web.Response:
        return web.Response(body=await request.read())

    application = web.Application()
    application.router.add_post("/", echo)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


async def call_http(address: Address, end_s: float) -> int:
    """Send requests with aiohttp until `end_s` and return the number of round trips."""
    counts = [0] * IN_FLIGHT
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def caller(number: int) -> None:
            while time.perf_counter() < end_s:
                async with session.post(f"http://{address}/", data=BODY) as response:
                    await response.read()
                counts[number] += 1

        await asyncio.gather(*(caller(number) for number in range(IN_FLIGHT)))
    return sum(counts)


async def serve_zmq(address: Address) -> None:
    """Echo messages with zmq.asyncio."""
    socket = zmq.asyncio.Context.instance().socket(zmq.ROUTER)
    socket.bind(f"tcp://{address}")
    print("ready", flush=True)
    while True:
        await socket.send_multipart(await socket.recv_multipart())


async def call_zmq(address: Address, end_s: float) -> int:
    """Send messages with zmq.asyncio until `end_s` and return the number of round trips."""
    context = zmq.asyncio.Context()
    socket = context.socket(zmq.DEALER)
    socket.connect(f"tcp://{address}")
    for _ in range(IN_FLIGHT):
        await socket.send(BODY)
    count = 0
    while time.perf_counter() < end_s:
        await socket.recv()
        await socket.send(BODY)
        count += 1
    context.destroy(linger=0)
    return count


async def serve_descriptor(address: Address) -> None:
    """Echo messages with the ZeroMQ sockets of lycheefall."""
    server = RouterSocket(address, lambda peer, payload: server.send(peer, payload))
    print("ready", flush=True)
    await asyncio.Event().wait()


async def call_descriptor(address: Address, end_s: float) -> int:
    """Send messages with the sockets of lycheefall until `end_s` and return the round trips."""
    count = 0

    def receive(payload: bytes) -> None:
        nonlocal count
        count += 1
        client.send(BODY)

    client = DealerSocket(address, receive)
    sent = 0
    while sent < IN_FLIGHT:
        sent += client.send(BODY)
        # A send fails until the connection is established.
        await asyncio.sleep(0.001)
    await asyncio.sleep(max(0.0, end_s - time.perf_counter()))
    client.close()
    return count


SERVERS: dict[str, Callable[[Address], Awaitable[None]]] = {
    "aiohttp": serve_http,
    "zmq.asyncio": serve_zmq,
    "descriptor": serve_descriptor,
}
CLIENTS: dict[str, Client] = {
    "aiohttp": call_http,
    "zmq.asyncio": call_zmq,
    "descriptor": call_descriptor,
}


if __name__ == "__main__":
    main()
