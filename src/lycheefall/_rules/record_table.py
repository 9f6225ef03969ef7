"""Merge announcements into a table of upstreams; the latest record of the latest start wins.

Announcements may arrive seconds late, in any order, through any replica of control, and after their
sender has crashed and another upstream has taken over its address. All tables that merge the same
announcements hold the same records, whatever the order.
"""

from collections.abc import Collection, Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from lycheefall._core.enums import MemberState
from lycheefall._core.ids import Address, DataCentreId, PoolId, UpstreamId
from lycheefall._core.relay import UpstreamRecord

# Retention of the records of departed upstreams, well above the delay of a late announcement.
DEPARTED_RETENTION_S = 120.0
# An announcement counts down the time until the upstream is warm. A later end of that time by more
# than this is a change; less is the delay of the announcement.
COLD_TOLERANCE_S = 0.5
# Several times the upstreams of the largest deployment, with those that have left recently.
MAX_RECORDS = 5_000


class TableEntry(Struct):
    """A record and the time at which it last changed."""

    record: UpstreamRecord
    changed_s: float
    # When the upstream has warmed up.
    cold_until_s: float = float("-inf")


class RecordTable(Struct, eq=False):
    """All records, including those of departed upstreams."""

    entries: dict[UpstreamId, TableEntry] = field(default_factory=dict)


def has_room(table: RecordTable, upstream: UpstreamId) -> bool:
    """Return whether a record of this upstream can be merged."""
    return upstream in table.entries or len(table.entries) < MAX_RECORDS


def merge(table: RecordTable, record: UpstreamRecord, now_s: float) -> bool:
    """Merge a record, and return whether anything but its sequence changed.

    A remaining cold time that only counts down is no change. A record without room is left out.
    """
    cold_until_s = now_s + record.cold_s if record.cold_s > 0.0 else float("-inf")
    entry = table.entries.get(record.upstream)
    if entry is None:
        if not has_room(table, record.upstream):
            return False
        table.entries[record.upstream] = TableEntry(record, now_s, cold_until_s)
        return True
    if record.state is MemberState.FAILED and record.start_time_ms == 0:
        # A departure without a start time applies to the latest known start.
        record = replace(entry.record, state=MemberState.FAILED)
    is_new_start = record.start_time_ms != entry.record.start_time_ms
    if _sort_key(record) <= _sort_key(entry.record):
        return False
    is_change = replace(record, sequence=0, cold_s=0.0) != replace(
        entry.record, sequence=0, cold_s=0.0
    )
    known_until_s = max(now_s, entry.cold_until_s)
    is_change = is_change or cold_until_s > known_until_s + COLD_TOLERANCE_S
    # An entry may not have been told of an earlier end, so that all keep the latest one.
    entry.cold_until_s = cold_until_s if is_new_start else max(cold_until_s, entry.cold_until_s)
    entry.record = record
    if is_change:
        entry.changed_s = now_s
    return is_change


def mark_departed(
    table: RecordTable, upstream: UpstreamId, start_time_ms: int, now_s: float
) -> UpstreamRecord | None:
    """Merge the departure of an upstream, and return its record if that is a change.

    With a `start_time_ms` of 0 the departure applies to the latest known start.
    """
    departed = _departed_record(upstream, start_time_ms)
    entry = table.entries.get(upstream)
    if entry is not None and start_time_ms == entry.record.start_time_ms:
        departed = replace(entry.record, state=MemberState.FAILED)
    return departed if merge(table, departed, now_s) else None


def drop_departed(table: RecordTable, now_s: float) -> None:
    """Remove the records of upstreams that departed or were replaced before the retention time.

    An upstream that crashes says nothing; its successor at the address may have another id.
    """
    latest: dict[tuple[PoolId, Address], TableEntry] = {}
    for entry in table.entries.values():
        place = (entry.record.pool, entry.record.address)
        latest[place] = max(
            latest.get(place, entry), entry, key=lambda each: _start_key(each.record)
        )
    for upstream, entry in list(table.entries.items()):
        successor = latest[entry.record.pool, entry.record.address]
        if entry.record.state is MemberState.FAILED:
            gone_s = entry.changed_s
        elif successor is not entry:
            gone_s = successor.changed_s
        else:
            continue
        if now_s - gone_s > DEPARTED_RETENTION_S:
            del table.entries[upstream]


def records(table: RecordTable) -> tuple[UpstreamRecord, ...]:
    """Return all records."""
    return tuple(entry.record for entry in table.entries.values())


def aged(
    table: RecordTable, received: Iterable[UpstreamRecord], now_s: float
) -> tuple[UpstreamRecord, ...]:
    """Return records with the cold time that remains now."""
    return tuple(
        replace(each, cold_s=cold_remaining_s(table, each, now_s)) if each.cold_s > 0.0 else each
        for each in received
    )


def cold_remaining_s(table: RecordTable, record: UpstreamRecord, now_s: float) -> float:
    """Return the time until an upstream has warmed up; 0 if it is warm or another start."""
    entry = table.entries.get(record.upstream)
    if entry is None or entry.record.start_time_ms != record.start_time_ms:
        return 0.0
    return max(0.0, entry.cold_until_s - now_s)


def usable(
    table: RecordTable, pools: Collection[PoolId] | None = None
) -> tuple[UpstreamRecord, ...]:
    """Return the upstreams that are ready and have the latest start at their address.

    Only records of these pools count, if any are given: another writer's record of an unknown pool
    must not take over the address of an upstream.
    """
    latest: dict[Address, UpstreamRecord] = {}
    for entry in table.entries.values():
        record = entry.record
        if pools is not None and record.pool not in pools:
            continue
        other = latest.get(record.address)
        if other is None or _start_key(other) < _start_key(record):
            latest[record.address] = record
    return tuple(each for each in latest.values() if each.state is MemberState.READY)


def _departed_record(upstream: UpstreamId, start_time_ms: int) -> UpstreamRecord:
    """Return the record of a departed upstream that was not announced before."""
    no_data_centre = DataCentreId("")
    return UpstreamRecord(
        upstream, PoolId(""), Address(""), no_data_centre, 0, MemberState.FAILED, 0, start_time_ms
    )


def _sort_key(record: UpstreamRecord) -> tuple[int, bool, int]:
    """Return the sort key of a record; a departure is the last record of a start."""
    return record.start_time_ms, record.state is MemberState.FAILED, record.sequence


def _start_key(record: UpstreamRecord) -> tuple[int, UpstreamId]:
    """Return the sort key of starts at one address; the id makes ties the same in all tables."""
    return record.start_time_ms, record.upstream
