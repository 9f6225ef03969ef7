"""Measured service and admission rates, from which the wait of a new request is estimated."""

from math import exp

# Time constant of the decay in finished requests; the half-life is this divided by 1.44.
_WINDOW_REQUESTS = 128
_KEPT_RATIO = 1.0 - 1.0 / _WINDOW_REQUESTS
# Time constant of the decay of the admitted tokens.
_ADMISSION_WINDOW_S = 2.0


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


class AdmissionRate:
    """Exponentially decaying sum of the tokens admitted, from which `tokens_per_s` is computed."""

    __slots__ = ("at_s", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.at_s = 0.0


def observe_admitted(rate: AdmissionRate, tokens: float, now_s: float) -> None:
    """Add the tokens of a request admitted now."""
    rate.tokens = rate.tokens * exp((rate.at_s - now_s) / _ADMISSION_WINDOW_S) + tokens
    rate.at_s = now_s


def tokens_per_s(rate: AdmissionRate, now_s: float) -> float:
    """Return the recent admission rate in tokens per second."""
    if rate.tokens == 0.0:
        return 0.0
    return rate.tokens * exp((rate.at_s - now_s) / _ADMISSION_WINDOW_S) / _ADMISSION_WINDOW_S
