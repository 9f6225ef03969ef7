"""Propose commands about suspect fingerprints to control.

A fingerprint identifies requests with the same content. It is a suspect after an upstream crashed
while such a request was in flight.
"""

from lycheefall._control.client import ControlClient
from lycheefall._core.codes import ResultCode
from lycheefall._core.events import Event
from lycheefall._core.exceptions import ControlUnavailable
from lycheefall._core.ids import Incarnation
from lycheefall._core.log import log
from lycheefall._core.messages.control import (
    AcquireLease,
    ClearSuspects,
    Command,
    CrashResult,
    LeaseResult,
    RecordCrash,
    RenewLease,
    Result,
)
from lycheefall._core.messages.entry import (
    CrashRecorded,
    CrashReported,
    LeaseAnswered,
    LeaseRequested,
    SuspectEnded,
)
from lycheefall._rules.suspect_leases import suspect_lease

PROPOSAL_TIMEOUT_S = 4.0
# There is no command to release a lease, so it is renewed for this short duration instead.
RELEASED_LEASE_S = 0.001
# Remaining duration of a lease whose suspect failed: agents watch for a crash for 0.3 s after a
# cancel, and the crash must be recorded before the next copy of the request runs.
LEASE_AFTER_FAILURE_S = 1.0


async def record_crash(client: ControlClient, report: CrashReported) -> CrashRecorded:
    """Record the crash that ended an attempt in the replicated state."""
    crash = report.finished.crash
    assert crash is not None
    log(
        Event.CRASH_SUSPECTED,
        upstream=report.upstream,
        request=report.finished.request,
        fingerprint=crash.fingerprint,
        crash=crash.upstream_incarnation,
    )
    command = RecordCrash(report.upstream, crash.upstream_incarnation, (crash.fingerprint,))
    result = await _propose(client, command)
    refused = frozenset(result.refused) if isinstance(result, CrashResult) else None
    return CrashRecorded(report, refused)


async def acquire_lease(client: ControlClient, requested: LeaseRequested) -> LeaseAnswered:
    """Acquire the lease of a suspect for one request."""
    name = suspect_lease(requested.fingerprint)
    # The holder is the request, so that two copies through one entry exclude each other.
    command = AcquireLease(name, Incarnation(requested.request), requested.duration_s)
    result = await _propose(client, command)
    is_held = isinstance(result, LeaseResult) and result.code is ResultCode.OK
    fencing = result.fencing if is_held and isinstance(result, LeaseResult) else None
    return LeaseAnswered(requested.request, requested.fingerprint, fencing)


async def release_suspect(client: ControlClient, ended: SuspectEnded) -> None:
    """Release the lease of a suspect and clear the suspect; if it failed, shorten the lease."""
    if ended.is_clear:
        await _propose(client, ClearSuspects((ended.fingerprint,)))
    name = suspect_lease(ended.fingerprint)
    holder = Incarnation(ended.request)
    remaining_s = RELEASED_LEASE_S if ended.is_clear else LEASE_AFTER_FAILURE_S
    await _propose(client, RenewLease(name, holder, ended.fencing, remaining_s))


async def _propose(client: ControlClient, command: Command) -> Result | None:
    try:
        return await client.propose(command, PROPOSAL_TIMEOUT_S)
    except ControlUnavailable:
        return None
