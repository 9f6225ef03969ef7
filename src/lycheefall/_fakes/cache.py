"""LRU prefix cache of the fake engine, and the events that it publishes."""

from collections import OrderedDict, deque
from enum import Enum
from random import Random

from msgspec import Struct, field

# Older events are dropped, so a reader that lags further behind sees a gap.
MAX_EVENTS = 4096


class CacheChange(Enum):
    """Change of a cache block."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(Struct, frozen=True):
    """Published change of the prefix cache."""

    sequence: int
    change: CacheChange
    block: str
    at_s: float


class CacheEvents(Struct, frozen=True):
    """Answer of GET /cache-events; a gap in the sequence numbers means that events were lost."""

    events: tuple[CacheEvent, ...]
    last: int


class PrefixCache(Struct, kw_only=True):
    """Cached blocks in LRU order, least recently used first, and the events not yet dropped."""

    capacity_blocks: int
    event_loss_ratio: float
    random: Random
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[CacheEvent] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    sequence: int = 0


def use_blocks(cache: PrefixCache, blocks: tuple[str, ...], now_s: float) -> int:
    """Store the blocks of a prompt; return how many leading blocks were cached before."""
    hits = _leading_hits(cache, blocks)
    for block in blocks:
        if block not in cache.blocks:
            _publish(cache, CacheChange.STORED, block, now_s)
        cache.blocks[block] = None
        cache.blocks.move_to_end(block)
    while len(cache.blocks) > cache.capacity_blocks:
        oldest, _ = cache.blocks.popitem(last=False)
        _publish(cache, CacheChange.REMOVED, oldest, now_s)
    return hits


def events_after(cache: PrefixCache, sequence: int, until_s: float) -> CacheEvents:
    """Return the events after a sequence number that happened no later than `until_s`."""
    due = tuple(each for each in cache.events if each.sequence > sequence and each.at_s <= until_s)
    return CacheEvents(due, due[-1].sequence if due else sequence)


def _leading_hits(cache: PrefixCache, blocks: tuple[str, ...]) -> int:
    for index, block in enumerate(blocks):
        if block not in cache.blocks:
            return index
    return len(blocks)


def _publish(cache: PrefixCache, change: CacheChange, block: str, now_s: float) -> None:
    cache.sequence += 1
    if cache.random.random() >= cache.event_loss_ratio:
        cache.events.append(CacheEvent(cache.sequence, change, block, now_s))
