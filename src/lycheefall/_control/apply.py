"""Apply filter: owns the replicated state machine."""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._control.messages import (
    AppliedView,
    AwaitResult,
    ProposalsRejected,
    QueryNewestFile,
    ReadRejected,
    ReadRequest,
    ToApply,
    ToPublish,
    ToStep,
)
from lycheefall._core.codes import ResultCode
from lycheefall._core.events import Event
from lycheefall._core.ids import CommandId, LogIndex
from lycheefall._core.log import log
from lycheefall._core.messages.consensus import LogEntry, Membership, Snapshot, Submitted
from lycheefall._core.messages.control import (
    Command,
    EvacuationResult,
    Failed,
    FileResult,
    ProposeReply,
    Result,
    SetEvacuation,
)
from lycheefall._core.messages.groups import CommittedEpochs, QueryEpochs
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.consensus.log import entry_bytes
from lycheefall._rules.consensus.state import Committed, Compact, Restore
from lycheefall._rules.replicated import epochs, suspects
from lycheefall._rules.replicated.machine import Apply, Machine
from lycheefall._rules.replicated.newest_file import NewestFile
from lycheefall._wire.consensus_codec import decode_machine, encode_machine_chunks

# Commands that may await a result; beyond it the oldest one is dropped, since it may never commit.
MAX_WAITING_COMMANDS = 50_000
# Bytes of log entries after which a snapshot is taken. Without this limit, files of 4 MiB could
# fill a small disk before the limit on entries applies.
SNAPSHOT_AFTER_BYTES = 16_777_216
# Encoded bytes of a snapshot after which the encoder yields to the event loop.
YIELD_AFTER_BYTES = 262_144


FromStateMachine = ProposeReply | CommittedEpochs | NewestFile | Failed


class ApplyState(Struct, eq=False, kw_only=True):
    """The state machine, its position in the log and the connections that await results."""

    machine: Machine
    apply: Apply
    snapshot_entries: int
    index: LogIndex = LogIndex(0)
    snapshot_index: LogIndex = LogIndex(0)
    # Estimated bytes of the entries applied since the latest snapshot.
    bytes_since_snapshot: int = 0
    membership: Membership | None = None
    waiting: dict[CommandId, list[bytes]] = field(default_factory=dict)


class ApplySinks(Struct, frozen=True):
    """Destinations of results, snapshots and views."""

    answer: Callable[[bytes, FromStateMachine], None]
    step: Inbox[ToStep]
    publish: Inbox[ToPublish]


def restore_snapshot(state: ApplyState, snapshot: Snapshot) -> None:
    """Restore the state machine from a snapshot."""
    state.machine = decode_machine(snapshot.state)
    state.index = state.snapshot_index = snapshot.index
    state.membership = snapshot.membership


async def run_apply(state: ApplyState, inbox: Inbox[ToApply], sinks: ApplySinks) -> None:
    """Own the state machine: apply committed entries and answer the connections that await them."""
    while True:
        for message in await inbox.drain():
            _on_message(state, message, sinks)
            if isinstance(message, Committed) and _is_compaction_due(state, message.entries):
                # Publish first, so that watchers do not wait for the snapshot.
                await sinks.publish.put(view_of(state))
                await _compact(state, message.entries[-1], sinks)
        await sinks.publish.put(view_of(state))


def _on_message(state: ApplyState, message: ToApply, sinks: ApplySinks) -> None:
    match message:
        case AwaitResult():
            _await_result(state, message)
        case ProposalsRejected():
            for command_id in message.command_ids:
                result = Failed(ResultCode.NOT_LEADER, "ask the leader", message.leader)
                _answer(state, command_id, result, sinks)
        case ReadRequest(peer=peer, query=QueryEpochs() as query):
            sinks.answer(peer, epochs.committed_epochs(state.machine.epochs, query))
        case ReadRequest(peer=peer):
            sinks.answer(peer, state.machine.newest_file)
        case ReadRejected(request=ReadRequest(peer=peer, query=QueryNewestFile())):
            sinks.answer(peer, Failed(ResultCode.NOT_LEADER, "ask the leader", message.leader))
        case ReadRejected():
            # A coordinator queries every replica and retries, so it needs no answer.
            return
        case Restore():
            restore_snapshot(state, message.snapshot)
        case Committed():
            for entry in message.entries:
                _apply_entry(state, entry, sinks)


