"""Filter that owns what a registry knows of upstreams and entries."""

from asyncio import Future
from collections import Counter
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._core.enums import MemberState, ReplicaRole
from lycheefall._core.events import Event
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
from lycheefall._registry.messages import (
    Announce,
    AwaitRevision,
    Depart,
    DirectoryQuery,
    FromEntry,
    RegistrarTick,
    ToRegistrar,
)
from lycheefall._rules import crash_counts, record_table
from lycheefall._rules.crash_counts import CrashCounts
from lycheefall._rules.record_table import RecordTable
from lycheefall._rules.replicated.newest_file import NewestFile

REGISTRAR_TICK_PERIOD_S = 0.05
# Entries are told something at least this often, which also shows that the connection works.
UPDATE_PERIOD_S = 0.25
# The replica that knows the loads of the entries spreads them this often.
LOADS_PERIOD_S = 0.1
# An entry that is silent for this long is left out of the directory and not waited for.
ENTRY_TIMEOUT_S = 1.2
# The coordinator of expert maps is replaced after this time: a group that it held stands still.
COORDINATOR_TIMEOUT_S = 0.6
# Upstreams and operators give up on a call after 1 s.
MAX_WAIT_FOR_ENTRIES_S = 0.7
# What changed in this time is repeated to the other replicas, as a connection may lose messages.
REPEAT_CHANGES_S = 5.0
REPEAT_PERIOD_S = 0.5

SendToEntry = Callable[[bytes, ToRelay], None]
SendToPeers = Callable[[PeerUpdate], None]


class EntryLink(Struct, eq=False):
    """An entry that is connected, and what it was told."""

    peer: bytes
    status: EntryStatus
    received_s: float
    # Of the latest message; the entry answers with the number of the latest that took effect.
    last_sequence: int = 0
    sent_s: float = float("-inf")
    pending_records: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)
    sent_replicas: tuple[InstanceId, ...] = ()
    sent_entries: tuple[EntryRecord, ...] | None = None
    sent_revision: int = -1


class PendingReply(Struct, eq=False):
    """Someone who waits for the entries, the condition for each, and the time to give up."""

    done: Future[None]
    is_met: Callable[[EntryLink], bool]
    deadline_s: float


class Registrar(Struct, eq=False, kw_only=True):
    """What a registry knows."""

    instance: InstanceId
    table: RecordTable = field(default_factory=RecordTable)
    entries: dict[InstanceId, EntryLink] = field(default_factory=dict)
    file: NewestFile = NewestFile()
    replicas: tuple[InstanceId, ...] = ()
    crashes: CrashCounts = field(default_factory=CrashCounts)
    pending_replies: list[PendingReply] = field(default_factory=list)
    is_leader: bool = False
    coordinator: InstanceId | None = None
    last_repeat_s: float = float("-inf")


async def run_registrar(
    state: Registrar,
    inbox: Inbox[ToRegistrar],
    to_entry: SendToEntry,
    to_peers: SendToPeers,
    now: Callable[[], float],
) -> None:
    """Own the tables: take what is heard and tell the entries."""
    while True:
        for message in await inbox.drain():
            _handle(state, message, to_entry, to_peers, now())
        _resolve_pending(state, now())


def _handle(
    state: Registrar,
    message: ToRegistrar,
    to_entry: SendToEntry,
    to_peers: SendToPeers,
    now_s: float,
) -> None:
    match message:
        case Announce(record, acknowledged):
            if record_table.merge(state.table, record, now_s):
                _log_change(record)
                to_peers(PeerUpdate((record,)))
                _publish_change(state, record, acknowledged, to_entry, now_s)
            else:
                _resolve(acknowledged)
        case Depart(upstream, start_time_ms, acknowledged):
            departed = record_table.mark_departed(state.table, upstream, start_time_ms, now_s)
            if departed is None:
                _resolve(acknowledged)
            else:
                _log_change(departed)
                to_peers(PeerUpdate((departed,)))
                _publish_change(state, departed, acknowledged, to_entry, now_s)
        case PeerUpdate(heard):
            for each in heard:
                if record_table.merge(state.table, each, now_s):
                    _queue_record(state, each)
            _send_updates(state, to_entry, now_s)
        case FromEntry(peer, EntryStatus() as status):
            _on_status(state, peer, status, to_entry, now_s)
        case FromEntry(peer, FetchFile()):
            to_entry(peer, FileBody(state.file.number, state.file.packed))
        case DirectoryQuery(addresses):
            if not addresses.done():
                addresses.set_result(_ready_addresses(state, now_s))
        case AwaitRevision(number, in_force):
            _await_entries(state, in_force, lambda link: link.status.revision >= number, now_s)
        case ReplicaView():
            state.replicas = message.voters
            state.is_leader = message.role is ReplicaRole.LEADER
        case AppliedView():
            if message.newest_file.number > state.file.number:
                state.file = message.newest_file
                _send_updates(state, to_entry, now_s)
        case RegistrarTick():
            _on_tick(state, to_entry, to_peers, now_s)


