"""Filter that owns the connections of an entry to all control replicas.

It reports the status of the entry, passes updates on to the dispatcher, and fetches new files.
"""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._core.enums import MemberState
from lycheefall._core.events import Event
from lycheefall._core.exceptions import LycheefallError
from lycheefall._core.ids import Address, DataCentreId, Incarnation, InstanceId, Revision
from lycheefall._core.log import log
from lycheefall._core.messages.relay import (
    EntryStatus,
    FetchFile,
    FileBody,
    ReplicaUpdate,
    SlowRank,
    ToRelay,
)
from lycheefall._core.pipeline import Inbox
from lycheefall._core.process import boot_time_s
from lycheefall._core.relay import RelayConfiguration
from lycheefall._relay.dispatch import DispatchSnapshot
from lycheefall._relay.messages import ApplyConfiguration, ReportEvidence, ToDispatch
from lycheefall._wire.codec import DecodeError, encode
from lycheefall._wire.file_compression import decompress_file
from lycheefall._wire.relay_codec import decode_to_relay
from lycheefall._wire.zmq_sockets import DealerSocket

STATUS_PERIOD_S = 0.25
# Status period for the replica that distributes the loads of the entries.
LOADS_PERIOD_S = 0.1
# A connection without a message for this long is closed and replaced.
REPLICA_TIMEOUT_S = 1.0
# Minimum time between two reports of evidence; what arrives meanwhile goes into one report.
EVIDENCE_PERIOD_S = 0.01
# An entry stops being the map coordinator if the leader does not confirm it for this long.
COORDINATOR_LEASE_S = 1.0
# Time for which an entry without a configuration waits for a majority of the voters: one replica
# that is cut off may hold a file in which a key was not yet withdrawn.
MAJORITY_WAIT_S = 1.0
# Time without a response after which the configuration file is requested again.
FETCH_RETRY_S = 0.3


class Link(Struct, eq=False):
    """Connection to one replica."""

    socket: DealerSocket
    opened_s: float
    received_s: float = float("-inf")
    # Sequence of the latest update of the replica that was applied.
    acknowledged_sequence: int = 0
    # Whether an update was lost. Later ones don't repeat it, so none is acknowledged any more, and
    # a new connection gets the complete state.
    has_gap: bool = False


class ControlLink(Struct, eq=False, kw_only=True):
    """State of the filter."""

    entry: InstanceId
    incarnation: Incarnation
    address: Address
    data_centre: DataCentreId
    seeds: Callable[[], tuple[InstanceId, ...]]
    # Maps the id of a replica to the address where it listens for entries.
    entry_address: Callable[[InstanceId], Address]
    decode_file: Callable[[bytes], RelayConfiguration]
    dispatch_snapshot: Callable[[], DispatchSnapshot]
    dispatch: Inbox[ToDispatch]
    now: Callable[[], float]
    # Makes a configuration available to new requests.
    publish_configuration: Callable[[RelayConfiguration], None]
    links: dict[InstanceId, Link] = field(default_factory=dict)
    voters_by_replica: dict[InstanceId, tuple[InstanceId, ...]] = field(default_factory=dict)
    # Returns the slow ranks that this entry knows as the map coordinator.
    slow_ranks: Callable[[], tuple[SlowRank, ...]] = tuple
    # State of this entry.
    member_state: MemberState = MemberState.STARTING
    # Revision of the active configuration.
    revision: Revision = Revision(0)
    # The highest revision that any replica announced, and the time of the last request for it.
    newest_revision: Revision = Revision(0)
    fetched_s: float = float("-inf")
    # When the first update arrived; None before.
    first_update_s: float | None = None
    # Replicas that have sent a message and have not timed out since.
    reachable: set[InstanceId] = field(default_factory=set)
    # End of this entry's lease as the map coordinator, by a clock that includes time in suspend.
    coordinator_until_s: float = float("-inf")
    boot_now: Callable[[], float] = boot_time_s
    # Receives a message when a crash has to be reported at once.
    evidence: Inbox[ReportEvidence] = field(default_factory=lambda: Inbox(1))
    # When evidence was last reported.
    reported_s: float = float("-inf")


async def run_control_link(state: ControlLink) -> None:
    """Maintain the connections and send the status periodically until cancelled."""
    try:
        while True:
            _maintain_links(state)
            send_status_to_all(state)
            until_s = state.now() + STATUS_PERIOD_S
            while state.now() < until_s - LOADS_PERIOD_S:
                if await _wait_for_evidence(state, LOADS_PERIOD_S):
                    send_status_to_all(state)
                elif (distributor := _load_distributor(state)) is not None:
                    _send_status_to(state, distributor)
            await _wait_for_evidence(state, max(0.0, until_s - state.now()))
    finally:
        for link in state.links.values():
            link.socket.close()