def _await_result(state: ApplyState, message: AwaitResult) -> None:
    peers = state.waiting.setdefault(message.command_id, [])
    if message.peer not in peers:
        peers.append(message.peer)
    if len(state.waiting) > MAX_WAITING_COMMANDS:
        del state.waiting[next(iter(state.waiting))]


def _apply_entry(state: ApplyState, entry: LogEntry, sinks: ApplySinks) -> None:
    if entry.index <= state.index:
        return
    if entry.index != state.index + 1:
        raise AssertionError(f"cannot apply entry {entry.index} after entry {state.index}")
    state.index = entry.index
    state.bytes_since_snapshot += entry_bytes(entry)
    match entry.payload:
        case Membership():
            state.membership = entry.payload
        case Submitted():
            state.machine, result = state.apply(state.machine, entry.payload, entry.timestamp_ms)
            if entry.payload.command_id in state.waiting:
                _log_evacuation(entry.payload.command, result)
            _answer(state, entry.payload.command_id, result, sinks)


def _answer(state: ApplyState, command_id: CommandId, result: Result, sinks: ApplySinks) -> None:
    peers = state.waiting.pop(command_id, [])
    if peers and isinstance(result, FileResult):
        _log_file_result(result)
    for peer in peers:
        sinks.answer(peer, ProposeReply(command_id, result))


def _log_evacuation(command: Command, result: Result) -> None:
    """Log an order to evacuate, on the answering replica only and not during replay."""
    if isinstance(command, SetEvacuation) and isinstance(result, EvacuationResult):
        log(
            Event.EVACUATION_STORED,
            outcome="committed",
            data_centre=command.data_centre,
            evacuated=command.is_evacuated,
            version=result.version,
        )


def _log_file_result(result: FileResult) -> None:
    """Log the outcome of a file, on the answering replica only and not during replay."""
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


def _is_compaction_due(state: ApplyState, entries: tuple[LogEntry, ...]) -> bool:
    is_long = state.index - state.snapshot_index >= state.snapshot_entries
    is_due = is_long or state.bytes_since_snapshot >= SNAPSHOT_AFTER_BYTES
    return is_due and state.membership is not None and entries[-1].index == state.index


async def _compact(state: ApplyState, last: LogEntry, sinks: ApplySinks) -> None:
    """Take a snapshot; other filters run meanwhile, while no entries are applied."""
    if state.membership is None:
        return
    data = await _encode_machine(state.machine)
    snapshot = Snapshot(last.index, last.term, last.timestamp_ms, state.membership, data)
    if sinks.step.offer(Compact(snapshot)):
        state.snapshot_index = last.index
        state.bytes_since_snapshot = 0


async def _encode_machine(machine: Machine) -> bytes:
    parts: list[bytes] = []
    bytes_since_yield = 0
    for part in encode_machine_chunks(machine):
        parts.append(part)
        bytes_since_yield += len(part)
        if bytes_since_yield >= YIELD_AFTER_BYTES:
            bytes_since_yield = 0
            await asyncio.sleep(0)
    return b"".join(parts)


def view_of(state: ApplyState) -> AppliedView:
    """Return the parts of the state machine that are published to watchers."""
    machine = state.machine
    return AppliedView(
        state.index,
        machine.revisions.configuration,
        machine.claims.count,
        epochs.last_commits(machine.epochs),
        machine.suspects.version,
        suspects.suspects(machine.suspects),
        suspects.refused(machine.suspects),
        machine.newest_file,
        machine.evacuations,
    )
