"""Filter that owns a registry's state of the upstreams and entries.

It merges announcements and departures of upstreams, sends the changes to the entries and the other
replicas, and acknowledges a change once the entries have applied it.
"""

from asyncio import Future
from collections import Counter
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import MemberState, ReplicaRole
from lycheefall._core.evacuations import Evacuations
from lycheefall._core.events import Event
from lycheefall._core.exceptions import RequestRefused
from lycheefall._core.ids import Address, Fingerprint, InstanceId, UpstreamId
from lycheefall._core.log import log
from lycheefall._core.messages.relay import (
    EntryRecord,
    EntryStatus,
    FetchFile,
    FileBody,
    PeerUpdate,
    ReplicaUpdate,
    ToRelay,
)
from lycheefall._core.pipeline import Inbox
from lycheefall._core.relay import UpstreamRecord
from lycheefall._registry import known_evacuations, upstream_reports
from lycheefall._registry.change_log import log_change
from lycheefall._registry.known_evacuations import KnownEvacuations
from lycheefall._registry.messages import (
    Announce,
    AwaitEvacuations,
    AwaitRevision,
    Depart,
    DirectoryQuery,
    FromEntry,
    RegistrarTick,
    ToRegistrar,
)
from lycheefall._registry.upstream_reports import UpstreamReports
from lycheefall._rules import crash_counts, record_table
from lycheefall._rules.crash_counts import CrashCounts
from lycheefall._rules.placing.upstream_notices import Start
from lycheefall._rules.record_table import RecordTable
from lycheefall._rules.replicated.newest_file import NewestFile

REGISTRAR_TICK_PERIOD_S = 0.05
# Maximum period between updates to an entry; they also serve as heartbeats of the connection.
UPDATE_PERIOD_S = 0.25
# Update period of the replica that distributes the loads of the entries.
LOADS_PERIOD_S = 0.1
# An entry without a status for this long is removed from the directory and not waited for.
ENTRY_TIMEOUT_S = 1.2
# The map coordinator is replaced after this time without a status, because a group that it holds
# makes no progress.
COORDINATOR_TIMEOUT_S = 0.6
# Below the 1 s after which calls of upstreams and operators time out.
MAX_WAIT_FOR_ENTRIES_S = 0.7
# Changes are resent to the other replicas for this long, because a connection may lose messages.
REPEAT_CHANGES_S = 5.0
REPEAT_PERIOD_S = 0.5

# Sends a message to the entry with a ZeroMQ routing id; returns False if it is not connected or its
# queue is full.
SendToEntry = Callable[[bytes, ToRelay], bool]
SendToPeers = Callable[[PeerUpdate], None]


class EntryLink(Struct, eq=False):
    """A connected entry, and the state last sent to it."""

    routing_id: bytes
    status: EntryStatus
    received_s: float
    opened_s: float
    # Whether an update follows the current batch of messages, even without changes.
    is_due: bool = False
    # Whether the previous update could not be sent; the next one follows after the period.
    is_blocked: bool = False
    # Whether the entry has requested the newest file.
    is_fetching: bool = False
    # Sequence of the latest update sent; the entry acknowledges the latest one that it has applied.
    last_sequence: int = 0
    sent_s: float = float("-inf")
    # Changes since that update.
    pending_records: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)
    pending_rates: set[Start] = field(default_factory=set)
    sent_voters: tuple[InstanceId, ...] = ()
    sent_entries: tuple[EntryRecord, ...] | None = None
    sent_revision: int = -1


class PendingReply(Struct, eq=False):
    """A future that is resolved once all entries meet a condition, or at the deadline."""

    done: Future[None]
    is_met: Callable[[EntryLink], bool]
    deadline_s: float


class Registrar(Struct, eq=False, kw_only=True):
    """State of the filter."""

    instance: InstanceId
    table: RecordTable = field(default_factory=RecordTable)
    entries: dict[InstanceId, EntryLink] = field(default_factory=dict)
    # The newest file that is committed and applied at this replica.
    file: NewestFile = NewestFile()
    evacuations: KnownEvacuations = field(default_factory=KnownEvacuations)
    voters: tuple[InstanceId, ...] = ()
    crashes: CrashCounts = field(default_factory=CrashCounts)
    reports: UpstreamReports = field(default_factory=UpstreamReports)
    pending_replies: list[PendingReply] = field(default_factory=list)
    is_leader: bool = False
    coordinator: InstanceId | None = None
    # When the recent changes were last resent to the other replicas.
    last_repeat_s: float = float("-inf")


async def run_registrar(
    state: Registrar,
    inbox: Inbox[ToRegistrar],
    to_entry: SendToEntry,
    to_peers: SendToPeers,
    now: Callable[[], float],
) -> None:
    """Process messages and send updates to the entries until cancelled.

    Each entry is sent one update for all changes of a batch of messages, so that the work for a
    change falls as more of them arrive at once.
    """
    while True:
        for message in await inbox.drain():
            _handle(state, message, to_peers, now())
        _send_due(state, to_entry, now())
        _resolve_pending(state, now())


