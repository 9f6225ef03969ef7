"""Rendezvous hashing: assign names of a set to a key.

D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998. Removing a name
moves only the keys assigned to it; an added name takes an equal part from all others.
"""

from collections.abc import Iterable
from heapq import nlargest
from typing import TypeVar

from xxhash import xxh3_64_intdigest

Name = TypeVar("Name", bound=str)


def highest(key: str, names: Iterable[Name], count: int) -> list[Name]:
    """Return the `count` names with the highest scores for the key, in descending order."""
    prefix = f"{key}\0"
    # The name breaks ties, so that every process computes the same result.
    return nlargest(
        count, names, key=lambda name: (xxh3_64_intdigest((prefix + name).encode()), name)
    )
