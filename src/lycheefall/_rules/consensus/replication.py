"""Log replication, the commit index, reads and the leader's lease."""

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import LogIndex
from lycheefall._core.messages.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    LogEntry,
    Payload,
    Replica,
)
from lycheefall._rules.consensus.log import (
    append,
    batch_from,
    entries_between,
    last_index,
    last_timestamp_ms,
    log_from_snapshot,
    term_at,
    truncate_from,
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
    follower_or_learner,
    other_members,
    quorum,
    reset_election_timer,
    step_down,
    voters,
)


def on_leader_tick(state: Consensus, now_s: float) -> None:
    """Send heartbeats, or step down if a majority no longer answers."""
    answered_s = max(_quorum_acked_s(state, now_s), state.leader_since_s)
    if now_s - answered_s > state.timing.election_max_s:
        step_down(state, state.term, now_s)
    elif now_s >= state.heartbeat_due_s:
        send_appends(state, now_s)


def has_lease(state: Consensus, now_s: float) -> bool:
    """Return whether a majority has answered messages sent within the lease duration.

    Voters reject candidates for the minimum election timeout after a message of the leader, so
    no other leader can exist while the lease is valid.
    """
    return now_s < lease_until_s(state, now_s)


def lease_until_s(state: Consensus, now_s: float) -> float:
    """Return when the lease expires, on the local clock; -inf if not the leader."""
    if state.role is not ReplicaRole.LEADER:
        return float("-inf")
    return _quorum_acked_s(state, now_s) + state.timing.lease_s


def _quorum_acked_s(state: Consensus, now_s: float) -> float:
    """Return the latest time such that a majority answered a message sent then or later.

    The local replica counts as having answered at `now_s`.
    """
    answered_s = sorted((_acked_s(state, each, now_s) for each in voters(state)), reverse=True)
    return answered_s[quorum(len(answered_s)) - 1]


def _acked_s(state: Consensus, replica: Replica, now_s: float) -> float:
    if replica.id == state.replica.id:
        return now_s
    progress = state.progress.get(replica.id)
    return float("-inf") if progress is None else progress.acked_s


def on_proposals(state: Consensus, message: Proposals, now_s: float) -> None:
    """Append commands in one batch as the leader, or refuse them."""
    if state.role is not ReplicaRole.LEADER:
        state.outputs.append(ProposalsRefused(tuple(each.command_id for each in message.commands)))
        return
    append_batch(state, message.commands, message.timestamp_ms)
    send_appends(state, now_s)


# Difference between the send times of two messages sent at the same clock reading.
_SENT_STEP_S = 1e-6


def on_read(state: Consensus, message: Read, now_s: float) -> None:
    """Queue a read until a majority answers a message that this leader sends after it.

    A lease is not enough: the clock of a suspended process may not count the suspension, so the
    process would still consider its lease valid after another leader was elected.
    """
    if state.role is not ReplicaRole.LEADER or not state.is_commit_current:
        state.outputs.append(ReadRefused(message.read))
        return
    state.reads.append(PendingRead(message.read, _next_sent_s(state, now_s)))
    send_appends(state, now_s)
    _confirm_reads(state)


def _next_sent_s(state: Consensus, now_s: float) -> float:
    """Return a send time later than that of every earlier message or read."""
    state.last_sent_s = max(now_s, state.last_sent_s + _SENT_STEP_S)
    return state.last_sent_s


def _confirm_reads(state: Consensus) -> None:
    """Confirm the reads for which a majority of the voters has answered a later message."""
    if not state.reads:
        return
    answered_s = _quorum_acked_s(state, float("inf"))
    confirmed = [each for each in state.reads if each.requested_s < answered_s]
    state.reads = [each for each in state.reads if each.requested_s >= answered_s]
    state.outputs.extend(ReadConfirmed(each.read) for each in confirmed)


def append_leader_entry(state: Consensus, payload: Payload) -> None:
    """Append an entry created by the leader, with the timestamp of the previous entry."""
    append_batch(state, (payload,), 0)