async def _wait_for_evidence(state: ControlLink, timeout_s: float) -> bool:
    """Wait for new evidence; return whether there is any before the timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(state.reported_s + EVIDENCE_PERIOD_S - state.now())
            await state.evidence.drain()
    except TimeoutError:
        return False
    state.reported_s = state.now()
    return True


def send_status_to_all(state: ControlLink) -> None:
    """Send the status of this entry to all replicas."""
    for replica in list(state.links):
        _send_status_to(state, replica)


def _load_distributor(state: ControlLink) -> InstanceId | None:
    """Return the replica that distributes the loads; all entries select the same one.

    There is none while the settings name no replica.
    """
    return min(state.reachable or state.links, default=None)


def _send_status_to(state: ControlLink, replica: InstanceId) -> None:
    link = state.links[replica]
    snapshot = state.dispatch_snapshot()
    is_distributor = replica == _load_distributor(state)
    status = EntryStatus(
        state.entry,
        state.incarnation,
        state.address,
        state.data_centre,
        state.member_state,
        state.revision,
        link.acknowledged_sequence,
        snapshot.in_flight if is_distributor else None,
        snapshot.crashes,
        state.slow_ranks(),
        snapshot.sound_parts,
        snapshot.part_trials,
        snapshot.rate_limits,
        snapshot.evacuations_version,
    )
    link.socket.send(encode(status))


def _maintain_links(state: ControlLink) -> None:
    """Connect to new replicas, and replace connections that have timed out."""
    now_s = state.now()
    for replica in _required_replicas(state):
        link = state.links.get(replica)
        if link is None:
            _open_link(state, replica)
        elif now_s - max(link.received_s, link.opened_s) > REPLICA_TIMEOUT_S:
            if replica in state.reachable:
                state.reachable.discard(replica)
                log(Event.CONTROL_LOST, replica=replica, silent_s=round(now_s - link.received_s, 3))
            link.socket.close()
            _open_link(state, replica)
        elif link.has_gap:
            link.socket.close()
            _open_link(state, replica)


def _required_replicas(state: ControlLink) -> set[InstanceId]:
    replicas = set(state.seeds())
    for voters in state.voters_by_replica.values():
        replicas.update(voters)
    return replicas


def _open_link(state: ControlLink, replica: InstanceId) -> None:
    def receive(payload: bytes) -> None:
        try:
            message = decode_to_relay(payload)
        except DecodeError as error:
            log(Event.MESSAGE_DROPPED, source=replica, detail=str(error))
            return
        if state.links.get(replica) is link:
            on_message(state, replica, link, message)

    link = Link(DealerSocket(state.entry_address(replica), receive), state.now())
    state.links[replica] = link


def on_message(state: ControlLink, replica: InstanceId, link: Link, message: ToRelay) -> None:
    """Process a message of a replica."""
    link.received_s = state.now()
    if replica not in state.reachable:
        state.reachable.add(replica)
        log(Event.CONTROL_REACHED, replica=replica)
    match message:
        case ReplicaUpdate():
            _on_update(state, replica, link, message)
        case FileBody():
            _on_file(state, replica, message)


def _on_update(state: ControlLink, replica: InstanceId, link: Link, update: ReplicaUpdate) -> None:
    """Pass an update on to the dispatcher, and fetch the file that it announces."""
    if link.has_gap:
        return
    if not state.dispatch.offer(update):
        link.has_gap = True
        log(Event.MESSAGE_DROPPED, source=replica, detail="the dispatcher's inbox is full")
        return
    link.acknowledged_sequence = update.sequence
    if update.coordinator is not None:
        is_coordinator = update.coordinator == state.entry
        state.coordinator_until_s = (
            state.boot_now() + COORDINATOR_LEASE_S if is_coordinator else float("-inf")
        )
    if update.replicas:
        state.voters_by_replica[replica] = update.replicas
    if state.first_update_s is None:
        state.first_update_s = state.now()
    state.newest_revision = max(state.newest_revision, update.revision)
    if update.revision == state.newest_revision and _may_use_newest(state):
        _fetch_file(state, link)
    if update.records:
        # The replica waits for this acknowledgement before it replies to the upstream.
        _send_status_to(state, replica)


def _may_use_newest(state: ControlLink) -> bool:
    """Return whether the newest announced file may be used.

    The first one is used once a majority of the voters has announced its file, or after a while.
    """
    if state.revision or state.first_update_s is None:
        return True
    if state.now() - state.first_update_s >= MAJORITY_WAIT_S:
        return True
    return all(
        2 * len(state.reachable.intersection(voters)) > len(voters)
        for voters in state.voters_by_replica.values()
    )


def _fetch_file(state: ControlLink, link: Link) -> None:
    """Request the newest file, unless it is applied or was requested recently."""
    now_s = state.now()
    if state.newest_revision > state.revision and now_s - state.fetched_s > FETCH_RETRY_S:
        state.fetched_s = now_s
        link.socket.send(encode(FetchFile(state.newest_revision)))


def _on_file(state: ControlLink, replica: InstanceId, message: FileBody) -> None:
    """Decode a fetched file and make its configuration active, if it is newer.

    If the dispatcher has no room for it, it is fetched again.
    """
    state.fetched_s = float("-inf")
    if message.revision <= state.revision:
        return
    try:
        configuration = state.decode_file(decompress_file(message.packed))
    except DecodeError as error:
        log(Event.MESSAGE_DROPPED, source=replica, detail=str(error))
        return
    except LycheefallError as error:
        log(Event.FILE_REFUSED, code=int(error.code), detail=error.detail)
        return
    if not state.dispatch.offer(ApplyConfiguration(configuration)):
        state.fetched_s = state.now()
        log(Event.MESSAGE_DROPPED, source=replica, detail="the dispatcher's inbox is full")
        return
    state.revision = message.revision
    state.publish_configuration(configuration)
    log(
        Event.CONFIGURATION_IN_FORCE,
        revision=message.revision,
        replica=replica,
        routes=len(configuration.routes),
        # None if requests need no key.
        teams=None if configuration.teams is None else len(configuration.teams),
    )
    send_status_to_all(state)
    _fetch_file(state, state.links[replica])


def may_coordinate(state: ControlLink) -> bool:
    """Return whether this entry is the map coordinator."""
    has_lease = state.boot_now() < state.coordinator_until_s
    return has_lease and state.member_state is MemberState.READY
