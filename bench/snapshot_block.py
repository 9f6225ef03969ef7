"""How long the event loop of a replica is blocked while a snapshot of many claims is taken.

Run: PYTHONPATH=src:tests:. python -m bench.snapshot_block [CLAIMS ...]
One process runs the apply filter and the sync filter with a real data folder.
"""

import asyncio
import gc
import statistics
import sys
import tempfile
from collections.abc import Coroutine
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import uvloop

from bench.bench_claims import fill
from lycheefall._control.apply import ApplySinks, ApplyState, run_apply
from lycheefall._control.messages import ToApply, ToPublish, ToStep
from lycheefall._control.storage import close_storage, open_storage
from lycheefall._control.sync import Sync, sync_filter
from lycheefall._core.ids import CommandId, Incarnation, InstanceId, LeaseName, LogIndex, Term
from lycheefall._core.messages.consensus import LogEntry, Membership, Submitted
from lycheefall._core.messages.control import AcquireLease
from lycheefall._core.pipeline import Inbox
from lycheefall._operate.configuration_file import parse_configuration
from lycheefall._rules.consensus.state import Committed, Compact, SaveSnapshot
from lycheefall._rules.replicated import machine
from lycheefall._wire.consensus_codec import decode_machine

# One hour of bookings at the size to design for, and about the limit of the bytes of all claims.
CLAIMS = (40_000, 300_000, 690_000)
ROUNDS = 5
TICK_PERIOD_S = 0.001
IDLE_S = 0.5


def main() -> None:
    """Print medians and all rounds for each number of claims."""
    for count in [int(each) for each in sys.argv[1:]] or CLAIMS:
        held = machine.initial()
        held.claims = fill(count)
        uvloop.run(_measure(count, held))
        del held
        gc.collect()


async def _measure(count: int, held: machine.Machine) -> None:
    loop = asyncio.get_running_loop()
    inbox: Inbox[ToApply] = Inbox(10)
    step: Inbox[ToStep] = Inbox(10)
    publish: Inbox[ToPublish] = Inbox(1_000)
    applied = ApplyState(
        machine=held, apply=machine.applier(parse_configuration), snapshot_entries=1
    )
    applied.membership = Membership(1, ())
    sinks = ApplySinks(lambda peer, message: None, step, publish)
    rounds: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(1) as worker:
        storage, _ = open_storage(Path(folder), InstanceId("a"))
        sync = sync_filter(storage, worker)
        running = asyncio.ensure_future(run_apply(applied, inbox, sinks))
        for turn in range(1, 1 + ROUNDS):
            idle = await _longest_gap(asyncio.sleep(IDLE_S))
            start_s = loop.time()
            await inbox.put(Committed((_entry(turn),)))
            taken: list[Compact] = []
            encoding = await _longest_gap(_taken(step, taken))
            encoded_s = loop.time() - start_s
            saving = await _longest_gap(_saved(sync, taken[0]))
            values = (idle, encoding, encoded_s, saving, loop.time() - start_s - encoded_s)
            for name, value in zip(NAMES, values, strict=True):
                rounds.setdefault(name, []).append(value * 1e3)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        close_storage(storage)
    assert decode_machine(taken[0].snapshot.state) == held
    print(f"{count} claims, {len(taken[0].snapshot.state) / 1e6:.1f} MB")
    for name, each in rounds.items():
        listed = ", ".join(f"{value:.0f}" for value in each)
        print(f"  {name}: median {statistics.median(each):.0f} ms of {listed}", flush=True)


NAMES = (
    "longest gap of an idle loop",
    "longest gap while encoding",
    "encoding",
    "longest gap while saving",
    "saving",
)


async def _longest_gap(work: Coroutine[None, None, None]) -> float:
    """Return the longest time that the loop gave nothing else a turn while it did some work."""
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(work)
    longest_s, before_s = 0.0, loop.time()
    while not task.done():
        await asyncio.sleep(TICK_PERIOD_S)
        now_s = loop.time()
        longest_s, before_s = max(longest_s, now_s - before_s), now_s
    await task
    return longest_s


async def _taken(step: Inbox[ToStep], taken: list[Compact]) -> None:
    message = await step.get()
    assert isinstance(message, Compact)
    taken.append(message)


async def _saved(sync: Sync, taken: Compact) -> None:
    await sync([SaveSnapshot(taken.snapshot, ())])


def _entry(turn: int) -> LogEntry:
    command = AcquireLease(LeaseName("l"), Incarnation("a"), 1.0)
    payload = Submitted(CommandId(str(turn)), command)
    return LogEntry(LogIndex(turn), Term(1), 3_600_000, payload)


if __name__ == "__main__":
    main()