def append_batch(state: Consensus, payloads: tuple[Payload, ...], timestamp_ms: int) -> None:
    """Append entries as the leader, with a timestamp that never decreases along the log."""
    first = last_index(state.log) + 1
    timestamp_ms = max(timestamp_ms, last_timestamp_ms(state.log))
    entries = tuple(
        LogEntry(LogIndex(first + offset), state.term, timestamp_ms, payload)
        for offset, payload in enumerate(payloads)
    )
    append(state.log, entries)
    state.outputs.append(SaveEntries(entries))
    # Outputs take effect after the sync of this step, so the local copy counts as durable.
    advance_commit(state)


def send_appends(state: Consensus, now_s: float) -> None:
    """Send every other member its missing entries, or a heartbeat."""
    state.heartbeat_due_s = now_s + state.timing.heartbeat_s
    for each in other_members(state):
        _send_append(state, each, now_s)


def _send_append(state: Consensus, to: Replica, now_s: float) -> None:
    progress = state.progress.get(to.id)
    if progress is None:
        progress = Progress(LogIndex(last_index(state.log) + 1), tracked_since_s=now_s)
        state.progress[to.id] = progress
    previous = LogIndex(progress.next_index - 1)
    previous_term = term_at(state.log, previous)
    if previous_term is None:
        # The log was compacted beyond the entries that the replica lacks.
        _send_snapshot(state, to, progress, now_s)
        return
    entries = batch_from(state.log, progress.next_index)
    message = AppendEntries(
        state.replica,
        to.id,
        state.term,
        previous,
        previous_term,
        entries,
        state.commit_index,
        state.is_commit_current,
        _next_sent_s(state, now_s),
    )
    # Optimistic: after a lost message, a rejected heartbeat resets next_index.
    progress.next_index = LogIndex(progress.next_index + len(entries))
    state.outputs.append(Send(to, message))


def _send_snapshot(state: Consensus, to: Replica, progress: Progress, now_s: float) -> None:
    snapshot = state.log.snapshot
    if snapshot is None:
        progress.next_index = LogIndex(state.log.base_index + 1)
        return
    if now_s - progress.snapshot_sent_s < state.timing.snapshot_resend_s:
        return
    progress.snapshot_sent_s = now_s
    sent_s = _next_sent_s(state, now_s)
    message = InstallSnapshot(state.replica, to.id, state.term, snapshot, sent_s)
    state.outputs.append(Send(to, message))


def on_append_entries(state: Consensus, message: AppendEntries, now_s: float) -> None:
    """Store entries of the leader if the log matches at the entry before them."""
    if not _accept_leader(state, message, now_s):
        return
    log = state.log
    previous_term = term_at(log, message.previous_index)
    if message.previous_index < log.base_index:
        _reply(state, message, True, state.commit_index)
        return
    if previous_term != message.previous_term:
        # The leader continues after this index, which is the last that may still match.
        hint = min(last_index(log), LogIndex(message.previous_index - 1))
        _reply(state, message, False, max(hint, state.commit_index))
        return
    _store_entries(state, message.entries)
    match = LogIndex(message.previous_index + len(message.entries))
    commit_to(state, min(message.commit, match))
    if message.is_commit_current and state.commit_index >= message.commit:
        state.is_commit_current = True
    _reply(state, message, True, match)


def _accept_leader(
    state: Consensus, message: AppendEntries | InstallSnapshot, now_s: float
) -> bool:
    if message.term < state.term:
        _reply(state, message, False, LogIndex(0))
        return False
    step_down(state, message.term, now_s)
    state.leader = message.sender
    state.leader_contact_s = now_s
    reset_election_timer(state, now_s)
    return True


def _reply(
    state: Consensus, message: AppendEntries | InstallSnapshot, success: bool, match: LogIndex
) -> None:
    reply = AppendReply(
        state.replica, message.sender.id, state.term, success, match, message.sent_s
    )
    state.outputs.append(Send(message.sender, reply))


