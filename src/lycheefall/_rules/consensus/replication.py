"""Replication of the log, commitment and the leader's lease."""

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import LogIndex
from lycheefall._core.messages.consensus import (
    Append,
    Appended,
    InstallSnapshot,
    LogEntry,
    Payload,
    Replica,
)
from lycheefall._rules.consensus.log import (
    append,
    batch_from,
    between,
    cut_from,
    last_index,
    last_stamp_ms,
    log_after,
    term_at,
)
from lycheefall._rules.consensus.state import (
    Committed,
    Compact,
    Consensus,
    PendingRead,
    Progress,
    Proposals,
    ProposalsRefused,
    Read,
    ReadConfirmed,
    ReadRefused,
    Restore,
    SaveEntries,
    SaveSnapshot,
    Send,
    others,
    postpone_election,
    quorum,
    resting_role,
    step_down,
    voters,
)


def on_leader_tick(state: Consensus, now_s: float) -> None:
    """Send heartbeats; step down when a majority stopped answering."""
    answered_s = max(_quorum_acked_s(state, now_s), state.led_since_s)
    if now_s - answered_s > state.timing.election_max_s:
        step_down(state, state.term, now_s)
    elif now_s >= state.heartbeat_due_s:
        send_appends(state, now_s)


def has_lease(state: Consensus, now_s: float) -> bool:
    """Tell whether a majority answered messages that were sent within the lease.

    Voters refuse to vote for the election timeout after a message of the leader, so no other
    leader can exist while this holds.
    """
    return now_s < lease_until_s(state, now_s)


def lease_until_s(state: Consensus, now_s: float) -> float:
    """Return the time at which the lease ends."""
    if state.role is not ReplicaRole.LEADER:
        return float("-inf")
    return _quorum_acked_s(state, now_s) + state.timing.lease_s


def _quorum_acked_s(state: Consensus, now_s: float) -> float:
    answered_s = sorted((_acked_s(state, each, now_s) for each in voters(state)), reverse=True)
    return answered_s[quorum(len(answered_s)) - 1]


def _acked_s(state: Consensus, replica: Replica, now_s: float) -> float:
    if replica.id == state.me.id:
        return now_s
    progress = state.progress.get(replica.id)
    return float("-inf") if progress is None else progress.acked_s


def on_proposals(state: Consensus, message: Proposals, now_s: float) -> None:
    """Append commands as the leader, in one batch, or refuse them."""
    if state.role is not ReplicaRole.LEADER:
        state.outputs.append(ProposalsRefused(tuple(each.command_id for each in message.commands)))
        return
    append_batch(state, message.commands, message.stamp_ms)
    send_appends(state, now_s)


# Step between the stamps of two messages that are sent at the same reading of the clock.
_STAMP_STEP_S = 1e-6


def on_read(state: Consensus, message: Read, now_s: float) -> None:
    """Keep a read until a majority answers a message of this leader that is sent after it.

    A lease can't confirm it: a process that was suspended continues with a clock that did not
    count the time, and would take its lease for valid beside a new leader.
    """
    if state.role is not ReplicaRole.LEADER or not state.is_commit_current:
        state.outputs.append(ReadRefused(message.read))
        return
    state.reads.append(PendingRead(message.read, _next_stamp_s(state, now_s)))
    send_appends(state, now_s)
    _confirm_reads(state)


def _next_stamp_s(state: Consensus, now_s: float) -> float:
    state.sent_s = max(now_s, state.sent_s + _STAMP_STEP_S)
    return state.sent_s


def _confirm_reads(state: Consensus) -> None:
    """Confirm the reads that a majority of the voters has answered for."""
    if not state.reads:
        return
    answered_s = _quorum_acked_s(state, float("inf"))
    confirmed = [each for each in state.reads if each.since_s < answered_s]
    state.reads = [each for each in state.reads if each.since_s >= answered_s]
    state.outputs.extend(ReadConfirmed(each.read) for each in confirmed)


def append_own(state: Consensus, payload: Payload) -> None:
    """Append one entry of the leader's own, with the time stamp of the entry before it."""
    append_batch(state, (payload,), 0)


def append_batch(state: Consensus, payloads: tuple[Payload, ...], stamp_ms: int) -> None:
    """Append entries as the leader."""
    first = last_index(state.log) + 1
    stamp_ms = max(stamp_ms, last_stamp_ms(state.log))
    entries = tuple(
        LogEntry(LogIndex(first + offset), state.term, stamp_ms, payload)
        for offset, payload in enumerate(payloads)
    )
    append(state.log, entries)
    state.outputs.append(SaveEntries(entries))
    # Outputs take effect after the sync of the same step, so this replica's copy counts.
    advance_commit(state)


def send_appends(state: Consensus, now_s: float) -> None:
    """Send every member the entries that it lacks, or a heartbeat."""
    state.heartbeat_due_s = now_s + state.timing.heartbeat_s
    for each in others(state):
        _send_append(state, each, now_s)


def _send_append(state: Consensus, to: Replica, now_s: float) -> None:
    progress = state.progress.get(to.id)
    if progress is None:
        progress = Progress(LogIndex(last_index(state.log) + 1), since_s=now_s)
        state.progress[to.id] = progress
    previous = LogIndex(progress.next - 1)
    previous_term = term_at(state.log, previous)
    if previous_term is None:
        _send_snapshot(state, to, progress, now_s)
        return
    entries = batch_from(state.log, progress.next)
    message = Append(
        state.me,
        to.id,
        state.term,
        previous,
        previous_term,
        entries,
        state.commit_index,
        state.is_commit_current,
        _next_stamp_s(state, now_s),
    )
    # A lost message shows as a refused heartbeat, which sets `next` back.
    progress.next = LogIndex(progress.next + len(entries))
    state.outputs.append(Send(to, message))


