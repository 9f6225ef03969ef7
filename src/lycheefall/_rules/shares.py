"""Order of service among the classes of work of one pool.

The most urgent class is served first. Each other class with backlog earns credit, its share of the
tokens that are served, and goes first while it has credit left. Slots are kept free for bookings,
for lookups and for more urgent work, so that these do not wait for a long request to end.
"""

from collections.abc import Iterable, Sequence
from math import exp
from typing import NewType

from msgspec import Struct

from lycheefall._core.configuration import Priority
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PriorityId
from lycheefall._rules.fairness import FairQueue
from lycheefall._rules.service_rate import Flow

WorkClass = NewType("WorkClass", str)

BOOKINGS = WorkClass("booking")
LOOKUPS = WorkClass("lookup")

# Reserved for bookings and for lookups each, in a pool that serves them.
SERVICE_SHARE_RATIO = 0.1
# The shares leave at least this much to urgency.
_MAX_SHARES_RATIO = 0.8
# Slots kept free for idle classes are at most this part of all.
_MAX_KEPT_FREE_RATIO = 0.5
# The most urgent class keeps as many slots as it used at most in this time, and a part of all:
# load reports lag, so upstreams fill unevenly and a few wait while others have free slots.
_URGENT_USE_WINDOW_S = 10.0
_URGENT_HEADROOM_RATIO = 0.125
# A request is dropped from the queue after this many times its class's target.
_WAIT_PER_TARGET = 4.0


class ClassPolicy(Struct, frozen=True, kw_only=True):
    """How one class of work is treated; classes are listed with the most urgent first."""

    name: WorkClass
    worth: float
    share_ratio: float
    max_wait_s: float
    # Slots are kept free for this class against more urgent ones as well.
    protected: bool = False


class ClassState:
    """Queue, credit and slots of one class."""

    __slots__ = (
        "credit_tokens",
        "flow",
        "in_flight",
        "kept_slots",
        "most_at_s",
        "most_in_flight",
        "policy",
        "queue",
        "share_slots",
    )

    def __init__(self, policy: ClassPolicy) -> None:
        self.policy = policy
        self.queue = FairQueue()
        self.flow = Flow()
        self.credit_tokens = 0.0
        self.in_flight = 0
        # Slots reserved by the class's share of the present number of slots.
        self.share_slots = 0
        # Slots kept for this class; at least those of its share.
        self.kept_slots = 0
        # Recent peak of the slots in use, which decays.
        self.most_in_flight = 0.0
        self.most_at_s = 0.0


def class_of(kind: RouteKind, priority: PriorityId) -> WorkClass:
    """Return the class of a request."""
    if kind is RouteKind.BOOKING:
        return BOOKINGS
    if kind is RouteKind.LOOKUP:
        return LOOKUPS
    return WorkClass(f"chat:{priority}")


def policies_of(
    priorities: Sequence[Priority], kinds: Iterable[RouteKind], queue_s: float
) -> tuple[ClassPolicy, ...]:
    """Return the classes of a pool that serves routes of these kinds, most urgent first.

    Bookings and lookups come after the first priority of the file and before the others.
    """
    served = set(kinds)
    chat = _chat_policies(priorities, queue_s) if RouteKind.CHAT in served else []
    worth = max((priority.worth for priority in priorities), default=1.0)
    services = [
        ClassPolicy(
            name=name,
            worth=worth,
            share_ratio=SERVICE_SHARE_RATIO,
            max_wait_s=queue_s,
            protected=True,
        )
        for kind, name in ((RouteKind.BOOKING, BOOKINGS), (RouteKind.LOOKUP, LOOKUPS))
        if kind in served
    ]
    return _bounded((*chat[:1], *services, *chat[1:]))


def _chat_policies(priorities: Sequence[Priority], queue_s: float) -> list[ClassPolicy]:
    return [
        ClassPolicy(
            name=class_of(RouteKind.CHAT, priority.name),
            worth=priority.worth,
            share_ratio=priority.share_ratio,
            max_wait_s=min(queue_s, _WAIT_PER_TARGET * priority.target_s),
        )
        for priority in priorities
    ]


def _bounded(policies: tuple[ClassPolicy, ...]) -> tuple[ClassPolicy, ...]:
    total = sum(policy.share_ratio for policy in policies)
    if total <= _MAX_SHARES_RATIO:
        return policies
    scale = _MAX_SHARES_RATIO / total
    return tuple(
        ClassPolicy(
            name=policy.name,
            worth=policy.worth,
            share_ratio=policy.share_ratio * scale,
            max_wait_s=policy.max_wait_s,
            protected=policy.protected,
        )
        for policy in policies
    )


def reserve_slots(classes: Sequence[ClassState], slots: int) -> None:
    """Set the slots kept for each class, rounded to the nearest number."""
    left = int(slots * _MAX_KEPT_FREE_RATIO)
    for each in sorted(classes, key=lambda item: not item.policy.protected):
        each.share_slots = min(left, int(slots * each.policy.share_ratio + 0.5))
        each.kept_slots = each.share_slots
        left -= each.share_slots


def keep_for_urgency(classes: Sequence[ClassState], slots: int, now_s: float) -> None:
    """Keep for the most urgent class what its recent peaks used, up to half of all slots.

    Arrivals come in bursts, so the mean use of a class is not enough for it to begin at once.
    """
    if not classes or classes[0].policy.protected:
        return
    first = classes[0]
    decayed = first.most_in_flight * exp((first.most_at_s - now_s) / _URGENT_USE_WINDOW_S)
    first.most_in_flight = max(decayed, float(first.in_flight))
    first.most_at_s = now_s
    most = int(slots * _MAX_KEPT_FREE_RATIO)
    wanted = int(first.most_in_flight + 1.0 + _URGENT_HEADROOM_RATIO * slots)
    first.kept_slots = max(first.share_slots, min(most, wanted))


def begin(each: ClassState) -> None:
    """Count a request that takes a slot."""
    each.in_flight += 1
    each.most_in_flight = max(each.most_in_flight, float(each.in_flight))


def next_class(classes: Sequence[ClassState], free_slots: int) -> ClassState | None:
    """Return the class to serve next, or None when no class may take a slot."""
    most_urgent: ClassState | None = None
    owed: ClassState | None = None
    protected_slots = sum(_short(each) for each in classes if each.policy.protected)
    urgent_slots = 0
    for each in classes:
        short = _short(each)
        left = free_slots - protected_slots
        if each.policy.protected:
            left += short
        if each.queue.length and left > 0:
            if most_urgent is None and left > urgent_slots:
                most_urgent = each
            elif each.credit_tokens > 0.0 and _is_owed_more(each, owed):
                # Credit is worth a slot kept for urgency; otherwise a flood of the most urgent
                # class would starve those behind an idle one.
                owed = each
        if not each.policy.protected:
            urgent_slots += short
    return owed or most_urgent


def _short(each: ClassState) -> int:
    return max(0, each.kept_slots - each.in_flight)


def _is_owed_more(each: ClassState, owed: ClassState | None) -> bool:
    return owed is None or each.credit_tokens > owed.credit_tokens


def account(classes: Sequence[ClassState], served: ClassState, tokens: float) -> None:
    """Give each class with backlog its share of the tokens served, and charge the one served."""
    if served.credit_tokens > 0.0:
        served.credit_tokens -= tokens
    for each in classes:
        if each.queue.length:
            each.credit_tokens += tokens * each.policy.share_ratio
        elif each.credit_tokens > 0.0:
            # An idle class saves up no credit.
            each.credit_tokens = 0.0
