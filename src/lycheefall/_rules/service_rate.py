"""Measured rates of service, from which the wait of a new request is judged."""

from math import exp

# Finished requests that weigh as much as all older ones together, times 1.44.
_WINDOW_REQUESTS = 128
_KEPT_RATIO = 1.0 - 1.0 / _WINDOW_REQUESTS
_FLOW_WINDOW_S = 2.0


class SlotRate:
    """Tokens that one busy slot serves in a second.

    Slots are counted only while they are busy, so the rate is right before the pool is full.
    """

    __slots__ = ("busy_s", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.busy_s = 0.0


def observe_finished(rate: SlotRate, tokens: float, busy_s: float) -> None:
    """Add a request that held a slot for some time."""
    rate.tokens = rate.tokens * _KEPT_RATIO + tokens
    rate.busy_s = rate.busy_s * _KEPT_RATIO + busy_s


def tokens_per_slot_s(rate: SlotRate) -> float:
    """Return the rate of one slot, or 0 before anything is measured."""
    if rate.busy_s <= 0.0:
        return 0.0
    return rate.tokens / rate.busy_s


class Flow:
    """Tokens admitted in a second, over a window that decays."""

    __slots__ = ("at_s", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.at_s = 0.0


def observe_admitted(flow: Flow, tokens: float, now_s: float) -> None:
    """Add a request that was admitted now."""
    flow.tokens = flow.tokens * exp((flow.at_s - now_s) / _FLOW_WINDOW_S) + tokens
    flow.at_s = now_s


def tokens_per_s(flow: Flow, now_s: float) -> float:
    """Return the recent flow."""
    if flow.tokens == 0.0:
        return 0.0
    return flow.tokens * exp((flow.at_s - now_s) / _FLOW_WINDOW_S) / _FLOW_WINDOW_S