def _send_snapshot(state: Consensus, to: Replica, progress: Progress, now_s: float) -> None:
    snapshot = state.log.snapshot
    if snapshot is None:
        progress.next = LogIndex(state.log.base_index + 1)
        return
    if now_s - progress.snapshot_sent_s < state.timing.snapshot_resend_s:
        return
    progress.snapshot_sent_s = now_s
    stamp_s = _next_stamp_s(state, now_s)
    message = InstallSnapshot(state.me, to.id, state.term, snapshot, stamp_s)
    state.outputs.append(Send(to, message))


def on_append(state: Consensus, message: Append, now_s: float) -> None:
    """Take entries of the leader if the log matches up to the entry before them."""
    if not _follow(state, message, now_s):
        return
    log = state.log
    previous_term = term_at(log, message.previous_index)
    if message.previous_index < log.base_index:
        _answer(state, message, True, state.commit_index)
        return
    if previous_term != message.previous_term:
        hint = min(last_index(log), LogIndex(message.previous_index - 1))
        _answer(state, message, False, max(hint, state.commit_index))
        return
    _take_entries(state, message.entries)
    match = LogIndex(message.previous_index + len(message.entries))
    commit_to(state, min(message.commit, match))
    if message.settled and state.commit_index >= message.commit:
        state.is_commit_current = True
    _answer(state, message, True, match)


def _follow(state: Consensus, message: Append | InstallSnapshot, now_s: float) -> bool:
    if message.term < state.term:
        _answer(state, message, False, LogIndex(0))
        return False
    step_down(state, message.term, now_s)
    state.leader = message.sender
    state.leader_contact_s = now_s
    postpone_election(state, now_s)
    return True


def _answer(
    state: Consensus, message: Append | InstallSnapshot, success: bool, match: LogIndex
) -> None:
    reply = Appended(state.me, message.sender.id, state.term, success, match, message.sent_s)
    state.outputs.append(Send(message.sender, reply))


def _take_entries(state: Consensus, entries: tuple[LogEntry, ...]) -> None:
    for position, entry in enumerate(entries):
        held = term_at(state.log, entry.index)
        if held == entry.term:
            continue
        if held is not None:
            if entry.index <= state.commit_index:
                raise AssertionError(f"entry {entry.index} is committed and can't be replaced")
            cut_from(state.log, entry.index)
        append(state.log, entries[position:])
        state.outputs.append(SaveEntries(entries[position:]))
        state.role = resting_role(state)
        return


def on_appended(state: Consensus, message: Appended, now_s: float) -> None:
    """Record what a member holds, commit what a majority holds, and send what is missing."""
    if message.term > state.term:
        step_down(state, message.term, now_s)
        return
    progress = state.progress.get(message.sender.id)
    if state.role is not ReplicaRole.LEADER or message.term != state.term or progress is None:
        return
    progress.acked_s = max(progress.acked_s, message.sent_s)
    _confirm_reads(state)
    if not message.success:
        progress.next = LogIndex(max(progress.match, message.match) + 1)
        _send_append(state, message.sender, now_s)
        return
    progress.match = max(progress.match, message.match)
    progress.next = max(progress.next, LogIndex(progress.match + 1))
    advance_commit(state)
    if progress.next <= last_index(state.log):
        _send_append(state, message.sender, now_s)


def advance_commit(state: Consensus) -> None:
    """Commit what a majority of the voters holds, if its last entry is of this term."""
    held = sorted((_match(state, each) for each in voters(state)), reverse=True)
    if not held:
        return
    index = held[quorum(len(held)) - 1]
    # An entry of an earlier term can still be replaced although a majority holds it.
    if index > state.commit_index and term_at(state.log, index) == state.term:
        commit_to(state, index)
        state.is_commit_current = True


def _match(state: Consensus, replica: Replica) -> LogIndex:
    if replica.id == state.me.id:
        return last_index(state.log)
    progress = state.progress.get(replica.id)
    return LogIndex(0) if progress is None else progress.match


def commit_to(state: Consensus, index: LogIndex) -> None:
    """Hand over the entries up to an index that are not committed yet."""
    if index <= state.commit_index:
        return
    entries = between(state.log, state.commit_index + 1, index)
    state.commit_index = index
    state.outputs.append(Committed(entries))


def on_install_snapshot(state: Consensus, message: InstallSnapshot, now_s: float) -> None:
    """Replace log and state machine by the leader's snapshot if it is ahead of the commit."""
    if not _follow(state, message, now_s):
        return
    snapshot = message.snapshot
    if snapshot.index > state.commit_index:
        state.log = log_after(snapshot, _entries_after(state, message))
        state.commit_index = snapshot.index
        state.outputs.append(SaveSnapshot(snapshot, tuple(state.log.entries)))
        state.outputs.append(Restore(snapshot))
        state.role = resting_role(state)
    _answer(state, message, True, max(state.commit_index, snapshot.index))


def _entries_after(state: Consensus, message: InstallSnapshot) -> list[LogEntry]:
    """Return the entries to keep: those behind the snapshot if the log contains its last entry."""
    snapshot = message.snapshot
    if term_at(state.log, snapshot.index) != snapshot.term:
        return []
    return list(between(state.log, snapshot.index + 1, last_index(state.log)))


def on_compact(state: Consensus, message: Compact, now_s: float) -> None:
    """Drop the entries that a local snapshot covers."""
    snapshot = message.snapshot
    if snapshot.index <= state.log.base_index or snapshot.index > state.commit_index:
        return
    rest = list(between(state.log, snapshot.index + 1, last_index(state.log)))
    state.log = log_after(snapshot, rest)
    state.outputs.append(SaveSnapshot(snapshot, tuple(rest)))
