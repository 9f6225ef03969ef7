"""Rendezvous hashing: which names of a set belong to a key.

D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998. A name that
leaves moves only the keys that it held; a name that joins takes its part from all others.
"""

from collections.abc import Iterable
from heapq import nlargest
from typing import TypeVar

from xxhash import xxh3_64_intdigest

Name = TypeVar("Name", bound=str)


def highest(key: str, names: Iterable[Name], count: int) -> list[Name]:
    """Return the `count` names with the highest scores for the key, the highest first."""
    prefix = f"{key}\0"
    # The name breaks ties, so that every process gives the same answer.
    return nlargest(
        count, names, key=lambda name: (xxh3_64_intdigest((prefix + name).encode()), name)
    )
