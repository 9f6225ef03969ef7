"""Filter that owns the state machine."""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._control.messages import (
    AppliedView,
    AskNewestFile,
    Expect,
    Question,
    Reject,
    ToApply,
    ToPublish,
    ToStep,
    Unanswered,
)
from lycheefall._core.codes import ResultCode
from lycheefall._core.events import Event
from lycheefall._core.ids import CommandId, LogIndex
from lycheefall._core.log import log
from lycheefall._core.messages.consensus import LogEntry, Membership, Snapshot, Submitted
from lycheefall._core.messages.control import Failed, FileResult, Proposed, Result
from lycheefall._core.messages.groups import CommittedEpochs, QueryEpochs
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.consensus.log import entry_bytes
from lycheefall._rules.consensus.state import Committed, Compact, Restore
from lycheefall._rules.replicated import epochs, suspects
from lycheefall._rules.replicated.machine import Apply, Machine
from lycheefall._rules.replicated.newest_file import NewestFile
from lycheefall._wire.consensus_codec import decode_machine, encode_machine_chunks

# Connections that wait for a command which never commits are forgotten after so many others.
WAITING_COMMANDS = 50_000
# Bytes of entries after which a snapshot is taken; files of 4 MiB would else fill a small disk.
SNAPSHOT_BYTES = 16_777_216
# Encoded bytes of a snapshot after which the other filters get a turn.
TURN_BYTES = 262_144


FromStateMachine = Proposed | CommittedEpochs | NewestFile | Failed


class Applied(Struct, eq=False, kw_only=True):
    """The state machine, where it is in the log, and who waits for a result."""

    machine: Machine
    apply: Apply
    snapshot_entries: int
    index: LogIndex = LogIndex(0)
    snapshot_index: LogIndex = LogIndex(0)
    # Bytes of the entries since the latest snapshot.
    entries_bytes: int = 0
    membership: Membership | None = None
    waiting: dict[CommandId, list[bytes]] = field(default_factory=dict)


class ApplyOutlets(Struct, frozen=True):
    """Where results, snapshots and views go."""

    answer: Callable[[bytes, FromStateMachine], None]
    step: Inbox[ToStep]
    publish: Inbox[ToPublish]


def restored(state: Applied, snapshot: Snapshot) -> None:
    """Put the state machine into the state of a snapshot."""
    state.machine = decode_machine(snapshot.state)
    state.index = state.snapshot_index = snapshot.index
    state.membership = snapshot.membership


async def run_apply(state: Applied, inbox: Inbox[ToApply], outlets: ApplyOutlets) -> None:
    """Own the state machine: apply committed entries and answer who waits for them."""
    while True:
        for message in await inbox.drain():
            _take(state, message, outlets)
            if isinstance(message, Committed) and _is_compact_due(state, message.entries):
                # Watchers and callers need not wait for the snapshot.
                await outlets.publish.put(view_of(state))
                await _compact(state, message.entries[-1], outlets)
        await outlets.publish.put(view_of(state))


def _take(state: Applied, message: ToApply, outlets: ApplyOutlets) -> None:
    match message:
        case Expect():
            _expect(state, message)
        case Reject():
            for command_id in message.command_ids:
                result = Failed(ResultCode.NOT_LEADER, "ask the leader", message.leader)
                _answer(state, command_id, result, outlets)
        case Question(peer=peer, question=QueryEpochs() as question):
            outlets.answer(peer, epochs.in_force(state.machine.epochs, question))
        case Question(peer=peer):
            outlets.answer(peer, state.machine.newest_file)
        case Unanswered(question=Question(peer=peer, question=AskNewestFile())):
            outlets.answer(peer, Failed(ResultCode.NOT_LEADER, "ask the leader", message.leader))
        case Unanswered():
            # A coordinator asks every replica, and asks again.
            return
        case Restore():
            restored(state, message.snapshot)
        case Committed():
            for entry in message.entries:
                _apply_entry(state, entry, outlets)


def _expect(state: Applied, message: Expect) -> None:
    peers = state.waiting.setdefault(message.command_id, [])
    if message.peer not in peers:
        peers.append(message.peer)
    if len(state.waiting) > WAITING_COMMANDS:
        del state.waiting[next(iter(state.waiting))]


def _apply_entry(state: Applied, entry: LogEntry, outlets: ApplyOutlets) -> None:
    if entry.index <= state.index:
        return
    if entry.index != state.index + 1:
        raise AssertionError(f"entry {entry.index} follows {state.index}")
    state.index = entry.index
    state.entries_bytes += entry_bytes(entry)
    match entry.payload:
        case Membership():
            state.membership = entry.payload
        case Submitted():
            state.machine, result = state.apply(state.machine, entry.payload, entry.timestamp_ms)
            _answer(state, entry.payload.command_id, result, outlets)


def _answer(state: Applied, command_id: CommandId, result: Result, outlets: ApplyOutlets) -> None:
    peers = state.waiting.pop(command_id, [])
    if peers and isinstance(result, FileResult):
        _log_file(result)
    for peer in peers:
        outlets.answer(peer, Proposed(command_id, result))


def _log_file(result: FileResult) -> None:
    """Write the outcome of a file; only the replica that answers does, and no replay."""
    if result.code is ResultCode.OK:
        log(Event.FILE_ACCEPTED, revision=result.revision, digest=result.digest)
    else:
        log(
            Event.FILE_REFUSED,
            code=int(result.code),
            revision=result.revision,
            digest=result.digest,
            detail=result.detail,
        )


def _is_compact_due(state: Applied, entries: tuple[LogEntry, ...]) -> bool:
    is_long = state.index - state.snapshot_index >= state.snapshot_entries
    due = is_long or state.entries_bytes >= SNAPSHOT_BYTES
    return due and state.membership is not None and entries[-1].index == state.index


async def _compact(state: Applied, last: LogEntry, outlets: ApplyOutlets) -> None:
    """Take a snapshot; the other filters run meanwhile, and the state machine waits."""
    if state.membership is None:
        return
    data = await _encoded(state.machine)
    snapshot = Snapshot(last.index, last.term, last.timestamp_ms, state.membership, data)
    if outlets.step.offer(Compact(snapshot)):
        state.snapshot_index = last.index
        state.entries_bytes = 0


async def _encoded(machine: Machine) -> bytes:
    parts: list[bytes] = []
    turn_bytes = 0
    for part in encode_machine_chunks(machine):
        parts.append(part)
        turn_bytes += len(part)
        if turn_bytes >= TURN_BYTES:
            turn_bytes = 0
            await asyncio.sleep(0)
    return b"".join(parts)


def view_of(state: Applied) -> AppliedView:
    """Return what watchers see of the state machine."""
    held = state.machine
    return AppliedView(
        state.index,
        held.revisions.configuration,
        held.claims.count,
        epochs.last_commits(held.epochs),
        held.suspects.version,
        suspects.suspects(held.suspects),
        suspects.refused(held.suspects),
        held.newest_file,
    )
