"""Block requests whose prompt has a suspected part, and try one of them from time to time.

The time until the next trial grows with the crashes, since a trial may crash one more upstream. It
is random, so that of many entries one tries first; the others wait until they know how it ended.
"""

from collections.abc import Iterable, Mapping
from random import Random

from msgspec import Struct, field

from lycheefall._core.ids import PromptPart

# Shortest time until a trial after the first crash; each further crash multiplies it.
FIRST_BLOCK_S = 5.0
BLOCK_GROWTH = 4.0
# Range of the random factor of a block.
BLOCK_SPREAD = 3.0
# Time for the outcome of a trial, in which no other one starts.
TRIAL_S = 2.0
MAX_BLOCK_S = 600.0


class _Block(Struct):
    """Crashes blamed on a part, and when the next trial may start."""

    crashes: int
    until_s: float
    # Start of the latest trial by this entry.
    trial_s: float = float("-inf")


class PromptBlocks(Struct, eq=False):
    """Blocks by part."""

    blocks: dict[PromptPart, _Block] = field(default_factory=dict)


def update(
    state: PromptBlocks, verdicts: Mapping[PromptPart, int], now_s: float, random: Random
) -> tuple[PromptPart, ...]:
    """Apply new verdicts, and return the parts that are blocked by a further crash."""
    for part in [part for part in state.blocks if not verdicts.get(part)]:
        del state.blocks[part]
    blocked: list[PromptPart] = []
    for part, crashes in verdicts.items():
        block = state.blocks.get(part)
        if crashes > (0 if block is None else block.crashes):
            duration_s = FIRST_BLOCK_S * BLOCK_GROWTH ** (crashes - 1)
            duration_s = min(MAX_BLOCK_S, duration_s * random.uniform(1.0, BLOCK_SPREAD))
            state.blocks[part] = _Block(crashes, now_s + duration_s)
            blocked.append(part)
    return tuple(blocked)


def blocked_for_s(state: PromptBlocks, parts: Iterable[PromptPart], now_s: float) -> float:
    """Return how long a prompt with these parts is still blocked; not above 0 if it is not."""
    blocks = (state.blocks[part] for part in parts if part in state.blocks)
    return max((block.until_s - now_s for block in blocks), default=0.0)


def start_trial(state: PromptBlocks, parts: Iterable[PromptPart], now_s: float) -> bool:
    """Start a trial of the suspected ones among some parts, and return whether there are any."""
    blocks = [state.blocks[part] for part in parts if part in state.blocks]
    for block in blocks:
        block.trial_s = now_s
        block.until_s = now_s + TRIAL_S
    return bool(blocks)


def await_trial(state: PromptBlocks, part: PromptPart, trial_s: float) -> None:
    """Block a part for the duration of a trial by any entry."""
    block = state.blocks.get(part)
    if block is not None:
        block.until_s = max(block.until_s, trial_s + TRIAL_S)
