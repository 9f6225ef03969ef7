"""Filter that owns the connections of an entry to all control replicas."""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._core.enums import MemberState
from lycheefall._core.events import Event
from lycheefall._core.exceptions import LycheefallError
from lycheefall._core.ids import Address, DataCentreId, Incarnation, InstanceId, Revision
from lycheefall._core.log import log
from lycheefall._core.messages.relay import EntryStatus, FetchFile, FileBody, ReplicaUpdate, ToRelay
from lycheefall._core.pipeline import Inbox
from lycheefall._core.process import boot_time_s
from lycheefall._core.relay import RelayConfiguration
from lycheefall._relay.dispatch import Known
from lycheefall._relay.messages import InForce, ToDispatch
from lycheefall._wire.codec import DecodeError, encode
from lycheefall._wire.file_compression import decompress_file
from lycheefall._wire.relay_codec import decode_to_relay
from lycheefall._wire.zmq_sockets import DealerSocket

STATUS_PERIOD_S = 0.25
# The replica that spreads the loads of the entries is told more often.
LOADS_PERIOD_S = 0.1
# A connection that is silent for this long is closed and replaced.
SILENT_AFTER_S = 1.0
# An entry that the leader named stops placing experts when it isn't named again for this long.
COORDINATOR_S = 1.0
# A file that did not come within this time is asked for again.
FETCH_AGAIN_S = 0.3


class Link(Struct, eq=False):
    """The connection to one replica."""

    end: DealerSocket
    opened_s: float
    heard_s: float = float("-inf")
    # The latest message of the replica that took effect here.
    news: int = 0


class ControlLink(Struct, eq=False, kw_only=True):
    """What the filter owns."""

    entry: InstanceId
    incarnation: Incarnation
    address: Address
    data_centre: DataCentreId
    seeds: Callable[[], tuple[InstanceId, ...]]
    # Where a replica listens for entries, from its id.
    entry_address: Callable[[InstanceId], Address]
    decode_file: Callable[[bytes], RelayConfiguration]
    known: Callable[[], Known]
    dispatch: Inbox[ToDispatch]
    now: Callable[[], float]
    use: Callable[[RelayConfiguration], None]
    links: dict[InstanceId, Link] = field(default_factory=dict)
    voters: dict[InstanceId, tuple[InstanceId, ...]] = field(default_factory=dict)
    state: MemberState = MemberState.STARTING
    number: Revision = Revision(0)
    # The highest number that was told, and where; the file was asked for at this time.
    newest: Revision = Revision(0)
    fetched_s: float = float("-inf")
    reached: set[InstanceId] = field(default_factory=set)
    # Until when this entry places experts, by the clock that counts suspensions.
    coordinates_until_s: float = float("-inf")
    boot_now: Callable[[], float] = boot_time_s


async def run_control_link(state: ControlLink) -> None:
    """Keep the connections until cancelled, then close them."""
    try:
        while True:
            _keep_links(state)
            send_status(state)
            until_s = state.now() + STATUS_PERIOD_S
            while state.now() < until_s - LOADS_PERIOD_S:
                await asyncio.sleep(LOADS_PERIOD_S)
                _tell(state, _spreader(state))
            await asyncio.sleep(max(0.0, until_s - state.now()))
    finally:
        for link in state.links.values():
            link.end.close()


def send_status(state: ControlLink) -> None:
    """Tell all replicas how this entry is."""
    for replica in list(state.links):
        _tell(state, replica)


def _spreader(state: ControlLink) -> InstanceId:
    """Return the replica that spreads the loads; all entries choose the same one."""
    return min(state.reached, default=min(state.links))


def _tell(state: ControlLink, replica: InstanceId) -> None:
    link = state.links[replica]
    known = state.known()
    is_first = replica == _spreader(state)
    status = EntryStatus(
        state.entry,
        state.incarnation,
        state.address,
        state.data_centre,
        state.state,
        state.number,
        link.news,
        known.in_flight if is_first else None,
        known.crashes,
    )
    link.end.send(encode(status))


def _keep_links(state: ControlLink) -> None:
    now_s = state.now()
    for replica in _wanted(state):
        link = state.links.get(replica)
        if link is None:
            _open(state, replica)
        elif now_s - max(link.heard_s, link.opened_s) > SILENT_AFTER_S:
            if replica in state.reached:
                state.reached.discard(replica)
                log(Event.CONTROL_LOST, replica=replica, silent_s=round(now_s - link.heard_s, 3))
            link.end.close()
            _open(state, replica)


def _wanted(state: ControlLink) -> set[InstanceId]:
    wanted = set(state.seeds())
    for voters in state.voters.values():
        wanted.update(voters)
    return wanted


def _open(state: ControlLink, replica: InstanceId) -> None:
    def receive(payload: bytes) -> None:
        try:
            message = decode_to_relay(payload)
        except DecodeError as error:
            log(Event.MESSAGE_DROPPED, source=replica, detail=str(error))
            return
        if state.links.get(replica) is link:
            _on_message(state, replica, link, message)

    link = Link(DealerSocket(state.entry_address(replica), receive), state.now())
    state.links[replica] = link


def _on_message(state: ControlLink, replica: InstanceId, link: Link, message: ToRelay) -> None:
    link.heard_s = state.now()
    if replica not in state.reached:
        state.reached.add(replica)
        log(Event.CONTROL_REACHED, replica=replica)
    match message:
        case ReplicaUpdate():
            _on_news(state, replica, link, message)
        case FileBody():
            _on_file(state, replica, message)


def _on_news(state: ControlLink, replica: InstanceId, link: Link, news: ReplicaUpdate) -> None:
    if not state.dispatch.offer(news):
        log(Event.MESSAGE_DROPPED, source=replica, detail="the dispatcher's inbox is full")
        return
    link.news = news.sequence
    if news.coordinator is not None:
        is_named = news.coordinator == state.entry
        state.coordinates_until_s = state.boot_now() + COORDINATOR_S if is_named else float("-inf")
    if news.replicas:
        state.voters[replica] = news.replicas
    state.newest = max(state.newest, news.revision)
    if news.revision == state.newest:
        _fetch(state, link)
    if news.records:
        _tell(state, replica)


def _fetch(state: ControlLink, link: Link) -> None:
    """Ask for the newest file, unless it is held or under way."""
    now_s = state.now()
    if state.newest > state.number and now_s - state.fetched_s > FETCH_AGAIN_S:
        state.fetched_s = now_s
        link.end.send(encode(FetchFile(state.newest)))


def _on_file(state: ControlLink, replica: InstanceId, message: FileBody) -> None:
    state.fetched_s = float("-inf")
    if message.revision <= state.number:
        return
    try:
        configuration = state.decode_file(decompress_file(message.packed))
    except DecodeError as error:
        log(Event.MESSAGE_DROPPED, source=replica, detail=str(error))
        return
    except LycheefallError as error:
        log(Event.FILE_REFUSED, code=int(error.code), detail=error.detail)
        return
    state.number = message.revision
    state.use(configuration)
    state.dispatch.offer(InForce(configuration))
    log(Event.CONFIGURATION_IN_FORCE, revision=message.revision, replica=replica)
    send_status(state)
    _fetch(state, state.links[replica])


def may_coordinate(state: ControlLink) -> bool:
    """Tell whether this entry places experts now."""
    is_named = state.boot_now() < state.coordinates_until_s
    return is_named and state.state is MemberState.READY
