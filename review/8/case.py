"""A server that has left is used again after a herd kill, because an old heartbeat comes late."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BROKEN,
    DRAIN_S,
    HELD,
    LIMITS,
    STABILITY_WINDOW_S,
    TENANTS,
    ZONES,
    Received,
    Record,
    Server,
    System,
    call,
    play,
    request_headers,
    route,
    running_system,
    service,
)

# How late one heartbeat of the leaving server arrives.
LATE_S = 5.0
# Times after that heartbeat was sent: the server leaves, processes are killed, the server exits.
LEAVES_S = 1.2
KILLED_S = 2.0
EXITS_S = 14.0
# The platform starts killed processes again after this time.
DOWN_S = 0.5
# With three machines of control, 4 of 8 are killed.
ENTRIES = 5
# Twice the window, as after a fault that took most of the core.
CALM_S = 2 * STABILITY_WINDOW_S
BOOKINGS_PER_S = 3.19
LOOKUPS_PER_S = 1.5


async def late_heartbeat(system: System, server: Server) -> None:
    """Send a heartbeat through a link that holds it up, and another one when it isn't answered."""
    path = f"/-/instances/{server.id}"
    body = server.heartbeat()
    machine = random.choice(system.of("control"))
    address = system.control(machine)

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = await reader.read(65_536)
        await asyncio.sleep(LATE_S)
        _, onward = await asyncio.open_connection(machine.ip, system.port)
        onward.write(data)
        system.record.write(
            f"link: heartbeat {server.id} Sequence {server.sequence_late} reached "
            f"{machine.name} {LATE_S} s late"
        )
        await asyncio.sleep(1.0)
        onward.transport.abort()
        writer.transport.abort()

    server.sequence_late = server.sequence  # type: ignore[attr-defined]
    link = await asyncio.start_server(hold, "127.0.0.1", 0)
    link_address = f"127.0.0.1:{link.sockets[0].getsockname()[1]}"
    reply = await call(link_address, "PUT", path, {"Host": address}, body)
    system.record.write(f"server {server.id}: heartbeat to {machine.name} got no answer: {reply}")
    await server.send_heartbeat()


async def case(record: Record, has_trouble: bool) -> int:
    # Requests that reached the leaving server: time, entry and whether it was in touch.
    reached: list[tuple[float, str, bool]] = []
    sent_by: dict[str, str] = {}
    answers: dict[str, int] = {}
    tasks: list[asyncio.Task[None]] = []
    # Requests by server and entry.
    used: Counter[tuple[str, str]] = Counter()
    leaving: Server | None = None

    async with running_system(record, entries=ENTRIES) as system:

        async def handle(server: Server, received: Received) -> None:
            attempt = received.headers.get("attempt-id", "")
            entry = sent_by.get(attempt, "")
            used[server.name, entry] += 1
            if server is leaving and entry:
                now_s = record.now_s()
                is_in_touch = system.in_touch(system.machines[entry], now_s, CALM_S)
                reached.append((now_s, entry, is_in_touch))
                record.write(f"server {server.id}: runs {attempt} from {entry}")
            await asyncio.sleep(0.045)
            received.writer.write(received.answer())

        # One in each zone, as on the sheet.
        servers = [Server(system, f"s{n}", "counter-app", handle, zone=ZONES[n]) for n in range(3)]

        async def sound(kind: str, method: str, prefix: str, per_s: float) -> None:
            number = 0
            while True:
                await asyncio.sleep(random.expovariate(per_s))
                number += 1
                tasks.append(asyncio.create_task(send(kind, method, prefix, number)))

        async def send(kind: str, method: str, prefix: str, number: int) -> None:
            entry = random.choice(system.of("entry"))
            attempt = f"{kind}-{number}"
            sent_by[attempt] = entry.name
            body = attempt.encode() if method == "POST" else b""
            headers = request_headers(attempt)
            reply = await call(system.front(entry), method, f"{prefix}{number}", headers, body, 1.5)
            status = "none" if reply is None else str(reply.status)
            answers[f"{kind} {status}"] = answers.get(f"{kind} {status}", 0) + 1

        try:
            await system.configure(
                {
                    "Routes": [
                        route("booking", "/b/", "non_idempotent", "counter-app"),
                        route("lookup", "/l/", "idempotent", "counter-app"),
                    ],
                    "Services": [service("counter-app")],
                    "Limits": LIMITS,
                    "Tenants": TENANTS,
                }
            )
            for server in servers:
                await server.start()
            await system.wait_ready()
            tasks.append(asyncio.create_task(sound("booking", "POST", "/b/", BOOKINGS_PER_S)))
            tasks.append(asyncio.create_task(sound("lookup", "GET", "/l/", LOOKUPS_PER_S)))
            await asyncio.sleep(5.0)
            # The server that leaves is one that the killed entry uses; entries prefer some servers.
            name, entry = used.most_common(1)[0][0]
            leaving = next(each for each in servers if each.name == name)
            record.write(f"{leaving.id} will leave; requests by server and entry: {dict(used)}")
            began_s = record.now_s()
            tasks.append(asyncio.create_task(late_heartbeat(system, leaving)))
            await asyncio.sleep(LEAVES_S)
            leaving.says_heartbeats = False
            await asyncio.sleep(0.2)
            path = f"/-/instances/{leaving.id}"
            body = f'{{"born":{leaving.born_ms}}}'.encode()
            reply, address = await system.call_control("DELETE", path, body)
            left_s = record.now_s()
            record.write(f"server {leaving.id}: DELETE answered {reply.status} by {address}")
            await asyncio.sleep(max(0.0, began_s + KILLED_S - record.now_s()))
            if has_trouble:
                for machine in system.machines.values():
                    machine.restart_s = DOWN_S
                system.kill(*system.of("control"), system.machines[entry])
            await asyncio.sleep(began_s + EXITS_S - record.now_s())
        finally:
            for task in tasks:
                task.cancel()
            for server in servers:
                server.crash()
    record.write(f"requests: {answers}")
    late = [each for each in reached if each[0] > left_s + DRAIN_S and each[2]]
    record.write(
        f"requests that reached {leaving.id} later than {DRAIN_S} s after its DELETE was "
        f"acknowledged, from machines in touch: {len(late)}"
    )
    return BROKEN if late else HELD


play(case, Path(__file__).resolve().parent)
