"""Refusals of requests before their first attempt."""

from lycheefall._core.codes import ResultCode, run_state
from lycheefall._core.enums import RunState
from lycheefall._core.messages.entry import CallerRequest, ReplyEnd

STOPPING_DETAIL = "the entry stops before the deadline of the request; use another entry"


def code_before_claim(code: ResultCode, has_key: bool) -> ResultCode:
    """Return the result code of a refusal that is decided before a claim.

    Without a claim the entry does not know whether an earlier request with the key ran, so it
    cannot answer "not run" for a booking.
    """
    if has_key and code >= ResultCode.NOT_READY and run_state(code) is RunState.NOT_RUN:
        return ResultCode.CLAIM_UNCONFIRMED
    return code


def refuse(
    caller_request: CallerRequest, code: ResultCode, detail: str, retry_after_s: float = 0.0
) -> ReplyEnd:
    """Return the final reply to a request that is refused before its first attempt."""
    return ReplyEnd(
        request=caller_request.request,
        code=code_before_claim(code, caller_request.operation is not None),
        detail=f"{detail} ({code.name})",
        retry_after_s=retry_after_s,
    )
