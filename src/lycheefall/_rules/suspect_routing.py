"""The lease under which a suspect may be in flight.

A request that is no suspect stays at its own two upstreams (`_rules/choice.py`). After a crash an
entry sends nothing again that was in flight there before its RecordCrash is committed. A suspect is
sent only under its lease, which its entry holds from before the dispatch until the attempt has
ended and a crash is recorded; so it is in flight once, whichever entries it is sent to, and its
second crash refuses it.

The bound assumes that entries agree on the members. An upstream that crashed and came back before
the suspect runs may be lost a second time while a copy is still in flight elsewhere.
"""

from lycheefall._core.ids import Fingerprint, LeaseName

_PREFIX = "suspect/"


def suspect_lease(fingerprint: Fingerprint) -> LeaseName:
    """Return the name of the lease."""
    return LeaseName(f"{_PREFIX}{fingerprint}")


def suspect_of(name: LeaseName) -> Fingerprint | None:
    """Return whose lease it is; None for a lease of something else."""
    return Fingerprint(name.removeprefix(_PREFIX)) if name.startswith(_PREFIX) else None