def _handle(state: Registrar, message: ToRegistrar, to_peers: SendToPeers, now_s: float) -> None:
    match message:
        case Announce() | Depart() if not _has_room(state, message):
            if not message.acknowledged.done():
                detail = "the table of upstreams is full"
                message.acknowledged.set_exception(RequestRefused(ResultCode.OVERLOADED, detail))
        case Announce(record, acknowledged):
            if record_table.merge(state.table, record, now_s):
                log_change(record)
                to_peers(PeerUpdate((record,)))
                _publish_change(state, record, acknowledged, now_s)
            else:
                _resolve(acknowledged)
        case Depart(upstream, start_time_ms, acknowledged):
            departed = record_table.mark_departed(state.table, upstream, start_time_ms, now_s)
            if departed is None:
                _resolve(acknowledged)
            else:
                log_change(departed)
                to_peers(PeerUpdate((departed,)))
                _publish_change(state, departed, acknowledged, now_s)
        case PeerUpdate(records):
            for each in records:
                if record_table.merge(state.table, each, now_s):
                    _queue_record(state, each)
        case FromEntry(routing_id, EntryStatus() as status):
            _on_status(state, routing_id, status, now_s)
        case FromEntry(routing_id, FetchFile()):
            for link in state.entries.values():
                link.is_fetching |= link.routing_id == routing_id
        case DirectoryQuery(addresses):
            if not addresses.done():
                addresses.set_result(_ready_addresses(state, now_s))
        case AwaitRevision(revision, done):
            _await_entries(state, done, lambda link: link.status.revision >= revision, now_s)
        case AwaitEvacuations(version, done):
            _await_entries(
                state, done, lambda link: known_evacuations.complies(link.status, version), now_s
            )
        case ReplicaView():
            state.voters = message.voters
            known_evacuations.on_replica_view(state.evacuations, message)
            state.is_leader = message.role is ReplicaRole.LEADER
        case AppliedView():
            is_news = known_evacuations.on_applied_view(state.evacuations, message)
            if message.newest_file.number > state.file.number:
                state.file = message.newest_file
            if is_news:
                for link in state.entries.values():
                    link.is_due = True
        case RegistrarTick():
            _on_tick(state, to_peers, now_s)


def _has_room(state: Registrar, message: Announce | Depart) -> bool:
    upstream = message.upstream if isinstance(message, Depart) else message.record.upstream
    return record_table.has_room(state.table, upstream)


def _on_tick(state: Registrar, to_peers: SendToPeers, now_s: float) -> None:
    """Drop silent entries, mark due updates, and resend recent changes to the replicas."""
    links = state.entries.values()
    has_loads = any(link.status.in_flight is not None for link in links)
    period_s = LOADS_PERIOD_S if has_loads else UPDATE_PERIOD_S
    for entry, link in list(state.entries.items()):
        if now_s - link.received_s > ENTRY_TIMEOUT_S:
            del state.entries[entry]
            log(Event.ENTRY_LOST, entry=entry, silent_s=round(now_s - link.received_s, 3))
        elif now_s - link.sent_s >= period_s:
            link.is_due = True
            link.is_blocked = False
    if now_s - state.last_repeat_s >= REPEAT_PERIOD_S:
        state.last_repeat_s = now_s
        record_table.drop_departed(state.table, now_s)
        upstream_reports.forget_rates(state.reports, state.table)
        changed = tuple(
            entry.record
            for entry in state.table.entries.values()
            if now_s - entry.changed_s < REPEAT_CHANGES_S
        )
        if changed:
            to_peers(PeerUpdate(record_table.aged(state.table, changed, now_s)))


def _on_status(state: Registrar, routing_id: bytes, status: EntryStatus, now_s: float) -> None:
    """Store the status of an entry; a new or restarted one is sent all records."""
    for crash in status.crashes:
        crash_counts.record(state.crashes, crash, now_s)
    for start in upstream_reports.record_rates(state.reports, status.rate_limits, now_s):
        for each in state.entries.values():
            each.pending_rates.add(start)
    if upstream_reports.record_crashes(state.reports, status, now_s):
        # The next crash may be milliseconds away.
        for each in state.entries.values():
            each.is_due = True
    link = state.entries.get(status.entry)
    if (
        link is None
        or link.routing_id != routing_id
        or link.status.incarnation != status.incarnation
    ):
        if link is None:
            log(Event.ENTRY_SEEN, entry=status.entry, address=status.address)
        link = state.entries[status.entry] = EntryLink(routing_id, status, now_s, now_s)
        link.pending_records = {each.upstream: each for each in record_table.records(state.table)}
        link.pending_rates = set(state.reports.rates)
        link.is_due = True
    link.status = status
    link.received_s = now_s


def _publish_change(
    state: Registrar, record: UpstreamRecord, acknowledged: Future[None], now_s: float
) -> None:
    """Send a change to the entries, and acknowledge it once all connected ones have applied it."""
    _queue_record(state, record)
    required = {link.status.entry: link.last_sequence + 1 for link in state.entries.values()}
    _await_entries(
        state,
        acknowledged,
        lambda link: link.status.acknowledged_sequence >= required.get(link.status.entry, 0),
        now_s,
    )


