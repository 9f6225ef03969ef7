"""Slot reservation at one upstream: whether a chat may start beside those that are running.

The agent of the upstream applies this rule, and entries use it to predict the agent's decision.
Slots are reserved at each upstream for more urgent requests, because a request is bound to few
upstreams and can't use a free slot elsewhere. An urgent request that queues in an engine waits for
a long answer to end, whatever its priority.
"""

from collections.abc import Sequence

# Upper bound of the slots reserved for more urgent requests, as a part of all slots.
_MAX_RESERVED_RATIO = 0.25


def reserved_slots(rank: int, concurrency: int) -> int:
    """Return the slots that requests of a rank must leave free: one for each more urgent rank."""
    return min(rank, int(concurrency * _MAX_RESERVED_RATIO))


def may_start(
    running_ranks: Sequence[int], rank: int, concurrency: int, share_ratio: float
) -> bool:
    """Return whether a request may start, given the priority ranks of the running requests."""
    free = concurrency - len(running_ranks)
    if free > reserved_slots(rank, concurrency):
        return True
    # A priority that runs less than its share may use reserved slots.
    return free > 0 and running_ranks.count(rank) < share_ratio * concurrency
