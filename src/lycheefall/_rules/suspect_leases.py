"""Names of the leases under which suspects may be in flight.

A request that is not a suspect uses only its own two upstreams (`_rules/placing/choice.py`). After
a crash, an entry retries the requests that were in flight only once the RecordCrash is committed. A
suspect is sent only under a lease, which its entry holds from before the dispatch until the attempt
has ended and any crash is recorded. So at most one copy is in flight across all entries, and the
request is refused after its second crash.

The bound assumes that entries agree on the members. An upstream that crashed and restarted before
the suspect runs may be lost a second time while a copy is still in flight elsewhere.
"""

from lycheefall._core.ids import Fingerprint, LeaseName

_PREFIX = "suspect/"


def suspect_lease(fingerprint: Fingerprint) -> LeaseName:
    """Return the name of the lease for a suspect."""
    return LeaseName(f"{_PREFIX}{fingerprint}")


def suspect_of(name: LeaseName) -> Fingerprint | None:
    """Return the fingerprint that a lease is for, or None if it is not the lease of a suspect."""
    return Fingerprint(name.removeprefix(_PREFIX)) if name.startswith(_PREFIX) else None
