"""Maintain the table of upstreams from the heartbeats of their agents."""

from collections.abc import Callable

import msgspec

from lycheefall._core.enums import MemberState
from lycheefall._core.events import Event
from lycheefall._core.ids import UpstreamId
from lycheefall._core.log import log
from lycheefall._core.messages.entry import Tick, UpstreamHeartbeat, UpstreamLeft
from lycheefall._core.messages.membership import Announce, UpstreamMember
from lycheefall._rules import membership
from lycheefall._rules.membership import MemberKey, MemberRemoved, MembershipState, RemoveSilent
from lycheefall._wire.codec import decode_announce

# An upstream without a heartbeat for this long is removed; links detect a failure much sooner.
UPSTREAM_TIMEOUT_S = 10.0


def step_upstreams(
    state: MembershipState, message: Announce | Tick, now_s: float
) -> tuple[MembershipState, list[UpstreamHeartbeat | UpstreamLeft]]:
    """Apply one heartbeat, or remove upstreams whose heartbeats have timed out."""
    if isinstance(message, Tick):
        state, results = membership.step(state, RemoveSilent(), now_s)
        return state, [
            _upstream_left(each.key) for each in results if isinstance(each, MemberRemoved)
        ]
    member = message.member
    if not isinstance(member, UpstreamMember):
        return state, []
    state, results = membership.step(state, message, now_s)
    if not results:
        return state, []
    _log_change(member)
    return state, [UpstreamHeartbeat(member, message.sequence)]


def _upstream_left(key: MemberKey) -> UpstreamLeft:
    upstream = UpstreamId(key.name)
    log(Event.UPSTREAM_LEFT, upstream=upstream)
    return UpstreamLeft(upstream)


_STATE_EVENTS = {
    MemberState.DRAINING: Event.UPSTREAM_DRAINING,
    MemberState.FAILED: Event.UPSTREAM_FAILED,
}


def _log_change(member: UpstreamMember) -> None:
    event = _STATE_EVENTS.get(member.state, Event.UPSTREAM_SEEN)
    log(event, upstream=member.upstream, address=member.address, state=member.state.value)


def announce_receiver(deliver: Callable[[Announce], object]) -> Callable[[bytes, bytes], None]:
    """Return a socket receiver that decodes heartbeats and delivers them."""

    def receive(peer: bytes, payload: bytes) -> None:
        try:
            deliver(decode_announce(payload))
        except msgspec.DecodeError as error:
            log(Event.FRAME_DROPPED, detail=str(error))

    return receive
