"""Run the tasks of a role and stop them together."""

import asyncio
import secrets
import signal
import time
from collections.abc import Coroutine
from typing import Any

from lycheefall._core.ids import Incarnation


def new_incarnation() -> Incarnation:
    """Return an id that no other run of a process has."""
    return Incarnation(secrets.token_hex(8))


def boot_time_s() -> float:
    """Return a clock that counts the time for which this machine was suspended.

    The loop's clock does not. A right that ends with time is checked with this one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def stop_on_signals() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def run_until(done: asyncio.Event, *tasks: Coroutine[Any, Any, Any]) -> None:
    """Run tasks until the event is set; the first one that fails ends them all."""
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
