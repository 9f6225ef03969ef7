"""Claim flow of a booking at an entry, from its claim to its answer.

A booking is a request for a non-idempotent operation; it runs at most once under its idempotency
key. An attempt is dispatched only after its claim is committed, and the claim moves to another
upstream only after the agent proved that the attempt did not start. After a claim, the caller is
answered "not run" only once control has committed that the claim was given up at an attempt that
is proved not to have run. The answer then also holds for other entries with the same key.
"""

from lycheefall._core.codes import ResultCode, run_state
from lycheefall._core.enums import AttemptState, ClaimState, RunState
from lycheefall._core.ids import AttemptNumber
from lycheefall._core.messages.control import (
    Claim,
    ClaimResult,
    Reassign,
    RecordedAnswer,
    RecordOutcome,
)
from lycheefall._core.messages.dispatch import ClaimToken, Finished, Refused, Resolve, Resolved
from lycheefall._rules import planned_stop
from lycheefall._rules.booking_messages import (
    Abandoned,
    Answer,
    Booking,
    CommandReplied,
    Effect,
    Ended,
    LinkLost,
    Message,
    Picked,
    PickUpstream,
    SendCommand,
    SendDispatch,
    SendResolve,
    Stopping,
    Target,
    Wake,
)
from lycheefall._rules.claim_flow_state import Flow, Stage
from lycheefall._rules.replicated.claims import NO_ATTEMPT, NO_HOLDER, NO_UPSTREAM

POLL_PERIOD_S = 0.1
# A flow that has joined the claim of another one sends the agent a Resolve after this time, because
# a live holder may have ended its flow. Also the time between Resolves while the attempt runs.
RESOLVE_AFTER_S = 0.5
# How long a flow waits for an available upstream; the same as for other calls (MAX_PARK_S).
PICK_WAIT_S = 2.0
# How long after the deadline a flow continues in order to record an outcome.
RECORD_GRACE_S = 30.0


def start(
    booking: Booking, target: Target, ends_s: float | None = None
) -> tuple[Flow, list[Effect]]:
    """Start a flow with a claim for the chosen upstream."""
    flow = Flow(booking, target, ends_s)
    return flow, [_send_claim(flow)]


def step(flow: Flow, message: Message, now_s: float) -> tuple[Flow, list[Effect]]:
    """Process one message of a booking and return the resulting effects."""
    if flow.stage is Stage.ENDED:
        return flow, []
    match message:
        case CommandReplied():
            return flow, _on_reply(flow, message, now_s)
        case Picked():
            return flow, _on_picked(flow, message, now_s)
        case Refused():
            return flow, _on_refused(flow, message, now_s)
        case Finished():
            return flow, _on_finished(flow, message)
        case Resolved():
            return flow, _on_resolved(flow, message, now_s)
        case LinkLost():
            return flow, _on_link_lost(flow, message)
        case Stopping():
            flow.ends_s = message.ends_s
            return flow, []
        case Abandoned():
            flow.answered = True
            return flow, _end(flow) if flow.stage is Stage.JOINED else []
        case Wake():
            return flow, _on_wake(flow, message, now_s)
    return flow, []


def _on_reply(flow: Flow, reply: CommandReplied, now_s: float) -> list[Effect]:
    if reply.sequence != flow.sequence or not flow.awaits_reply:
        return []
    flow.awaits_reply = False
    result = reply.result if isinstance(reply.result, ClaimResult) else None
    match flow.stage:
        case Stage.RECORDING:
            return _recorded(flow, result, now_s)
        case Stage.GIVING_UP if result is not None and result.code is ResultCode.OK:
            return _answer_and_end(flow, flow.final_answer)
        case Stage.CLAIMING if result is None:
            # Even a refusal by control does not prove that no earlier request with the key has run.
            return _answer_and_end(flow, Answer(ResultCode.CLAIM_UNCONFIRMED))
    if result is None:
        return _join(flow, now_s)
    if result.code is ResultCode.OK:
        return _granted(flow, result, now_s)
    return _apply_claim_state(flow, result, now_s)


