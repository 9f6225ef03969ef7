"""Measure how long taking a snapshot of many claims blocks the event loop of a replica.

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

from bench.bench_claims import make_claims
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

# The first is one hour of bookings at design load; the last is near the limit on claim bytes.
CLAIMS = (40_000, 300_000, 690_000)
ROUNDS = 5
PROBE_PERIOD_S = 0.001
IDLE_S = 0.5


def main() -> None:
    """Print the median and all rounds in ms for each number of claims."""
    for count in [int(argument) for argument in sys.argv[1:]] or CLAIMS:
        machine_state = machine.initial()
        machine_state.claims = make_claims(count)
        uvloop.run(_measure(count, machine_state))
        del machine_state
        gc.collect()


async def _measure(count: int, machine_state: machine.Machine) -> None:
    loop = asyncio.get_running_loop()
    inbox: Inbox[ToApply] = Inbox(10)
    step_inbox: Inbox[ToStep] = Inbox(10)
    publish_inbox: Inbox[ToPublish] = Inbox(1_000)
    apply_state = ApplyState(
        machine=machine_state, apply=machine.applier(parse_configuration), snapshot_entries=1
    )
    apply_state.membership = Membership(1, ())
    sinks = ApplySinks(lambda peer, message: None, step_inbox, publish_inbox)
    rounds: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(1) as worker:
        storage, _ = open_storage(Path(folder), InstanceId("a"))
        sync = sync_filter(storage, worker)
        apply_task = asyncio.ensure_future(run_apply(apply_state, inbox, sinks))
        for number in range(1, 1 + ROUNDS):
            idle = await _longest_pause(asyncio.sleep(IDLE_S))
            start_s = loop.time()
            await inbox.put(Committed((_entry(number),)))
            snapshots: list[Compact] = []
            encoding = await _longest_pause(_receive_snapshot(step_inbox, snapshots))
            encoded_s = loop.time() - start_s
            saving = await _longest_pause(_save_snapshot(sync, snapshots[0]))
            values = (idle, encoding, encoded_s, saving, loop.time() - start_s - encoded_s)
            for name, value in zip(MEASUREMENTS, values, strict=True):
                rounds.setdefault(name, []).append(value * 1e3)
        apply_task.cancel()
        await asyncio.gather(apply_task, return_exceptions=True)
        close_storage(storage)
    assert decode_machine(snapshots[0].snapshot.state) == machine_state
    print(f"{count} claims, {len(snapshots[0].snapshot.state) / 1e6:.1f} MB")
    for name, values_ms in rounds.items():
        all_rounds = ", ".join(f"{value:.0f}" for value in values_ms)
        print(f"  {name}: median {statistics.median(values_ms):.0f} ms of {all_rounds}", flush=True)


MEASUREMENTS = (
    "longest pause of an idle loop",
    "longest pause while encoding",
    "encoding",
    "longest pause while saving",
    "saving",
)


async def _longest_pause(work: Coroutine[None, None, None]) -> float:
    """Return the longest time in seconds that the event loop is blocked while it runs `work`."""
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(work)
    longest_s, last_s = 0.0, loop.time()
    while not task.done():
        await asyncio.sleep(PROBE_PERIOD_S)
        now_s = loop.time()
        longest_s, last_s = max(longest_s, now_s - last_s), now_s
    await task
    return longest_s


async def _receive_snapshot(step_inbox: Inbox[ToStep], snapshots: list[Compact]) -> None:
    message = await step_inbox.get()
    assert isinstance(message, Compact)
    snapshots.append(message)


async def _save_snapshot(sync: Sync, compact: Compact) -> None:
    await sync([SaveSnapshot(compact.snapshot, ())])


def _entry(number: int) -> LogEntry:
    """Return a log entry with a time at the end of the hour of `make_claims`."""
    command = AcquireLease(LeaseName("l"), Incarnation("a"), 1.0)
    payload = Submitted(CommandId(str(number)), command)
    return LogEntry(LogIndex(number), Term(1), 3_600_000, payload)


if __name__ == "__main__":
    main()
