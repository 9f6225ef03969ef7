"""Decide how much of a response an entry reads from an upstream ahead of its caller.

A response is held until it is complete if it is small, so that another attempt may replace one that
breaks off. A larger one is passed on as it arrives, and the entry stops reading while its caller is
behind by more than a window. The load is callers that read large responses slowly.
"""

from enum import Enum

from lycheefall._rules import byte_budget
from lycheefall._rules.byte_budget import FREE_BYTES, ByteBudget

# A response of a known length up to this one is held until it is complete.
HOLD_BYTES = 1_048_576
# Bytes by which a caller may be behind.
MIN_WINDOW_BYTES = 65_536
MAX_WINDOW_BYTES = 262_144
# Part of the budget that is shared by the windows; the rest is for responses that are held.
_WINDOWS_RATIO = 0.5
# A caller that has stopped reading gets this part of its share of what is left, each time.
_READ_AHEAD_DIVISOR = 4
# Part of the budget beyond which nothing is read ahead; the rest is for held responses.
_READ_AHEAD_RATIO = 0.75


class Delivery(Enum):
    """What an entry does with the body of a response."""

    HOLD = "hold"
    PASS_ON = "pass-on"
    # It can't be held, and must not be passed on.
    REJECT = "reject"


def choose_delivery(budget: ByteBudget, length_bytes: int | None, must_hold: bool) -> Delivery:
    """Choose what to do with a body once its head is known; None is an unknown length.

    A body must be held if the attempt may still be replaced by another one because of its status,
    or if the caller has received a part of another response.
    """
    if length_bytes is None:
        return Delivery.HOLD
    if length_bytes <= HOLD_BYTES and byte_budget.has_room(budget, length_bytes):
        return Delivery.HOLD
    return Delivery.REJECT if must_hold else Delivery.PASS_ON


def holds_more_than_share(budget: ByteBudget, size_bytes: int) -> bool:
    """Return whether a held body of unknown length is so large that it should be passed on.

    That is so if the budget is half used, and the body has more than an equal share of that half.
    """
    share_bytes = budget.limit_bytes * (1 - _WINDOWS_RATIO)
    if budget.charged_bytes <= share_bytes:
        return False
    return size_bytes - FREE_BYTES > share_bytes / max(1, len(budget.charged))


def window_bytes(budget: ByteBudget, responses: int) -> int:
    """Return the window of each of the responses that are passed on at the same time."""
    share_bytes = int(budget.limit_bytes * _WINDOWS_RATIO / max(1, responses))
    return min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, share_bytes))


def read_ahead_bytes(budget: ByteBudget, responses: int) -> int:
    """Return how much may be read now for a caller that has not read for some time.

    It is a part of what the windows have left, so that the first caller that stops leaves memory to
    the next ones; after that, one part as long as that leaves room for responses that are held.
    """
    left_bytes = int(budget.limit_bytes * _WINDOWS_RATIO) - budget.charged_bytes
    share_bytes = left_bytes // (_READ_AHEAD_DIVISOR * max(1, responses))
    if share_bytes >= MIN_WINDOW_BYTES:
        return share_bytes
    limit_bytes = budget.limit_bytes * _READ_AHEAD_RATIO
    has_room = budget.charged_bytes + MIN_WINDOW_BYTES <= limit_bytes
    return MIN_WINDOW_BYTES if has_room else 0