def _on_tick(state: Registrar, to_entry: SendToEntry, to_peers: SendToPeers, now_s: float) -> None:
    links = state.entries.values()
    has_loads = any(link.status.in_flight is not None for link in links)
    period_s = LOADS_PERIOD_S if has_loads else UPDATE_PERIOD_S
    for entry, link in list(state.entries.items()):
        if now_s - link.received_s > ENTRY_TIMEOUT_S:
            del state.entries[entry]
            log(Event.ENTRY_LOST, entry=entry, silent_s=round(now_s - link.received_s, 3))
        elif now_s - link.sent_s >= period_s:
            _send_update(state, link, to_entry, now_s)
    if now_s - state.last_repeat_s >= REPEAT_PERIOD_S:
        state.last_repeat_s = now_s
        record_table.drop_departed(state.table, now_s)
        changed = tuple(
            held.record
            for held in state.table.entries.values()
            if now_s - held.changed_s < REPEAT_CHANGES_S
        )
        if changed:
            to_peers(PeerUpdate(changed))


def _on_status(
    state: Registrar, peer: bytes, status: EntryStatus, to_entry: SendToEntry, now_s: float
) -> None:
    for crash in status.crashes:
        crash_counts.record(state.crashes, crash, now_s)
    link = state.entries.get(status.entry)
    if link is None or link.peer != peer or link.status.incarnation != status.incarnation:
        if link is None:
            log(Event.ENTRY_SEEN, entry=status.entry, address=status.address)
        link = state.entries[status.entry] = EntryLink(peer, status, now_s)
        link.pending_records = {each.upstream: each for each in record_table.records(state.table)}
        _send_update(state, link, to_entry, now_s)
    link.status = status
    link.received_s = now_s


def _publish_change(
    state: Registrar,
    record: UpstreamRecord,
    acknowledged: Future[None],
    to_entry: SendToEntry,
    now_s: float,
) -> None:
    """Tell the entries of a change, and answer once all that are connected know it."""
    _queue_record(state, record)
    _send_updates(state, to_entry, now_s)
    required = {link.status.entry: link.last_sequence for link in state.entries.values()}
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
    """Answer those who wait for entries that all know now, or for too long."""
    for pending in list(state.pending_replies):
        if now_s >= pending.deadline_s or all(map(pending.is_met, state.entries.values())):
            state.pending_replies.remove(pending)
            _resolve(pending.done)


def _resolve(done: Future[None]) -> None:
    if not done.done():
        done.set_result(None)


def _queue_record(state: Registrar, record: UpstreamRecord) -> None:
    for link in state.entries.values():
        link.pending_records[record.upstream] = record


def _send_updates(state: Registrar, to_entry: SendToEntry, now_s: float) -> None:
    for link in state.entries.values():
        if link.pending_records or link.sent_revision != state.file.number:
            _send_update(state, link, to_entry, now_s)


def _send_update(state: Registrar, link: EntryLink, to_entry: SendToEntry, now_s: float) -> None:
    link.last_sequence += 1
    link.sent_s = now_s
    link.sent_revision = state.file.number
    is_known = link.sent_replicas == state.replicas
    link.sent_replicas = state.replicas
    others = _others(state, link.status.entry)
    are_known = link.sent_entries == others
    link.sent_entries = others
    to_entry(
        link.peer,
        ReplicaUpdate(
            link.last_sequence,
            state.instance,
            state.file.number,
            tuple(link.pending_records.values()),
            () if is_known else state.replicas,
            None if are_known else others,
            _others_in_flight(state, link.status.entry),
            _refused(state, now_s),
            _coordinator(state, now_s),
        ),
    )
    link.pending_records = {}


def _others(state: Registrar, entry: InstanceId) -> tuple[EntryRecord, ...]:
    return tuple(
        EntryRecord(link.status.entry, link.status.data_centre, link.status.state)
        for link in state.entries.values()
        if link.status.entry != entry
    )


def _others_in_flight(state: Registrar, entry: InstanceId) -> dict[UpstreamId, int] | None:
    """Return what all other entries have in flight together, if any of them told."""
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
    return crash_counts.refused(state.crashes, now_s)


def _coordinator(state: Registrar, now_s: float) -> InstanceId | None:
    """Name the same entry as long as it is ready, as the leader."""
    if not state.is_leader:
        state.coordinator = None
        return None
    ready = {
        link.status.entry
        for link in _ready(state, now_s)
        if now_s - link.received_s <= COORDINATOR_TIMEOUT_S
    }
    if state.coordinator not in ready:
        state.coordinator = min(ready, default=None)
    return state.coordinator


def _ready(state: Registrar, now_s: float) -> list[EntryLink]:
    return [
        link
        for link in state.entries.values()
        if link.status.state is MemberState.READY and now_s - link.received_s <= ENTRY_TIMEOUT_S
    ]


def _ready_addresses(state: Registrar, now_s: float) -> tuple[Address, ...]:
    return tuple(link.status.address for link in _ready(state, now_s))


def _log_change(record: UpstreamRecord) -> None:
    match record.state:
        case MemberState.DRAINING:
            event = Event.UPSTREAM_DRAINING
        case MemberState.FAILED:
            event = Event.UPSTREAM_LEFT
        case _:
            event = Event.UPSTREAM_SEEN
    log(
        event,
        upstream=record.upstream,
        pool=record.pool,
        address=record.address,
        state=record.state.value,
        born_ms=record.start_time_ms,
        sequence=record.sequence,
    )
