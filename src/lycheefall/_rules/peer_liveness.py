"""Tell a peer that reads slowly from one that is gone, by what its connection has acknowledged.

A peer whose receive window is closed still acknowledges the probes of the window. A dead one
acknowledges neither data nor probes.
"""

from msgspec import Struct

# Acknowledgements that are more recent than this show that a peer is alive.
RECENT_MS = 500
# A peer that acknowledges nothing for this long, after it was sent something, counts as dead.
DEAD_AFTER_S = 1.5


class SendState(Struct, frozen=True):
    """What a connection has sent to its peer, and what of that was acknowledged."""

    # Packets in flight, and bytes that wait for the window of the peer to open.
    unacknowledged_packets: int
    unsent_bytes: int
    # Probes of a closed window without an answer.
    unanswered_probes: int
    # Times since data was last sent and since an acknowledgement last arrived.
    sent_ms: int
    acknowledged_ms: int


def is_all_received(state: SendState) -> bool:
    """Return whether the peer has acknowledged everything."""
    return not state.unacknowledged_packets and not state.unsent_bytes


def is_unanswered(state: SendState) -> bool:
    """Return whether the peer owes an acknowledgement, and has sent none recently."""
    is_in_flight = state.unacknowledged_packets > 0 and state.acknowledged_ms > state.sent_ms
    is_owed = is_in_flight or state.unanswered_probes > 0
    return is_owed and state.acknowledged_ms >= RECENT_MS


def is_dead(unanswered_since_s: float | None, now_s: float) -> bool:
    """Return whether a peer that owes acknowledgements since a time counts as dead."""
    return unanswered_since_s is not None and now_s - unanswered_since_s >= DEAD_AFTER_S
