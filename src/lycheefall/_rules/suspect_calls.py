"""What an entry does with requests that were in flight when an upstream crashed.

A suspect is in flight once, under its lease, and only after the time in which the other entries
learn of it and stop their copies. So one request costs two upstreams at most.
"""

from lycheefall._core.ids import Fingerprint
from lycheefall._core.messages.entry import (
    CrashRecorded,
    CrashSeen,
    FingerprintsChanged,
    FromDispatch,
    LeaseAnswered,
    LeaseRequested,
    SuspectEnded,
)
from lycheefall._rules.call_state import Call, CallsState

# Entries ask control for changes ten times a second, and an agent stops a copy at once.
SETTLE_S = 1.0
LEASE_RETRY_S = 0.1
# A proposal of a lease is answered, or given up, within this time.
LEASE_ANSWER_S = 5.0
# A lease outlives the deadline of its call by this.
LEASE_MARGIN_S = 2.0
# An answer of control that is older than a crash recorded here may still come for this long.
KEPT_S = 2.0


def crash_seen(state: CallsState, seen: CrashSeen) -> list[FromDispatch]:
    """Hold the end of an attempt back until its crash is recorded."""
    call = state.calls.get(seen.finished.request)
    if call is not None and call.attempt == seen.finished.attempt:
        call.crashing = True
    return [seen]


def note_crash(state: CallsState, recorded: CrashRecorded, now_s: float) -> list[Call]:
    """Take over a recorded crash; return the calls with copies in flight that must stop."""
    crash = recorded.seen.finished.crash
    assert crash is not None
    state.refused |= recorded.refused or frozenset()
    state.recorded_s[crash.fingerprint] = now_s
    state.suspected_s.setdefault(crash.fingerprint, now_s)
    state.suspects = (state.suspects | {crash.fingerprint}) - state.refused
    return _copies(state, frozenset([crash.fingerprint]))


def take(state: CallsState, changed: FingerprintsChanged, now_s: float) -> list[Call]:
    """Take over what control says; return the calls with copies in flight that must stop."""
    state.recorded_s = {f: at_s for f, at_s in state.recorded_s.items() if now_s - at_s < KEPT_S}
    kept = frozenset(state.recorded_s)
    before = state.suspects | state.refused
    state.listed, state.listed_s = changed.suspects, now_s
    state.refused = changed.refused | (kept & state.refused)
    state.suspects = (changed.suspects | kept) - state.refused
    state.suspected_s = {f: state.suspected_s.get(f, now_s) for f in state.suspects}
    return _copies(state, (state.suspects | state.refused) - before)


def hear(state: CallsState, crashed: tuple[Fingerprint, ...], now_s: float) -> list[Call]:
    """Suspect what an agent says was in flight at a crash, before control knows of it.

    Return the calls with copies in flight that must stop.
    """
    if not crashed:
        return []
    suspects = frozenset(crashed) - state.refused
    added = suspects - state.suspects
    for fingerprint in suspects:
        state.recorded_s[fingerprint] = now_s
        state.suspected_s.setdefault(fingerprint, now_s)
    state.suspects |= added
    return _copies(state, added)


def expire(state: CallsState, now_s: float) -> None:
    """Drop suspects of agents that control has not named since; it cleared them."""
    for fingerprint, at_s in list(state.recorded_s.items()):
        if now_s - at_s < KEPT_S:
            continue
        del state.recorded_s[fingerprint]
        is_known = state.suspected_s.get(fingerprint, now_s) <= state.listed_s
        if is_known and fingerprint not in state.listed:
            state.suspects -= {fingerprint}
            state.suspected_s.pop(fingerprint, None)


def must_wait(state: CallsState, call: Call) -> bool:
    """Tell whether the call needs a lease before it may be dispatched."""
    return call.call.fingerprint in state.suspects and call.lease is None


def wait(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Park a suspect and ask for its lease."""
    state.parked[call.call.request] = call
    return want_lease(state, call, now_s)


def want_lease(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Ask for the lease of a suspect once copies elsewhere have stopped."""
    request = call.call
    settled_s = state.suspected_s.get(request.fingerprint, now_s) + SETTLE_S
    if call.crashing or now_s < max(settled_s, call.lease_due_s):
        return []
    call.lease_due_s = now_s + LEASE_ANSWER_S
    duration_s = max(0.0, request.deadline_s - now_s) + LEASE_MARGIN_S
    return [LeaseRequested(request.request, request.fingerprint, duration_s)]


def give_back(answered: LeaseAnswered) -> list[FromDispatch]:
    """Give back a lease whose call has ended."""
    if answered.fencing is None:
        return []
    return [SuspectEnded(answered.request, answered.fingerprint, answered.fencing, False)]


def cleared(state: CallsState, call: Call) -> None:
    """Note that a suspect finished well while it ran alone."""
    if call.lease is None:
        return
    fingerprint = call.call.fingerprint
    call.is_clear = True
    state.suspects -= {fingerprint}
    state.recorded_s.pop(fingerprint, None)
    state.suspected_s.pop(fingerprint, None)


def _copies(state: CallsState, fingerprints: frozenset[Fingerprint]) -> list[Call]:
    return [
        call
        for call in state.calls.values()
        if call.call.fingerprint in fingerprints
        and call.call.operation is None
        and call.occupied is not None
        and call.lease is None
        and not call.crashing
    ]
