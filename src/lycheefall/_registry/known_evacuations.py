"""Evacuations that a replica knows, and which entries it tells them to."""

from msgspec import Struct

from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._core.evacuations import UNKNOWN_VERSION, Evacuations
from lycheefall._core.ids import LogIndex
from lycheefall._core.messages.relay import EntryStatus

# Time after which an entry that knows no evacuations is told those of a replica that may be
# outdated. It is twice the time in which a lost leader is replaced.
OUTDATED_AFTER_S = 5.0


class KnownEvacuations(Struct, eq=False):
    """The evacuations applied at a replica, and whether it may have missed later ones."""

    applied: Evacuations = Evacuations()
    applied_index: LogIndex = LogIndex(0)
    commit_index: LogIndex = LogIndex(0)
    # Until this time, the commit index is known to be close to that of the leader.
    fresh_until_s: float = float("-inf")


def on_replica_view(known: KnownEvacuations, view: ReplicaView) -> None:
    """Store how far the replica has followed the log."""
    known.commit_index = view.commit_index
    known.fresh_until_s = view.fresh_until_s


def on_applied_view(known: KnownEvacuations, view: AppliedView) -> bool:
    """Store the applied evacuations, and return whether they have changed."""
    known.applied_index = view.index
    is_new = view.evacuations.version > known.applied.version
    if is_new:
        known.applied = view.evacuations
    return is_new


def news_for(
    known: KnownEvacuations, status: EntryStatus, connected_s: float, now_s: float
) -> Evacuations | None:
    """Return the evacuations that an entry has not reported as in force.

    An entry that knows none yet must not start with those of an outdated replica, unless it finds
    no other one for a while.
    """
    reported = status.evacuations_version
    if reported >= known.applied.version:
        return None
    is_current = now_s < known.fresh_until_s and known.applied_index >= known.commit_index
    if reported == UNKNOWN_VERSION and not is_current and connected_s < OUTDATED_AFTER_S:
        return None
    return known.applied


def complies(status: EntryStatus, version: int) -> bool:
    """Return whether an entry uses a version of the evacuations, or no upstream at all."""
    return status.evacuations_version >= version or status.evacuations_version == UNKNOWN_VERSION
