"""Run a role as a process until a signal stops it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import aiomisc

from lycheefall._core.process import stop_on_signals

# Runs a role until the event is set.
Role = Callable[[asyncio.Event], Coroutine[Any, Any, None]]


def run_daemon(role: Role) -> None:
    """Run a role on uvloop until SIGTERM or SIGINT."""
    with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
        loop.run_until_complete(_run(role))


async def _run(role: Role) -> None:
    await role(stop_on_signals())
