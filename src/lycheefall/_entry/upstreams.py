"""Hear the heartbeats of agents and keep the table of upstreams up to date."""

from collections.abc import Callable

import msgspec
from msgspec import Struct

from lycheefall._core.enums import MemberState
from lycheefall._core.events import Event
from lycheefall._core.ids import UpstreamId
from lycheefall._core.log import log, warn
from lycheefall._core.messages.entry import Tick, UpstreamHeard, UpstreamLeft
from lycheefall._core.messages.membership import Announce, UpstreamMember
from lycheefall._wire.codec import decode_announce

# An upstream without a heartbeat for this long is forgotten; links notice a loss much sooner.
FORGET_S = 10.0


class Heard(Struct):
    """Last heartbeat of an upstream."""

    member: UpstreamMember
    sequence: int
    heard_s: float


class UpstreamTable(Struct):
    """Upstreams that have announced themselves."""

    heard: dict[UpstreamId, Heard] = {}


def step_upstreams(
    state: UpstreamTable, message: Announce | Tick, now_s: float
) -> tuple[UpstreamTable, list[UpstreamHeard | UpstreamLeft]]:
    """Apply one heartbeat, or forget upstreams that are silent."""
    if isinstance(message, Tick):
        return state, _forget(state, now_s)
    member = message.member
    if not isinstance(member, UpstreamMember):
        return state, []
    known = state.heard.get(member.upstream)
    if known is not None and _is_late(known, member, message.sequence):
        return state, []
    state.heard[member.upstream] = Heard(member, message.sequence, now_s)
    _log_change(member, known.member.state if known else None)
    return state, [UpstreamHeard(member, message.sequence)]


_STATE_EVENTS = {
    MemberState.DRAINING: Event.UPSTREAM_DRAINING,
    MemberState.FAILED: Event.UPSTREAM_FAILED,
}


def _log_change(member: UpstreamMember, before: MemberState | None) -> None:
    if member.state is before:
        return
    event = _STATE_EVENTS.get(member.state, Event.UPSTREAM_SEEN)
    log(event, upstream=member.upstream, address=member.address, state=member.state.value)


def _is_late(known: Heard, member: UpstreamMember, sequence: int) -> bool:
    return known.member.incarnation == member.incarnation and sequence <= known.sequence


def _forget(state: UpstreamTable, now_s: float) -> list[UpstreamHeard | UpstreamLeft]:
    gone = tuple(
        upstream for upstream, heard in state.heard.items() if now_s - heard.heard_s > FORGET_S
    )
    for upstream in gone:
        log(Event.UPSTREAM_LEFT, upstream=upstream)
        del state.heard[upstream]
    return [UpstreamLeft(upstream) for upstream in gone]


def receive_announce(deliver: Callable[[Announce], object]) -> Callable[[bytes, bytes], None]:
    """Return the function that takes heartbeats from a socket."""

    def receive(peer: bytes, payload: bytes) -> None:
        try:
            deliver(decode_announce(payload))
        except msgspec.DecodeError as error:
            warn(Event.FRAME_DROPPED, detail=str(error))

    return receive
