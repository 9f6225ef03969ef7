"""Bound the connections of callers and the memory that they hold together.

Answers load from callers that send a part of a request or read no answer, and stay. If the
connections of a process exceed a limit, those that hold most for longest without progress close
first; a connection that has served a request comes after those that have not.
"""

from collections.abc import Callable
from enum import Enum
from heapq import nlargest

from msgspec import Struct, field

from lycheefall._rules.byte_budget import Holding

# Memory of a connection without data: its objects, its task and the parser.
CONNECTION_BYTES = 16_384
STALLED_S = 2.0
# Files that are no connections, and the fraction of the other descriptors for callers. The rest is
# for upstreams, peers and the connections that are accepted before they can be counted.
FILE_DESCRIPTORS = 200
_CALLERS_RATIO = 0.6
MIN_CONNECTIONS = 32
# Fraction of the connections that only addresses for checks and operators use.
_RESERVED_RATIO = 0.125
_MEMORY_RATIO = 0.15
_MIN_LIMIT_BYTES = 8_000_000
# Several close at once, as each choice looks at all connections.
_CLOSED_RATIO = 1 / 16


class CloseReason(Enum):
    """Reason for which the connection of a caller was closed before its request ran."""

    NO_MEMORY = "no_memory"
    NO_CONNECTION = "no_connection"
    NOT_ACCEPTED = "not_accepted"
    BODY_STALLED = "body_stalled"
    SENT_AHEAD = "sent_ahead"


class CallerBounds(Struct, frozen=True, kw_only=True):
    """Limits on the connections of callers; 0 if a limit follows from those of the process."""

    # Descriptors that the process may have open.
    descriptors: int
    connections: int = 0
    memory_bytes: float = 0.0
    stalled_s: float = STALLED_S


class Share(Struct, eq=False):
    """What one connection holds."""

    close: Callable[[CloseReason], None]
    progress_s: float
    # Body of the current request, which is charged to a budget of its own.
    body: Holding
    held_bytes: int = 0
    # A request is in progress, whose outcome the caller could not tell if the connection closed.
    is_in_progress: bool = False
    has_served: bool = False


class Account(Struct, eq=False):
    """Limits on all connections of a process, and what they hold."""

    limit_bytes: int
    max_connections: int
    # Time without progress after which a connection may be closed for the sake of others.
    stalled_s: float = STALLED_S
    held_bytes: int = 0
    shares: set[Share] = field(default_factory=set)
    # No connection can be closed before this time.
    next_choice_s: float = 0.0


def new_account(bounds: CallerBounds, process_bytes: float) -> Account:
    """Return the account of a process that may use this much memory."""
    return Account(
        int(bounds.memory_bytes or max(_MIN_LIMIT_BYTES, process_bytes * _MEMORY_RATIO)),
        bounds.connections or max_connections(bounds.descriptors),
        bounds.stalled_s,
    )


def max_connections(descriptors: int) -> int:
    """Return the limit on connections of callers for a limit on open descriptors."""
    usable = descriptors - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(usable * _CALLERS_RATIO))


def reserved_connections(account: Account) -> int:
    """Return the connections that are kept free for checks and operators."""
    return int(account.max_connections * _RESERVED_RATIO)


def backlog(account: Account) -> int:
    """Return how many connections may be accepted at once, before they are counted."""
    return max(MIN_CONNECTIONS, account.max_connections // 3)


def add(account: Account, share: Share) -> None:
    """Count a new connection."""
    account.shares.add(share)
    account.held_bytes += share.held_bytes


def remove(account: Account, share: Share) -> None:
    """Count a connection no longer."""
    if share in account.shares:
        account.shares.discard(share)
        account.held_bytes -= share.held_bytes


def hold(account: Account, share: Share, held_bytes: int) -> None:
    """Set what a connection holds."""
    if share in account.shares:
        account.held_bytes += held_bytes - share.held_bytes
    share.held_bytes = held_bytes


def is_over(account: Account) -> bool:
    """Return whether the connections hold more than they may."""
    return account.held_bytes > account.limit_bytes


def choose_for_memory(account: Account, now_s: float, grown: Share) -> list[Share]:
    """Return the connections to close until the others are within the limit on memory.

    The one that has just grown stays, so that an answer above the limit can be sent.
    """
    excess_bytes = account.held_bytes - account.limit_bytes
    chosen: list[Share] = []
    for share in _worst_first(account, now_s, 0.0, account.shares - {grown}):
        if excess_bytes <= 0:
            break
        chosen.append(share)
        excess_bytes -= share.held_bytes
    return chosen


def choose_for_connection(account: Account, now_s: float) -> list[Share]:
    """Return the connections to close for new ones; none if all have made progress lately."""
    if now_s < account.next_choice_s:
        return []
    chosen = _worst_first(account, now_s, account.stalled_s, account.shares)
    if not chosen:
        open_s = [each.progress_s for each in account.shares if not each.is_in_progress]
        account.next_choice_s = min(open_s, default=now_s) + account.stalled_s
    return chosen


def choose_for_body(account: Account, now_s: float) -> list[Share]:
    """Return the connections to close for a body that waits for room; none if all make progress."""
    charged = {each for each in account.shares if each.body.charged_bytes}
    return _worst_first(account, now_s, account.stalled_s, charged)[:1]


def _worst_first(
    account: Account, now_s: float, stalled_s: float, shares: set[Share]
) -> list[Share]:
    may_close = [
        each for each in shares if not each.is_in_progress and now_s - each.progress_s >= stalled_s
    ]
    count = 1 + int(len(account.shares) * _CLOSED_RATIO)
    return nlargest(count, may_close, key=lambda each: _rank(each, now_s))


def _rank(share: Share, now_s: float) -> tuple[bool, float]:
    held_bytes = share.held_bytes + share.body.charged_bytes
    # A connection that makes progress at this moment still ranks by what it holds.
    stalled_s = now_s - share.progress_s + 0.01
    return (not share.has_served or held_bytes > CONNECTION_BYTES, held_bytes * stalled_s)
