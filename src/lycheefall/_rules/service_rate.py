"""Measured service rates, from which the wait of a new request is estimated."""

from math import exp

# Time constant of the decay in finished requests; the half-life is this divided by 1.44.
_WINDOW_REQUESTS = 128
_KEPT_RATIO = 1.0 - 1.0 / _WINDOW_REQUESTS
_FLOW_WINDOW_S = 2.0


class SlotRate:
    """Tokens that one busy slot serves per second.

    Only busy time counts, so the rate is accurate even while the pool isn't full.
    """

    __slots__ = ("busy_s", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.busy_s = 0.0


def observe_finished(rate: SlotRate, tokens: float, busy_s: float) -> None:
    """Add a finished request that occupied a slot for busy_s seconds."""
    rate.tokens = rate.tokens * _KEPT_RATIO + tokens
    rate.busy_s = rate.busy_s * _KEPT_RATIO + busy_s


def tokens_per_slot_s(rate: SlotRate) -> float:
    """Return the tokens per second of one slot, or 0 before the first measurement."""
    if rate.busy_s <= 0.0:
        return 0.0
    return rate.tokens / rate.busy_s


class Flow:
    """Exponentially decaying sum of the tokens admitted."""

    __slots__ = ("at_s", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.at_s = 0.0


def observe_admitted(flow: Flow, tokens: float, now_s: float) -> None:
    """Add the tokens of a request admitted now."""
    flow.tokens = flow.tokens * exp((flow.at_s - now_s) / _FLOW_WINDOW_S) + tokens
    flow.at_s = now_s


def tokens_per_s(flow: Flow, now_s: float) -> float:
    """Return the recent admission rate in tokens per second."""
    if flow.tokens == 0.0:
        return 0.0
    return flow.tokens * exp((flow.at_s - now_s) / _FLOW_WINDOW_S) / _FLOW_WINDOW_S
