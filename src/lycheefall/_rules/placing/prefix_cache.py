"""Hints about the prompt prefixes in the caches of upstreams.

Cache events arrive late and with gaps. A gap may hide removals, so the hints of the upstream are
dropped after one. A wrong hint costs time but never correctness.
"""

from collections import OrderedDict
from collections.abc import Sequence

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from lycheefall._core.ids import Incarnation, UpstreamId

_BLOCK_BYTES = 256
# Later blocks of a prompt are not hashed.
_MAX_BLOCKS = 32
_MAX_PREFIXES_PER_UPSTREAM = 20_000


class CacheEvents(Struct, frozen=True, kw_only=True):
    """Consecutive changes of one upstream's cache."""

    upstream: UpstreamId
    incarnation: Incarnation
    # Sequence number of the first event; each stored or removed prefix is one event.
    first_sequence: int
    # Pairs of a prefix hash and True for stored, False for removed.
    changes: tuple[tuple[int, bool], ...]


class _CachedPrefixes:
    """Prefixes that one incarnation of an upstream caches, and the next expected event."""

    __slots__ = ("incarnation", "next_sequence", "prefixes")

    def __init__(self, incarnation: Incarnation, next_sequence: int) -> None:
        self.incarnation = incarnation
        self.next_sequence = next_sequence
        # In order of arrival, so that the oldest hint is evicted first.
        self.prefixes: OrderedDict[int, None] = OrderedDict()


class CacheHints:
    """Cached prefixes by upstream, and upstreams by cached prefix."""

    __slots__ = ("by_upstream", "holders")

    def __init__(self) -> None:
        self.by_upstream: dict[UpstreamId, _CachedPrefixes] = {}
        self.holders: dict[int, set[UpstreamId]] = {}


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's complete blocks, shortest prefix first."""
    blocks = min(_MAX_BLOCKS, len(prompt) // _BLOCK_BYTES)
    hashes = []
    last = 0
    for index in range(blocks):
        block = prompt[index * _BLOCK_BYTES : (index + 1) * _BLOCK_BYTES]
        last = xxh3_64_intdigest(block, seed=last)
        hashes.append(last)
    return tuple(hashes)


def observe(hints: CacheHints, events: CacheEvents) -> CacheHints:
    """Apply cache events; first drop the upstream's hints when earlier events are missing."""
    cached = hints.by_upstream.get(events.upstream)
    if cached is None or cached.incarnation != events.incarnation:
        drop_upstream(hints, events.upstream)
        cached = hints.by_upstream[events.upstream] = _CachedPrefixes(
            events.incarnation, events.first_sequence
        )
    if events.first_sequence > cached.next_sequence:
        _drop_all(hints, events.upstream, cached)
        cached.next_sequence = events.first_sequence
    already_seen = cached.next_sequence - events.first_sequence
    for prefix, stored in events.changes[already_seen:]:
        cached.next_sequence += 1
        if stored:
            _store(hints, events.upstream, cached, prefix)
        else:
            _remove(hints, events.upstream, cached, prefix)
    return hints


def drop_upstream(hints: CacheHints, upstream: UpstreamId) -> CacheHints:
    """Drop all hints of an upstream that was removed or restarted."""
    cached = hints.by_upstream.pop(upstream, None)
    if cached is not None:
        _drop_all(hints, upstream, cached)
    return hints


_NO_HOLDERS: frozenset[UpstreamId] = frozenset()


def longest_match(
    hints: CacheHints, prefixes: Sequence[int]
) -> tuple[set[UpstreamId] | frozenset[UpstreamId], float]:
    """Return the upstreams that cache the longest known prefix, and the matched ratio."""
    for length in range(len(prefixes), 0, -1):
        holders = hints.holders.get(prefixes[length - 1])
        if holders:
            return holders, length / len(prefixes)
    return _NO_HOLDERS, 0.0


def _store(hints: CacheHints, upstream: UpstreamId, cached: _CachedPrefixes, prefix: int) -> None:
    cached.prefixes.pop(prefix, None)
    cached.prefixes[prefix] = None
    hints.holders.setdefault(prefix, set()).add(upstream)
    if len(cached.prefixes) > _MAX_PREFIXES_PER_UPSTREAM:
        _remove(hints, upstream, cached, next(iter(cached.prefixes)))


def _remove(hints: CacheHints, upstream: UpstreamId, cached: _CachedPrefixes, prefix: int) -> None:
    cached.prefixes.pop(prefix, None)
    holders = hints.holders.get(prefix)
    if holders is None:
        return
    holders.discard(upstream)
    if not holders:
        del hints.holders[prefix]


def _drop_all(hints: CacheHints, upstream: UpstreamId, cached: _CachedPrefixes) -> None:
    for prefix in list(cached.prefixes):
        _remove(hints, upstream, cached, prefix)