def _granted(flow: Flow, result: ClaimResult, now_s: float) -> list[Effect]:
    """Dispatch the attempt that control granted, unless the caller no longer waits for it."""
    flow.claim = result
    refusal = _refusal(flow, now_s)
    if refusal is not None:
        return _give_up(flow, refusal)
    flow.stage = Stage.RUNNING
    flow.dispatched = result.attempt
    flow.link_lost = False
    flow.tried = (*flow.tried, result.upstream)
    target = Target(result.upstream, result.upstream_incarnation)
    return [SendDispatch(target, result.attempt, _token(flow, result.attempt))]


def _apply_claim_state(flow: Flow, result: ClaimResult, now_s: float) -> list[Effect]:
    """Act on the state of a claim that was not granted to this flow."""
    if result.attempt == NO_ATTEMPT:
        # A claim that was known and no longer exists has expired, and may have run.
        refused = flow.claim is None
        return _answer_and_end(flow, Answer(result.code if refused else ResultCode.OUTCOME_UNKNOWN))
    if result.state is ClaimState.ANSWERED:
        return _answer_and_end(flow, Answer(ResultCode.REPLAYED, result.answer))
    if result.state is ClaimState.UNKNOWN_OUTCOME:
        return _answer_and_end(flow, Answer(ResultCode.OUTCOME_UNKNOWN))
    is_new = flow.claim is None or flow.claim.attempt != result.attempt
    flow.claim = result
    if result.upstream == NO_UPSTREAM:
        return _pick_after_release(flow, now_s)
    if is_new:
        flow.resolve_at_s = now_s + RESOLVE_AFTER_S
    return _join(flow, now_s)


def _join(flow: Flow, now_s: float) -> list[Effect]:
    """Wait for the outcome of a claim that another flow holds or that is in an unknown state."""
    if flow.stage is not Stage.JOINED:
        flow.resolve_at_s = now_s + RESOLVE_AFTER_S
    flow.stage = Stage.JOINED
    flow.poll_at_s = now_s + POLL_PERIOD_S
    return _end(flow) if flow.answered else []


def _on_picked(flow: Flow, picked: Picked, now_s: float) -> list[Effect]:
    if flow.stage is not Stage.PICKING or flow.claim is None:
        return []
    flow.awaits_pick = False
    refusal = _refusal(flow, now_s)
    if refusal is not None:
        return _give_up(flow, refusal)
    if picked.target is None:
        return _wait_for_upstream(flow, picked.code, now_s)
    flow.stage = Stage.REASSIGNING
    return [_send_reassign(flow, flow.claim, picked.target)]


def _wait_for_upstream(flow: Flow, code: ResultCode, now_s: float) -> list[Effect]:
    """Choose again among all upstreams at the next Wake, until the wait times out."""
    if flow.pick_until_s is None:
        # The rest of the time is reserved for the commit that gives the claim up.
        wait_s = min(PICK_WAIT_S, (flow.booking.deadline_s - now_s) / 2)
        flow.pick_until_s = now_s + wait_s
    if now_s >= flow.pick_until_s or code is ResultCode.FINGERPRINT_REFUSED:
        return _give_up(flow, code)
    flow.tried = ()
    return []


def _pick(flow: Flow) -> list[Effect]:
    flow.awaits_pick = True
    return [PickUpstream(flow.tried)]


def _on_refused(flow: Flow, refused: Refused, now_s: float) -> list[Effect]:
    if not _is_own_attempt(flow, refused) or flow.stage is not Stage.RUNNING:
        return []
    if refused.code is ResultCode.DUPLICATE_ATTEMPT:
        # DUPLICATE_ATTEMPT refuses the second copy of a dispatch; the first copy has started.
        return []
    return _pick_after_release(flow, now_s)


def _pick_after_release(flow: Flow, now_s: float) -> list[Effect]:
    """Choose another upstream after a proof that the claimed attempt will not run."""
    refusal = _refusal(flow, now_s)
    if refusal is not None:
        return _give_up(flow, refusal)
    flow.stage = Stage.PICKING
    return _pick(flow)


