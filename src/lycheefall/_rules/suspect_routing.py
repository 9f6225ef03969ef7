"""Where an entry may send a fingerprint, so that one request costs two upstreams at most.

A fingerprint that is no suspect goes only to the first two upstreams of its own order, which all
entries compute alike, so copies through several entries are in flight on two upstreams at most.
After an upstream was lost, an entry sends nothing again that was in flight there before its
RecordCrash is committed. A suspect is sent only under the lease that suspect_lease names, which
its entry holds from before the dispatch until the attempt ended and a crash is recorded; so it is
in flight once, whichever entries it is sent to. It goes to the first upstream of the order that
is left, the other one of the pair, and a second crash refuses it.

The bound assumes that entries agree on the members. An upstream that crashed and came back before
the suspect runs may be lost a second time while a copy is still in flight on the other one.
"""

from collections.abc import Iterable

import xxhash

from lycheefall._core.ids import Fingerprint, LeaseName, UpstreamId

PAIR = 2


def candidates(
    fingerprint: Fingerprint, upstreams: Iterable[UpstreamId], alone: bool
) -> list[UpstreamId]:
    """Return the upstreams that may run a fingerprint; one for a suspect, else up to two.

    Rendezvous hashing: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", 1998.
    """
    order = sorted(upstreams, key=lambda upstream: _weight(fingerprint, upstream))
    return order[: 1 if alone else PAIR]


def suspect_lease(fingerprint: Fingerprint) -> LeaseName:
    """Return the lease under which a suspect may be in flight."""
    return LeaseName(f"suspect/{fingerprint}")


def _weight(fingerprint: Fingerprint, upstream: UpstreamId) -> int:
    return xxhash.xxh3_64_intdigest(f"{len(fingerprint)}:{fingerprint}{upstream}".encode())