def _store_entries(state: Consensus, entries: tuple[LogEntry, ...]) -> None:
    for position, entry in enumerate(entries):
        local_term = term_at(state.log, entry.index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            if entry.index <= state.commit_index:
                raise AssertionError(f"cannot replace committed log entry {entry.index}")
            truncate_from(state.log, entry.index)
        append(state.log, entries[position:])
        state.outputs.append(SaveEntries(entries[position:]))
        # The replaced or the new entries may hold a membership.
        state.role = follower_or_learner(state)
        return


def on_append_reply(state: Consensus, message: AppendReply, now_s: float) -> None:
    """Update the progress of a member, advance the commit index and send missing entries."""
    if message.term > state.term:
        step_down(state, message.term, now_s)
        return
    progress = state.progress.get(message.sender.id)
    if state.role is not ReplicaRole.LEADER or message.term != state.term or progress is None:
        return
    progress.acked_s = max(progress.acked_s, message.sent_s)
    _confirm_reads(state)
    if not message.success:
        progress.next_index = LogIndex(max(progress.match_index, message.match) + 1)
        _send_append(state, message.sender, now_s)
        return
    progress.match_index = max(progress.match_index, message.match)
    progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
    advance_commit(state)
    if progress.next_index <= last_index(state.log):
        _send_append(state, message.sender, now_s)


def advance_commit(state: Consensus) -> None:
    """Commit up to the highest index stored by a majority, if its entry is of this term."""
    match_indexes = sorted((_match_index(state, each) for each in voters(state)), reverse=True)
    if not match_indexes:
        return
    index = match_indexes[quorum(len(match_indexes)) - 1]
    # An entry of an earlier term can still be overwritten even if a majority stores it.
    if index > state.commit_index and term_at(state.log, index) == state.term:
        commit_to(state, index)
        state.is_commit_current = True


def _match_index(state: Consensus, replica: Replica) -> LogIndex:
    if replica.id == state.replica.id:
        return last_index(state.log)
    progress = state.progress.get(replica.id)
    return LogIndex(0) if progress is None else progress.match_index


def commit_to(state: Consensus, index: LogIndex) -> None:
    """Advance the commit index and output the newly committed entries."""
    if index <= state.commit_index:
        return
    entries = entries_between(state.log, state.commit_index + 1, index)
    state.commit_index = index
    state.outputs.append(Committed(entries))


def on_install_snapshot(state: Consensus, message: InstallSnapshot, now_s: float) -> None:
    """Install the leader's snapshot if it is ahead of the commit index."""
    if not _accept_leader(state, message, now_s):
        return
    snapshot = message.snapshot
    if snapshot.index > state.commit_index:
        state.log = log_from_snapshot(snapshot, _entries_after(state, message))
        state.commit_index = snapshot.index
        state.outputs.append(SaveSnapshot(snapshot, tuple(state.log.entries)))
        state.outputs.append(Restore(snapshot))
        state.role = follower_or_learner(state)
    _reply(state, message, True, max(state.commit_index, snapshot.index))


def _entries_after(state: Consensus, message: InstallSnapshot) -> list[LogEntry]:
    """Return the entries after the snapshot if the log contains its last entry, else none."""
    snapshot = message.snapshot
    if term_at(state.log, snapshot.index) != snapshot.term:
        return []
    return list(entries_between(state.log, snapshot.index + 1, last_index(state.log)))


def on_compact(state: Consensus, message: Compact, now_s: float) -> None:
    """Drop the log entries that a local snapshot covers."""
    snapshot = message.snapshot
    if snapshot.index <= state.log.base_index or snapshot.index > state.commit_index:
        return
    following_entries = list(entries_between(state.log, snapshot.index + 1, last_index(state.log)))
    state.log = log_from_snapshot(snapshot, following_entries)
    state.outputs.append(SaveSnapshot(snapshot, tuple(following_entries)))