def _refusal(flow: Flow, now_s: float) -> ResultCode | None:
    """Return why the flow starts no further attempt, or None if it may."""
    if flow.answered or now_s >= flow.booking.deadline_s:
        return ResultCode.EXPIRED_BEFORE_START
    if not planned_stop.may_start(flow.booking.deadline_s, flow.ends_s):
        return ResultCode.SHUTTING_DOWN
    return None


def _give_up(flow: Flow, code: ResultCode) -> list[Effect]:
    """Release the claim without another attempt, and then answer with a "not run" code."""
    if flow.claim is None:
        return _answer_and_end(flow, Answer(ResultCode.OUTCOME_UNKNOWN))
    if run_state(code) is not RunState.NOT_RUN:
        code = ResultCode.NO_UPSTREAM
    flow.stage = Stage.GIVING_UP
    flow.final_answer = Answer(code)
    return [_send_reassign(flow, flow.claim, Target(NO_UPSTREAM, NO_HOLDER))]


def _on_finished(flow: Flow, finished: Finished) -> list[Effect]:
    if not _is_own_attempt(flow, finished) and not _is_stored_result(flow, finished):
        return []
    records_unknown = flow.stage is Stage.RECORDING and flow.outcome is None
    if flow.stage not in (Stage.RUNNING, Stage.JOINED) and not records_unknown:
        return []
    state = run_state(finished.code)
    if state is RunState.RAN:
        answer = RecordedAnswer(
            finished.code, finished.status, finished.content_type, finished.body
        )
        return _record(flow, answer, Answer(finished.code, answer))
    code = finished.code if state is RunState.UNKNOWN else ResultCode.OUTCOME_UNKNOWN
    return _record(flow, None, Answer(code))


def _record(flow: Flow, outcome: RecordedAnswer | None, final_answer: Answer) -> list[Effect]:
    flow.stage = Stage.RECORDING
    flow.outcome = outcome
    flow.final_answer = final_answer
    return _send_outcome(flow)


def _send_outcome(flow: Flow) -> list[Effect]:
    if flow.claim is None:
        return []
    booking = flow.booking
    return [_send(flow, RecordOutcome(booking.key, booking.team, flow.claim.attempt, flow.outcome))]


def _recorded(flow: Flow, result: ClaimResult | None, now_s: float) -> list[Effect]:
    if result is None and flow.outcome is not None:
        # The outcome is known, so the caller is answered; recording is retried at a later Wake.
        return _answer(flow, flow.final_answer)
    if result is None or result.code is ResultCode.OK or flow.outcome is not None:
        return _answer_and_end(flow, flow.final_answer)
    return _apply_claim_state(flow, result, now_s)


def _on_resolved(flow: Flow, resolved: Resolved, now_s: float) -> list[Effect]:
    claim = flow.claim
    if claim is None or flow.stage not in (Stage.RUNNING, Stage.JOINED):
        return []
    if resolved.request != flow.booking.request or resolved.attempt != claim.attempt:
        return []
    if resolved.state is AttemptState.RELEASED:
        # The reply to an outstanding poll of the claim is ignored.
        flow.awaits_reply = False
        return _pick_after_release(flow, now_s)
    if resolved.state is AttemptState.UNSEEN:
        # The agent has a new incarnation, and the earlier one may have started the attempt.
        return _record(flow, None, Answer(ResultCode.OUTCOME_UNKNOWN))
    # The agent sends the result over the connection that was lost, so the Resolve is repeated until
    # the agent has a result.
    flow.resolve_at_s = now_s + RESOLVE_AFTER_S
    return []


def _on_link_lost(flow: Flow, lost: LinkLost) -> list[Effect]:
    if (
        flow.stage is not Stage.RUNNING
        or flow.claim is None
        or flow.claim.upstream != lost.upstream
    ):
        return []
    flow.link_lost = True
    flow.resolve_at_s = 0.0
    return [_send_resolve(flow, flow.claim)]


