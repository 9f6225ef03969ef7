"""Bound the bytes that the bodies of requests or responses hold in memory together.

A body holds a few bytes free of charge, so that small ones go on while the budget is used up. If
the bodies exceed the budget, the largest one that is still growing ends: it is usually that of an
upstream that sends bytes without end.
"""

from collections.abc import Callable

from msgspec import Struct, field

# Bytes of each body that are not charged.
FREE_BYTES = 16_384
# Fraction of the memory of a process that may be in use, and what it uses besides bodies.
_USABLE_MEMORY_RATIO = 0.8
_OTHER_MEMORY_BYTES = 96e6
# A body is copied when it is encoded, and both copies exist until it is sent.
_COPIES = 2
# Requests and responses have a budget each.
_BUDGETS = 2
_MIN_LIMIT_BYTES = 8e6


class Holding(Struct, eq=False):
    """Share of one body in a budget."""

    # Ends the transfer of the body.
    end: Callable[[], None]
    charged_bytes: int = 0
    is_growing: bool = True
    is_ended: bool = False


class ByteBudget(Struct, eq=False):
    """Limit on the bytes of all bodies, and the bodies that are charged."""

    limit_bytes: int
    charged_bytes: int = 0
    charged: set[Holding] = field(default_factory=set)


def limit_for_memory(memory_bytes: float) -> int:
    """Return the limit of each budget of a process that may use this much memory."""
    usable_bytes = memory_bytes * _USABLE_MEMORY_RATIO - _OTHER_MEMORY_BYTES
    return int(max(_MIN_LIMIT_BYTES, usable_bytes / (_BUDGETS * _COPIES)))


def has_room(budget: ByteBudget, size_bytes: int) -> bool:
    """Return whether another body fits; into an empty budget, any one does."""
    charge_bytes = _charge_for(size_bytes)
    is_free = not charge_bytes or not budget.charged
    return is_free or budget.charged_bytes + charge_bytes <= budget.limit_bytes


def resize(budget: ByteBudget, holding: Holding, size_bytes: int) -> None:
    """Set the size of a body; end the largest growing ones while the budget is exceeded."""
    if holding.is_ended:
        return
    _set_charge(budget, holding, _charge_for(size_bytes))
    while budget.charged_bytes > budget.limit_bytes:
        growing = [each for each in budget.charged if each.is_growing]
        if not growing:
            return
        largest = max(growing, key=lambda each: each.charged_bytes)
        largest.is_ended = True
        _set_charge(budget, largest, 0)
        largest.end()


def settle(holding: Holding) -> None:
    """Mark a body as complete, so that it does not end when the budget is exceeded."""
    holding.is_growing = False


def close(budget: ByteBudget, holding: Holding) -> None:
    """Return the bytes of a body that is no longer held."""
    _set_charge(budget, holding, 0)


def _charge_for(size_bytes: int) -> int:
    return max(0, size_bytes - FREE_BYTES)


def _set_charge(budget: ByteBudget, holding: Holding, charge_bytes: int) -> None:
    budget.charged_bytes += charge_bytes - holding.charged_bytes
    holding.charged_bytes = charge_bytes
    if charge_bytes:
        budget.charged.add(holding)
    else:
        budget.charged.discard(holding)
