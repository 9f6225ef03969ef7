"""Handling of suspects: requests that were in flight when an upstream crashed.

At most one copy of a suspect is in flight, under a lease, and only after the other entries had
time to learn of the suspect and cancel their copies. So one request crashes two upstreams at most.
"""

from lycheefall._core.ids import Fingerprint
from lycheefall._core.messages.entry import (
    CrashRecorded,
    CrashReported,
    FingerprintsChanged,
    FromDispatch,
    LeaseAnswered,
    LeaseRequested,
    SuspectEnded,
)
from lycheefall._rules.call_state import Call, CallsState

# Time for all entries to learn of a suspect and cancel their copies. Entries poll control for
# changes ten times a second, and agents cancel a copy immediately.
PROPAGATION_DELAY_S = 1.0
# Time between requests for a lease that another copy holds.
LEASE_RETRY_S = 0.1
# Time limit for the answer to a lease request.
LEASE_ANSWER_S = 5.0
# Time by which a lease outlasts the deadline of its call.
LEASE_MARGIN_S = 2.0
# Answers from control that predate a crash recorded here may arrive for this long.
RECORD_RETENTION_S = 2.0


def hold_until_recorded(state: CallsState, report: CrashReported) -> list[FromDispatch]:
    """Hold back the result of an attempt until its crash is recorded."""
    call = state.calls.get(report.finished.request)
    if call is not None and call.attempt == report.finished.attempt:
        call.crash_pending = True
    return [report]


def add_recorded_crash(state: CallsState, recorded: CrashRecorded, now_s: float) -> list[Call]:
    """Add the suspect of a recorded crash; return the calls whose copies must be cancelled."""
    crash = recorded.report.finished.crash
    assert crash is not None
    state.refused |= recorded.refused or frozenset()
    state.recorded_s[crash.fingerprint] = now_s
    state.suspected_s.setdefault(crash.fingerprint, now_s)
    state.suspects = (state.suspects | {crash.fingerprint}) - state.refused
    return _copies_in_flight(state, frozenset([crash.fingerprint]))


def update_suspects(state: CallsState, changed: FingerprintsChanged, now_s: float) -> list[Call]:
    """Apply an update from control; return the calls whose copies must be cancelled."""
    state.recorded_s = {
        f: at_s for f, at_s in state.recorded_s.items() if now_s - at_s < RECORD_RETENTION_S
    }
    recent = frozenset(state.recorded_s)
    previous = state.suspects | state.refused
    state.confirmed_suspects, state.confirmed_s = changed.suspects, now_s
    state.refused = changed.refused | (recent & state.refused)
    state.suspects = (changed.suspects | recent) - state.refused
    state.suspected_s = {f: state.suspected_s.get(f, now_s) for f in state.suspects}
    return _copies_in_flight(state, (state.suspects | state.refused) - previous)


def add_reported_suspects(
    state: CallsState, crashed: tuple[Fingerprint, ...], now_s: float
) -> list[Call]:
    """Add suspects that an agent reports after a crash, before control knows of them.

    Return the calls whose copies must be cancelled.
    """
    if not crashed:
        return []
    suspects = frozenset(crashed) - state.refused
    added = suspects - state.suspects
    for fingerprint in suspects:
        state.recorded_s[fingerprint] = now_s
        state.suspected_s.setdefault(fingerprint, now_s)
    state.suspects |= added
    return _copies_in_flight(state, added)


def expire(state: CallsState, now_s: float) -> None:
    """Drop suspects that were added here and that control has cleared since."""
    for fingerprint, at_s in list(state.recorded_s.items()):
        if now_s - at_s < RECORD_RETENTION_S:
            continue
        del state.recorded_s[fingerprint]
        is_known = state.suspected_s.get(fingerprint, now_s) <= state.confirmed_s
        if is_known and fingerprint not in state.confirmed_suspects:
            state.suspects -= {fingerprint}
            state.suspected_s.pop(fingerprint, None)


def needs_lease(state: CallsState, call: Call) -> bool:
    """Return whether the call must obtain a lease before it may be dispatched."""
    return call.caller_request.fingerprint in state.suspects and call.lease is None


def park_for_lease(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Park a suspect and request its lease."""
    state.parked[call.caller_request.request] = call
    return request_lease(state, call, now_s)


def request_lease(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Request the lease of a suspect once its copies elsewhere are cancelled."""
    caller_request = call.caller_request
    propagated_s = state.suspected_s.get(caller_request.fingerprint, now_s) + PROPAGATION_DELAY_S
    if call.crash_pending or now_s < max(propagated_s, call.lease_due_s):
        return []
    call.lease_due_s = now_s + LEASE_ANSWER_S
    duration_s = max(0.0, caller_request.deadline_s - now_s) + LEASE_MARGIN_S
    return [LeaseRequested(caller_request.request, caller_request.fingerprint, duration_s)]


def release_ended_lease(answered: LeaseAnswered) -> list[FromDispatch]:
    """Release a lease that was granted after its call had ended."""
    if answered.fencing is None:
        return []
    return [SuspectEnded(answered.request, answered.fingerprint, answered.fencing, False)]


def clear_suspect(state: CallsState, call: Call) -> None:
    """Remove a suspect that finished under its lease without a crash."""
    if call.lease is None:
        return
    fingerprint = call.caller_request.fingerprint
    call.is_clear = True
    state.suspects -= {fingerprint}
    state.recorded_s.pop(fingerprint, None)
    state.suspected_s.pop(fingerprint, None)


def _copies_in_flight(state: CallsState, fingerprints: frozenset[Fingerprint]) -> list[Call]:
    """Return the calls in flight without a lease; a booking that was sent is never cancelled."""
    return [
        call
        for call in state.calls.values()
        if call.caller_request.fingerprint in fingerprints
        and call.caller_request.operation is None
        and call.slot_key is not None
        and call.lease is None
        and not call.crash_pending
    ]
