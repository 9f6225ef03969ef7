"""A request that crashes each server that runs it comes again; each start has a new id."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BROKEN,
    HELD,
    LIMITS,
    STABILITY_WINDOW_S,
    TENANTS,
    ZONES,
    Received,
    Record,
    Server,
    call,
    play,
    request_headers,
    route,
    running_system,
    service,
)

# A server crashes this long after it has begun to run the request, and is back after some seconds.
CRASHES_AFTER_S = 0.02
BACK_AFTER_S = 2.0
WORK_S = 0.045
# Time between two attempts of the client, each with an id of its own.
AGAIN_AFTER_S = 4.0
RETRIES = 18
# Sound requests of the sheet: stock-booking 3.19 and loyalty-lookup 1.5 a second.
BOOKINGS_PER_S = 3.19
LOOKUPS_PER_S = 1.5
ALLOWED_RETRIES = 3
BODY = b"the request that crashes servers"


async def case(record: Record, has_trouble: bool) -> int:
    crashes: list[float] = []
    # When the crashing request reached a server, and from a machine in touch.
    reached: list[tuple[float, bool]] = []
    sent_to = {"entry": ""}
    # Sound requests that a server runs, and those that were lost with each crash.
    running: dict[str, int] = {}
    lost_with_it: list[int] = []

    async with running_system(record) as system:

        async def handle(server: Server, received: Received) -> None:
            if received.body == BODY:
                now_s = record.now_s()
                entry = system.machines[sent_to["entry"]]
                reached.append((now_s, system.in_touch(entry, now_s)))
                record.write(
                    f"server {server.id}: began the crashing request "
                    f"{received.headers['attempt-id']}"
                )
                await asyncio.sleep(CRASHES_AFTER_S)
                crashes.append(record.now_s())
                lost = running.pop(server.name, 0)
                lost_with_it.append(lost)
                record.write(f"server {server.id}: crashed; other requests lost with it: {lost}")
                server.crash()
                asyncio.get_running_loop().call_later(
                    BACK_AFTER_S, lambda: tasks.append(asyncio.create_task(server.start()))
                )
                raise ConnectionResetError
            running[server.name] = running.get(server.name, 0) + 1
            await asyncio.sleep(WORK_S)
            running[server.name] = max(0, running.get(server.name, 0) - 1)
            received.writer.write(received.answer())

        tasks: list[asyncio.Task[None]] = []
        # One in each zone, as on the sheet.
        servers = [Server(system, f"s{n}", "counter-app", handle, zone=ZONES[n]) for n in range(3)]
        answers: dict[str, int] = {}

        async def sound(kind: str, method: str, prefix: str, per_s: float) -> None:
            number = 0
            while True:
                await asyncio.sleep(random.expovariate(per_s))
                number += 1
                tasks.append(asyncio.create_task(send_sound(kind, method, prefix, number)))

        async def send_sound(kind: str, method: str, prefix: str, number: int) -> None:
            entry = random.choice(system.of("entry"))
            body = f"{kind} {number}".encode() if method == "POST" else b""
            reply = await call(
                system.front(entry),
                method,
                f"{prefix}{number}",
                request_headers(f"{kind}-{number}"),
                body,
                1.5,
            )
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
            await asyncio.sleep(STABILITY_WINDOW_S + 1.0)
            for number in range(RETRIES):
                if has_trouble:
                    entry = random.choice(system.of("entry"))
                    sent_to["entry"] = entry.name
                    record.write(f"client: attempt crash-{number} sent to {entry.name}")
                    reply = await call(
                        system.front(entry),
                        "POST",
                        "/b/crash",
                        request_headers(f"crash-{number}"),
                        BODY,
                        1.5,
                    )
                    status = "nothing" if reply is None else reply.status
                    record.write(f"client: attempt crash-{number} answered {status}")
                await asyncio.sleep(AGAIN_AFTER_S)
        finally:
            for task in tasks:
                task.cancel()
            for server in servers:
                server.crash()
    record.write(f"sound requests: {answers}; lost with crashes: {sum(lost_with_it)}")
    if len(crashes) < 3:
        record.write(f"{len(crashes)} crashes")
        return HELD
    third_s = crashes[2]
    late = [at_s for at_s, in_touch in reached if at_s > third_s + STABILITY_WINDOW_S and in_touch]
    record.write(
        f"{len(crashes)} crashes, the third at {third_s:.3f}; retries that reached servers later "
        f"than {STABILITY_WINDOW_S} s after it: {len(late)}, allowed {ALLOWED_RETRIES}"
    )
    return BROKEN if len(late) > ALLOWED_RETRIES else HELD


play(case, Path(__file__).resolve().parent)
