"""Run and stop the tasks of a process."""

import asyncio
import secrets
import signal
import time
from collections.abc import Coroutine
from typing import Any

from lycheefall._core.ids import Incarnation


def new_incarnation() -> Incarnation:
    """Return a random id for this run of the process."""
    return Incarnation(secrets.token_hex(8))


def boot_time_s() -> float:
    """Return the seconds since boot, including time in which the machine was suspended.

    The event loop's clock excludes suspension, so the expiry of leases and other time-limited
    rights is checked with this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def stop_on_signals() -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def run_until(done: asyncio.Event, *tasks: Coroutine[Any, Any, Any]) -> None:
    """Run tasks until the event is set or one of them ends; raise the error of a failed one."""
    running = [asyncio.create_task(task) for task in tasks]
    waiting = asyncio.create_task(done.wait())
    try:
        finished, _ = await asyncio.wait([waiting, *running], return_when=asyncio.FIRST_COMPLETED)
        for task in finished - {waiting}:
            task.result()
    finally:
        waiting.cancel()
        for task in running:
            task.cancel()
        await asyncio.gather(waiting, *running, return_exceptions=True)
