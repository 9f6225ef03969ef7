"""Which chats an upstream may begin, by the exact count of those that it holds.

The agent beside the upstream decides by it, and an entry foresees the decision. Slots are kept
free at each upstream for more urgent requests, as a request is bound to few upstreams and a slot
that is free elsewhere is of no use to it. An urgent request that waits in an engine waits for a
long answer to end, whatever its priority.
"""

from collections.abc import Sequence

# Slots kept free for more urgent requests are at most this part of all.
_MAX_RESERVED_RATIO = 0.25


def reserved_slots(rank: int, concurrency: int) -> int:
    """Return the slots that a request of a rank leaves free, one for each more urgent priority."""
    return min(rank, int(concurrency * _MAX_RESERVED_RATIO))


def may_start(
    running_ranks: Sequence[int], rank: int, concurrency: int, share_ratio: float
) -> bool:
    """Tell whether a request may begin beside those that are held, given by their ranks."""
    free = concurrency - len(running_ranks)
    if free > reserved_slots(rank, concurrency):
        return True
    # More urgent work may not take the share of a priority.
    return free > 0 and running_ranks.count(rank) < share_ratio * concurrency
