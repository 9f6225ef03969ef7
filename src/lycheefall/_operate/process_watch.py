"""Log when the event loop stood still or the memory is nearly used up, with what is held."""

import asyncio
import os
from collections.abc import Callable

from lycheefall._core.events import Event
from lycheefall._core.log import log

CHECK_PERIOD_S = 0.5
# A process that is late by this much answers neither callers nor other processes in time.
LATE_S = 0.5
# Share of its memory above which a process says what it holds, and how often.
HIGH_MEMORY_RATIO = 0.7
MEMORY_REPORT_PERIOD_S = 5.0
_BYTES_PER_MB = 1e6

# Returns the lengths of inboxes and tables and the numbers of connections, by name.
Sizes = Callable[[], dict[str, int]]


def read_resident_bytes() -> int:
    """Return the resident memory of this process, or 0 if the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


async def run_watch(
    sizes: Sizes,
    memory_bytes: float,
    now: Callable[[], float],
    resident_bytes: Callable[[], int] = read_resident_bytes,
) -> None:
    """Check the delay of the event loop and the memory of this process until cancelled."""
    reported_s = float("-inf")
    while True:
        due_s = now() + CHECK_PERIOD_S
        await asyncio.sleep(CHECK_PERIOD_S)
        late_s = now() - due_s
        resident = resident_bytes()
        resident_mb = round(resident / _BYTES_PER_MB, 1)
        if late_s >= LATE_S:
            log(Event.LOOP_LATE, late_s=round(late_s, 3), resident_mb=resident_mb, **sizes())
        is_high = resident > HIGH_MEMORY_RATIO * memory_bytes
        if is_high and now() - reported_s >= MEMORY_REPORT_PERIOD_S:
            reported_s = now()
            limit_mb = round(memory_bytes / _BYTES_PER_MB, 1)
            log(Event.MEMORY_HIGH, resident_mb=resident_mb, limit_mb=limit_mb, **sizes())