def _on_wake(flow: Flow, wake: Wake, now_s: float) -> list[Effect]:
    if now_s >= flow.booking.deadline_s + RECORD_GRACE_S:
        return _answer_and_end(flow, Answer(ResultCode.OUTCOME_UNKNOWN))
    effects: list[Effect] = []
    end_s = planned_stop.end_s(flow.booking.deadline_s, flow.ends_s)
    if now_s >= end_s and not flow.answered:
        effects = _answer(flow, _answer_at_deadline(flow))
    match flow.stage:
        case Stage.JOINED:
            return effects + (_end(flow) if flow.answered else _poll_claim(flow, wake, now_s))
        case Stage.RUNNING if flow.link_lost and now_s >= flow.resolve_at_s:
            assert flow.claim is not None
            return [*effects, _send_resolve(flow, flow.claim)]
        case Stage.RECORDING if not flow.awaits_reply:
            return effects + _send_outcome(flow)
        case Stage.PICKING if not flow.awaits_pick:
            return effects + _pick(flow)
    return effects


def _answer_at_deadline(flow: Flow) -> Answer:
    if flow.stage is Stage.CLAIMING:
        return Answer(ResultCode.CLAIM_UNCONFIRMED)
    if flow.stage is Stage.RECORDING:
        return flow.final_answer
    return Answer(ResultCode.OUTCOME_UNKNOWN)


def _poll_claim(flow: Flow, wake: Wake, now_s: float) -> list[Effect]:
    """Poll a claim that another flow holds; resolve it at the agent once the holder seems lost."""
    effects: list[Effect] = []
    if now_s >= flow.poll_at_s and not flow.awaits_reply:
        effects.append(_send_claim(flow))
    if flow.claim is not None and flow.claim.upstream != NO_UPSTREAM:
        is_due = now_s >= flow.resolve_at_s or flow.claim.holder not in wake.entries
        if is_due:
            effects.append(_send_resolve(flow, flow.claim))
    return effects


def _is_own_attempt(flow: Flow, message: Refused | Finished) -> bool:
    return message.request == flow.booking.request and message.attempt == flow.dispatched


def _is_stored_result(flow: Flow, finished: Finished) -> bool:
    """Return whether the agent answered a Resolve with the result that it had stored."""
    return (
        flow.stage is Stage.JOINED
        and flow.claim is not None
        and finished.request == flow.booking.request
        and finished.attempt == flow.claim.attempt
    )


def _answer_and_end(flow: Flow, answer: Answer) -> list[Effect]:
    return _answer(flow, answer) + _end(flow)


def _answer(flow: Flow, answer: Answer) -> list[Effect]:
    if flow.answered:
        return []
    flow.answered = True
    return [answer]


def _end(flow: Flow) -> list[Effect]:
    flow.stage = Stage.ENDED
    return [Ended()]


def _send(flow: Flow, command: Claim | Reassign | RecordOutcome) -> SendCommand:
    flow.sequence += 1
    flow.awaits_reply = True
    return SendCommand(flow.sequence, command)


def _send_claim(flow: Flow) -> SendCommand:
    booking = flow.booking
    claim = Claim(
        key=booking.key,
        team=booking.team,
        request_digest=booking.request_digest,
        key_time_ms=booking.key_time_ms,
        holder=booking.holder,
        upstream=flow.first_target.upstream,
        upstream_incarnation=flow.first_target.incarnation,
    )
    return _send(flow, claim)


def _send_reassign(flow: Flow, claim: ClaimResult, target: Target) -> SendCommand:
    booking = flow.booking
    is_given_up = target.upstream == NO_UPSTREAM
    reassign = Reassign(
        key=booking.key,
        team=booking.team,
        attempt=claim.attempt,
        holder=NO_HOLDER if is_given_up else booking.holder,
        upstream=target.upstream,
        upstream_incarnation=target.incarnation,
    )
    return _send(flow, reassign)


def _send_resolve(flow: Flow, claim: ClaimResult) -> SendResolve:
    token = _token(flow, claim.attempt)
    resolve = Resolve(flow.booking.request, claim.attempt, token, claim.upstream_incarnation)
    return SendResolve(claim.upstream, resolve)


def _token(flow: Flow, attempt: AttemptNumber) -> ClaimToken:
    return ClaimToken(flow.booking.team, flow.booking.key, attempt)
