"""Whether the passes of a group became longer at once, from the pauses of its streams.

When other experts come into demand, a map that was good before makes every pass of the group
two or three times as long. Streams show that with their next event, at no cost.
"""

from collections import deque
from math import exp
from statistics import median

from msgspec import Struct, field

# Pauses that are compared; a single stream may pause for another reason.
_RECENT_PAUSES = 5
# Passes that are this much longer than usual show a shift. The prompts that are read between two
# events make a pass up to a quarter longer.
LONGER_RATIO = 1.3
# The usual length follows shorter passes soon and longer ones slowly.
_SHORTER_S = 0.3
_LONGER_S = 1.5
# After a shift was seen, the passes that show it again are not counted for this time.
_SHIFT_COOLDOWN_S = 0.6


class PassLength(Struct, eq=False):
    """Length of the passes of one group."""

    usual_s: float = 0.0
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=_RECENT_PAUSES))
    updated_s: float = float("-inf")
    shift_s: float = float("-inf")


def observe(length: PassLength, pause_s: float, now_s: float) -> bool:
    """Take the pause before an event; return whether passes became longer at once."""
    length.recent.append(pause_s)
    if not length.usual_s:
        length.usual_s, length.updated_s = pause_s, now_s
        return False
    current_s = median(length.recent)
    is_shift = (
        len(length.recent) == _RECENT_PAUSES
        and current_s > LONGER_RATIO * length.usual_s
        and now_s - length.shift_s > _SHIFT_COOLDOWN_S
    )
    if is_shift:
        length.usual_s, length.shift_s = current_s, now_s
    period_s = _SHORTER_S if current_s < length.usual_s else _LONGER_S
    weight = 1.0 - exp(-max(0.0, now_s - length.updated_s) / period_s)
    length.usual_s += weight * (current_s - length.usual_s)
    length.updated_s = now_s
    return is_shift
