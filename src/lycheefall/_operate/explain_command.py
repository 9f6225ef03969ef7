"""Ask a running entry where a request would go, and print the answer."""

from http import HTTPStatus
from http.client import HTTPConnection, HTTPException

import msgspec

from lycheefall._core.exceptions import (
    EntryUnreachable,
    ExplainBusy,
    ExplainFailed,
    QuestionInvalid,
)
from lycheefall._core.ids import Address
from lycheefall._operate.exposition import EXPLAIN_PATH
from lycheefall._relay.explain_messages import Answer, Question
from lycheefall._rules.explanation import Admission, Candidate, Decision, Verdict

TIMEOUT_S = 10.0


def ask(address: Address, question: Question) -> bytes:
    """Return the answer of an entry as JSON."""
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
    try:
        connection.request("POST", EXPLAIN_PATH.decode(), msgspec.json.encode(question))
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException) as error:
        raise EntryUnreachable(f"{address}: {error or type(error).__name__}") from error
    finally:
        connection.close()
    detail = f"{address}: {response.status} {body.decode(errors='replace')[:200]}"
    match response.status:
        case HTTPStatus.OK:
            return body
        case HTTPStatus.BAD_REQUEST | HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise QuestionInvalid(detail)
        case HTTPStatus.TOO_MANY_REQUESTS:
            raise ExplainBusy(detail)
    raise ExplainFailed(detail)


def explain_and_format(address: Address, question: Question, as_json: bool) -> str:
    """Return the answer of an entry as text or as indented JSON."""
    body = ask(address, question)
    try:
        answer = msgspec.json.decode(body, type=Answer)
    except msgspec.DecodeError as error:
        raise ExplainFailed(f"{address}: the answer is no explanation: {error}") from error
    if as_json:
        return msgspec.json.format(body, indent=2).decode()
    return format_answer(answer)


def format_answer(answer: Answer) -> str:
    """Return an answer as text, the chosen upstream first."""
    evacuated = ", ".join(answer.evacuated_data_centres) or "none"
    lines = [
        f"entry {answer.entry} ({answer.data_centre}), revision {answer.revision}, "
        f"evacuated data centres: {evacuated}"
    ]
    if answer.route is not None:
        team = answer.team or "none"
        lines.append(f"route {answer.route}, pool {answer.pool}, team {team}, rank {answer.rank}")
    lines.append(_format_admission(answer))
    candidates = sorted(
        answer.decision.candidates, key=lambda each: (each.verdict is not Verdict.CHOSEN)
    )
    return "\n".join(lines + [line for each in candidates for line in _format_candidate(each)])


def _format_admission(answer: Answer) -> str:
    decision: Decision = answer.decision
    match decision.admission:
        case Admission.PLACED:
            return f"placed now at {decision.upstream}"
        case Admission.QUEUED:
            return f"queued: {decision.waiting_before} before it, {decision.waiting_after} after it"
        case Admission.REFUSED:
            after_s = decision.retry_after_s
            retry = "no Retry-After" if after_s is None else f"Retry-After {after_s:g} s"
            waiting = f"{decision.waiting_before} waiting"
            return f"refused: {answer.status} {decision.reason}, {retry}, {waiting}"


def _format_candidate(each: Candidate) -> list[str]:
    cost = each.cost
    age = "" if each.others_age_s is None else f", reported {each.others_age_s:.2f} s ago"
    notes = [
        "near" if each.is_near else f"distant, {each.drawn_slots} drawn slots",
        f"group {each.group}" if each.group else "",
        "broken group" if each.is_group_broken else "",
        "slow group" if each.is_group_slow else "",
        f"cold for {each.cold_s:.1f} s" if each.cold_s else "",
        f"suspended for {each.suspended_s:.1f} s" if each.suspended_s else "",
    ]
    return [
        f"- {each.upstream} ({each.data_centre}): {each.verdict.value}",
        f"  in flight {each.in_flight_here} here, {each.in_flight_others} at others{age}; "
        f"limit {each.limit}, slots {each.slots}; {', '.join(filter(None, notes))}",
        f"  cost {each.cost_total:.3f}: load {cost.load:.3f}, remote {cost.remote:.3f}, "
        f"non-owned {cost.non_owned:.3f}, prefill {cost.prefill:.3f}, cold {cost.cold:.3f}, "
        f"failure {cost.failure:.3f}",
    ]
