"""What an entry remembers of the other entries, to take a part that is safe with several views.

Entries that were cut off, restarted or have just joined know fewer entries than there are, or other
ones. For a moment, two entries may each take themselves for the owner of an upstream.
"""

from msgspec import Struct

# An entry without an update for this long is out of touch. Updates arrive every 0.25 s.
IN_TOUCH_S = 1.0
# Entries that report to control for the first time are known everywhere within this time, and those
# that are cut off have been dropped: 1.2 s at control and 1.5 s at the other entries.
SETTLED_S = 3.0
# A replica that has just started knows an entry only after its next report.
KNOWN_S = 1.0
# Time for which the largest number of entries counts after entries have gone.
MOST_RETENTION_S = 60.0


class PeerHistory(Struct, eq=False):
    """The entries known to this one in the last minute, itself included."""

    # When the first update was received; None before.
    first_update_s: float | None = None
    updated_s: float = float("-inf")
    # When the set of known entries last changed.
    changed_s: float = float("-inf")
    entries: int = 1
    # The largest number of entries, and when as many were last known.
    most: int = 1
    most_s: float = float("-inf")


def record_update(history: PeerHistory, entries: int, is_change: bool, now_s: float) -> None:
    """Record an update and the number of entries known after it."""
    if history.first_update_s is None:
        history.first_update_s = now_s
    history.updated_s = now_s
    history.entries = entries
    if is_change:
        history.changed_s = now_s
    if entries >= history.most or now_s - history.most_s > MOST_RETENTION_S:
        history.most = entries
        history.most_s = now_s


def safe_sharers(history: PeerHistory, users: int, now_s: float) -> int:
    """Return among how many entries to divide what all together may send to an upstream.

    `users` is the number of entries that use the upstream as far as known, or 0 if this one does
    not. 0 is returned if this entry must not send anything.
    """
    if users == 0 or history.first_update_s is None or now_s - history.first_update_s < KNOWN_S:
        return 0
    is_in_touch = now_s - history.updated_s <= IN_TOUCH_S
    if is_in_touch and now_s - history.changed_s >= SETTLED_S:
        return known_sharers(history, users)
    return max(users, history.most)


def known_sharers(history: PeerHistory, users: int) -> int:
    """Return among how many entries to divide a rate that may be exceeded for a moment.

    Two views of more than half of the entries have entries in common, so they last only a moment.
    """
    is_majority = 2 * history.entries > history.most
    return users if users == 0 or is_majority else max(users, history.most)
