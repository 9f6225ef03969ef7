"""Hints of which upstreams hold which prompt prefixes in their cache.

Cache events arrive late and with gaps. A gap may hide removals, so it drops the hints of that
upstream; a wrong hint costs speed and never an answer.
"""

from collections import OrderedDict
from collections.abc import Sequence

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from lycheefall._core.ids import Incarnation, UpstreamId

_BLOCK_BYTES = 256
_MAX_BLOCKS = 32
_MAX_PREFIXES_PER_UPSTREAM = 20_000


class CacheEvents(Struct, frozen=True, kw_only=True):
    """Changes of one upstream's cache that follow each other without a gap."""

    upstream: UpstreamId
    incarnation: Incarnation
    # Sequence of the first event; each stored or removed prefix is one event.
    first_sequence: int
    # Prefix hashes with True for stored and False for removed.
    changes: tuple[tuple[int, bool], ...]


class _Held:
    __slots__ = ("incarnation", "next_sequence", "prefixes")

    def __init__(self, incarnation: Incarnation, next_sequence: int) -> None:
        self.incarnation = incarnation
        self.next_sequence = next_sequence
        # In order of arrival, so that the oldest hint is dropped first.
        self.prefixes: OrderedDict[int, None] = OrderedDict()


class CacheHints:
    """Prefixes by upstream, and upstreams by prefix."""

    __slots__ = ("held", "holders")

    def __init__(self) -> None:
        self.held: dict[UpstreamId, _Held] = {}
        self.holders: dict[int, set[UpstreamId]] = {}


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return chained hashes of the prompt's whole blocks, the shortest prefix first."""
    blocks = min(_MAX_BLOCKS, len(prompt) // _BLOCK_BYTES)
    hashes = []
    last = 0
    for index in range(blocks):
        block = prompt[index * _BLOCK_BYTES : (index + 1) * _BLOCK_BYTES]
        last = xxh3_64_intdigest(block, seed=last)
        hashes.append(last)
    return tuple(hashes)


def observe(hints: CacheHints, events: CacheEvents) -> CacheHints:
    """Apply cache events; drop the upstream's hints first when events before them are missing."""
    held = hints.held.get(events.upstream)
    if held is None or held.incarnation != events.incarnation:
        forget(hints, events.upstream)
        held = hints.held[events.upstream] = _Held(events.incarnation, events.first_sequence)
    if events.first_sequence > held.next_sequence:
        _drop_all(hints, events.upstream, held)
        held.next_sequence = events.first_sequence
    already_seen = held.next_sequence - events.first_sequence
    for prefix, stored in events.changes[already_seen:]:
        held.next_sequence += 1
        if stored:
            _store(hints, events.upstream, held, prefix)
        else:
            _remove(hints, events.upstream, held, prefix)
    return hints


def forget(hints: CacheHints, upstream: UpstreamId) -> CacheHints:
    """Drop all hints of an upstream that has left."""
    held = hints.held.pop(upstream, None)
    if held is not None:
        _drop_all(hints, upstream, held)
    return hints


_NO_HOLDERS: frozenset[UpstreamId] = frozenset()


def longest_match(
    hints: CacheHints, prefixes: Sequence[int]
) -> tuple[set[UpstreamId] | frozenset[UpstreamId], float]:
    """Return the holders of the longest known prefix, and its part of the given ones."""
    for length in range(len(prefixes), 0, -1):
        holders = hints.holders.get(prefixes[length - 1])
        if holders:
            return holders, length / len(prefixes)
    return _NO_HOLDERS, 0.0


def _store(hints: CacheHints, upstream: UpstreamId, held: _Held, prefix: int) -> None:
    held.prefixes.pop(prefix, None)
    held.prefixes[prefix] = None
    hints.holders.setdefault(prefix, set()).add(upstream)
    if len(held.prefixes) > _MAX_PREFIXES_PER_UPSTREAM:
        _remove(hints, upstream, held, next(iter(held.prefixes)))


def _remove(hints: CacheHints, upstream: UpstreamId, held: _Held, prefix: int) -> None:
    held.prefixes.pop(prefix, None)
    holders = hints.holders.get(prefix)
    if holders is None:
        return
    holders.discard(upstream)
    if not holders:
        del hints.holders[prefix]


def _drop_all(hints: CacheHints, upstream: UpstreamId, held: _Held) -> None:
    for prefix in list(held.prefixes):
        _remove(hints, upstream, held, prefix)