def _await_entries(
    state: Registrar, done: Future[None], is_met: Callable[[EntryLink], bool], now_s: float
) -> None:
    state.pending_replies.append(PendingReply(done, is_met, now_s + MAX_WAIT_FOR_ENTRIES_S))


def _resolve_pending(state: Registrar, now_s: float) -> None:
    """Resolve the pending replies whose condition is met or whose deadline has passed."""
    for pending in list(state.pending_replies):
        if now_s >= pending.deadline_s or all(map(pending.is_met, state.entries.values())):
            state.pending_replies.remove(pending)
            _resolve(pending.done)


def _resolve(done: Future[None]) -> None:
    if not done.done():
        done.set_result(None)


def _queue_record(state: Registrar, record: UpstreamRecord) -> None:
    """Add a record to the next update of each entry."""
    for link in state.entries.values():
        link.pending_records[record.upstream] = record


def _send_due(state: Registrar, to_entry: SendToEntry, now_s: float) -> None:
    """Send the updates and files that are due."""
    for link in state.entries.values():
        if link.is_fetching:
            link.is_fetching = False
            # An entry that doesn't get the file requests it again.
            to_entry(link.routing_id, FileBody(state.file.number, state.file.packed))
        has_changes = link.pending_records or link.sent_revision != state.file.number
        if (link.is_due or has_changes) and not link.is_blocked:
            _send_update(state, link, to_entry, now_s)


def _send_update(state: Registrar, link: EntryLink, to_entry: SendToEntry, now_s: float) -> None:
    """Send what has changed for an entry since the previous update, and the current loads.

    If it can't be sent, the changes stay pending.
    """
    same_voters = link.sent_voters == state.voters
    other_entries = _other_entries(state, link.status.entry)
    same_entries = link.sent_entries == other_entries
    is_sent = to_entry(
        link.routing_id,
        ReplicaUpdate(
            link.last_sequence + 1,
            state.instance,
            state.file.number,
            record_table.aged(state.table, link.pending_records.values(), now_s),
            () if same_voters else state.voters,
            None if same_entries else other_entries,
            _others_in_flight(state, link.status.entry),
            _refused(state, now_s),
            _select_coordinator(state, now_s),
            tuple(rank for each in state.entries.values() for rank in each.status.slow_ranks),
            upstream_reports.part_verdicts(state.reports, now_s),
            upstream_reports.lost(state.reports, now_s),
            upstream_reports.shared_rates(state.reports, link.pending_rates, now_s),
            _new_evacuations(state, link, now_s),
        ),
    )
    link.is_due = False
    link.is_blocked = not is_sent
    link.sent_s = now_s
    if not is_sent:
        return
    link.last_sequence += 1
    link.sent_revision = state.file.number
    link.sent_voters = state.voters
    link.sent_entries = other_entries
    link.pending_records = {}
    link.pending_rates = set()


def _new_evacuations(state: Registrar, link: EntryLink, now_s: float) -> Evacuations | None:
    known = state.evacuations
    return known_evacuations.news_for(known, link.status, now_s - link.opened_s, now_s)


def _other_entries(state: Registrar, entry: InstanceId) -> tuple[EntryRecord, ...]:
    return tuple(
        EntryRecord(link.status.entry, link.status.data_centre, link.status.state)
        for link in state.entries.values()
        if link.status.entry != entry
    )


def _others_in_flight(state: Registrar, entry: InstanceId) -> dict[UpstreamId, int] | None:
    """Return the total attempts in flight at all other entries, or None if none reported them."""
    reported = [
        link.status.in_flight
        for link in state.entries.values()
        if link.status.entry != entry and link.status.in_flight is not None
    ]
    if not reported:
        return None
    totals: Counter[UpstreamId] = Counter()
    for each in reported:
        totals.update(each)
    return dict(totals)


def _refused(state: Registrar, now_s: float) -> tuple[Fingerprint, ...]:
    return crash_counts.refused_fingerprints(state.crashes, now_s)


def _select_coordinator(state: Registrar, now_s: float) -> InstanceId | None:
    """Return the map coordinator, or None if this replica is not the leader.

    The coordinator stays the same entry while it is ready.
    """
    if not state.is_leader:
        state.coordinator = None
        return None
    ready = {
        link.status.entry
        for link in _ready_entries(state, now_s)
        if now_s - link.received_s <= COORDINATOR_TIMEOUT_S
    }
    if state.coordinator not in ready:
        state.coordinator = min(ready, default=None)
    return state.coordinator


def _ready_entries(state: Registrar, now_s: float) -> list[EntryLink]:
    return [
        link
        for link in state.entries.values()
        if link.status.state is MemberState.READY and now_s - link.received_s <= ENTRY_TIMEOUT_S
    ]


def _ready_addresses(state: Registrar, now_s: float) -> tuple[Address, ...]:
    return tuple(link.status.address for link in _ready_entries(state, now_s))
