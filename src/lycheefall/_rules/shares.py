"""Scheduling among the classes of work of one pool.

The most urgent class is served first. Every other class with a backlog earns credit, which is its
share of the tokens served, and takes precedence while its credit is positive. Slots are reserved
for bookings, lookups and more urgent work, so that these don't wait for a long request to end.
"""

from collections.abc import Iterable, Sequence
from math import exp
from typing import NewType

from msgspec import Struct

from lycheefall._core.configuration import Priority
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PriorityId
from lycheefall._rules.fairness import FairQueue
from lycheefall._rules.service_rate import AdmissionRate

WorkClass = NewType("WorkClass", str)

BOOKINGS = WorkClass("booking")
LOOKUPS = WorkClass("lookup")

# Share of bookings and of lookups, each, in a pool that serves them.
SERVICE_SHARE_RATIO = 0.1
# Upper bound of the sum of all shares; the remaining capacity is scheduled by urgency.
_MAX_SHARES_RATIO = 0.8
# Upper bound of the slots reserved for idle classes, as a part of all slots.
_MAX_RESERVED_RATIO = 0.5
# The most urgent class reserves its peak use within this window, plus a part of all slots as
# headroom: load reports lag, so upstreams fill unevenly, and requests queue at a few of them while
# others have free slots.
_URGENT_USE_WINDOW_S = 10.0
_URGENT_HEADROOM_RATIO = 0.125
# A request expires in the queue after this multiple of its class's latency target.
_WAIT_PER_TARGET = 4.0


class ClassPolicy(Struct, frozen=True, kw_only=True):
    """Scheduling parameters of a class of work; classes are ordered by decreasing urgency."""

    name: WorkClass
    # Relative value of a request; see `Priority`.
    worth: float
    # Share of the tokens served that a class with a backlog is guaranteed.
    share_ratio: float
    max_wait_s: float
    # The reserved slots of this class are closed to more urgent classes as well.
    protected: bool = False


class ClassState:
    """Queue, credit and slot counts of one class."""

    __slots__ = (
        "admission_rate",
        "credit_tokens",
        "in_flight",
        "peak_at_s",
        "peak_in_flight",
        "policy",
        "queue",
        "reserved_slots",
        "share_slots",
    )

    def __init__(self, policy: ClassPolicy) -> None:
        self.policy = policy
        self.queue = FairQueue()
        self.admission_rate = AdmissionRate()
        # Tokens that the class is owed from its share, served before more urgent classes.
        self.credit_tokens = 0.0
        self.in_flight = 0
        # Slots reserved by the class's share of the current number of slots.
        self.share_slots = 0
        # Slots reserved for this class; at least share_slots.
        self.reserved_slots = 0
        # Decaying peak of the slots in use.
        self.peak_in_flight = 0.0
        self.peak_at_s = 0.0


def class_of(kind: RouteKind, priority: PriorityId) -> WorkClass:
    """Return the class of a request by its route kind and priority."""
    if kind is RouteKind.BOOKING:
        return BOOKINGS
    if kind is RouteKind.LOOKUP:
        return LOOKUPS
    return WorkClass(f"chat:{priority}")


def policies_of(
    priorities: Sequence[Priority], kinds: Iterable[RouteKind], queue_s: float
) -> tuple[ClassPolicy, ...]:
    """Return the class policies of a pool that serves routes of these kinds, most urgent first.

    Bookings and lookups rank after the first priority of the configuration file, before the rest.
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
    return _scale_shares((*chat[:1], *services, *chat[1:]))


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


def _scale_shares(policies: tuple[ClassPolicy, ...]) -> tuple[ClassPolicy, ...]:
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
    """Set the slots reserved for each class, rounded to the nearest integer."""
    available = int(slots * _MAX_RESERVED_RATIO)
    for class_state in sorted(classes, key=lambda item: not item.policy.protected):
        class_state.share_slots = min(available, int(slots * class_state.policy.share_ratio + 0.5))
        class_state.reserved_slots = class_state.share_slots
        available -= class_state.share_slots


def reserve_for_most_urgent(classes: Sequence[ClassState], slots: int, now_s: float) -> None:
    """Reserve the recent peak use of the most urgent class, up to half of all slots.

    Arrivals are bursty, so reserving only the mean use would make requests of this class wait.
    """
    if not classes or classes[0].policy.protected:
        return
    first = classes[0]
    decayed = first.peak_in_flight * exp((first.peak_at_s - now_s) / _URGENT_USE_WINDOW_S)
    first.peak_in_flight = max(decayed, float(first.in_flight))
    first.peak_at_s = now_s
    most = int(slots * _MAX_RESERVED_RATIO)
    wanted = int(first.peak_in_flight + 1.0 + _URGENT_HEADROOM_RATIO * slots)
    first.reserved_slots = max(first.share_slots, min(most, wanted))


def count_started(class_state: ClassState) -> None:
    """Count a request that starts to occupy a slot."""
    class_state.in_flight += 1
    class_state.peak_in_flight = max(class_state.peak_in_flight, float(class_state.in_flight))


def next_class(classes: Sequence[ClassState], free_slots: int) -> ClassState | None:
    """Return the class to serve next, or None when no class may use a free slot.

    A less urgent class with credit is served before the most urgent one.
    """
    most_urgent: ClassState | None = None
    in_credit: ClassState | None = None
    protected_slots = sum(
        _unused_reserved(class_state) for class_state in classes if class_state.policy.protected
    )
    urgent_slots = 0
    for class_state in classes:
        unused = _unused_reserved(class_state)
        available = free_slots - protected_slots
        if class_state.policy.protected:
            available += unused
        if class_state.queue.length and available > 0:
            if most_urgent is None and available > urgent_slots:
                most_urgent = class_state
            elif class_state.credit_tokens > 0.0 and _has_more_credit(class_state, in_credit):
                # A class with credit may use a slot reserved for more urgent classes. Otherwise a
                # flood of the most urgent class would starve the classes that rank below an idle
                # one.
                in_credit = class_state
        if not class_state.policy.protected:
            urgent_slots += unused
    return in_credit or most_urgent


def _unused_reserved(class_state: ClassState) -> int:
    return max(0, class_state.reserved_slots - class_state.in_flight)


def _has_more_credit(class_state: ClassState, in_credit: ClassState | None) -> bool:
    return in_credit is None or class_state.credit_tokens > in_credit.credit_tokens


def update_credits(classes: Sequence[ClassState], served: ClassState, tokens: float) -> None:
    """Credit each class with a backlog its share of the tokens, and charge the served class."""
    if served.credit_tokens > 0.0:
        served.credit_tokens -= tokens
    for class_state in classes:
        if class_state.queue.length:
            class_state.credit_tokens += tokens * class_state.policy.share_ratio
        elif class_state.credit_tokens > 0.0:
            # An idle class doesn't accumulate credit.
            class_state.credit_tokens = 0.0
