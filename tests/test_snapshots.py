"""Tests of encoding a snapshot in chunks without blocking the event loop."""

import asyncio

import pytest

from lycheefall._control.apply import YIELD_AFTER_BYTES, ApplySinks, ApplyState, run_apply
from lycheefall._control.messages import ToApply, ToPublish, ToStep
from lycheefall._core.ids import (
    AttemptNumber,
    CommandId,
    Digest,
    IdempotencyKey,
    Incarnation,
    LeaseName,
    LogIndex,
    TeamId,
    Term,
    UpstreamId,
)
from lycheefall._core.messages.consensus import LogEntry, Membership, Submitted
from lycheefall._core.messages.control import AcquireLease
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.consensus.state import Committed, Compact
from lycheefall._rules.replicated import machine
from lycheefall._rules.replicated.claims import ClaimRecord
from lycheefall._wire.consensus_codec import CHUNK_ITEMS, decode_machine, encode_machine_chunks
from processes.replica import parse_number

RUN = Incarnation("i")


def machine_with_claims(count: int) -> machine.Machine:
    """Return a state machine with this many claims of one team."""
    record = ClaimRecord(Digest("d" * 32), 1, AttemptNumber(1), RUN, UpstreamId("u"), RUN)
    keys = [IdempotencyKey(f"1-{number}") for number in range(count)]
    populated = machine.initial()
    populated.claims.claims[TeamId("t")] = dict.fromkeys(keys, record)
    populated.claims.buckets = {0: [(TeamId("t"), key) for key in keys], 1: []}
    populated.claims.count = count
    return populated


class TestChunks:
    @pytest.mark.parametrize(
        "count", [0, 15, 16, CHUNK_ITEMS, CHUNK_ITEMS + 1, 2 * CHUNK_ITEMS + 16]
    )
    def test_same_state(self, count: int) -> None:
        """Guards against a snapshot that can't be decoded or decodes to another state."""
        assert decode_machine(
            b"".join(encode_machine_chunks(machine_with_claims(count)))
        ) == machine_with_claims(count)


class TestApply:
    async def test_event_loop_runs_meanwhile(self) -> None:
        """Guards against heartbeats and watches that are blocked while all claims are encoded."""
        inbox: Inbox[ToApply] = Inbox(10)
        step: Inbox[ToStep] = Inbox(10)
        publish: Inbox[ToPublish] = Inbox(10)
        state = ApplyState(
            machine=machine_with_claims(20_000),
            apply=machine.applier(parse_number),
            snapshot_entries=1,
        )
        state.membership = Membership(1, ())
        sinks = ApplySinks(lambda peer, message: None, step, publish)
        command = Submitted(CommandId("c"), AcquireLease(LeaseName("l"), RUN, 1.0))
        await inbox.put(Committed((LogEntry(LogIndex(1), Term(1), 1, command),)))
        running = asyncio.ensure_future(run_apply(state, inbox, sinks))
        # Each turn of this loop is one of the event loop while the snapshot is encoded.
        turns = 0
        while not len(step):
            await asyncio.sleep(0)
            turns += 1
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        compaction = await step.get()
        assert isinstance(compaction, Compact)
        assert turns > len(compaction.snapshot.state) / YIELD_AFTER_BYTES / 2 > 2
        assert decode_machine(compaction.snapshot.state) == state.machine
