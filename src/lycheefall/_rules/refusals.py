"""Refuse a request before its first attempt."""

from lycheefall._core.codes import ResultCode, run_state
from lycheefall._core.enums import RunState
from lycheefall._core.messages.entry import CallerRequest, ReplyEnd


def code_before_claim(code: ResultCode, has_key: bool) -> ResultCode:
    """Return the code for a refusal by the system before a claim.

    Without a claim the entry does not know whether an earlier try of the key ran, so "not run"
    would be a guess for a booking.
    """
    if has_key and code >= ResultCode.NOT_READY and run_state(code) is RunState.NOT_RUN:
        return ResultCode.CLAIM_UNCONFIRMED
    return code


def refuse(
    call: CallerRequest, code: ResultCode, detail: str, retry_after_s: float = 0.0
) -> ReplyEnd:
    """Return the end of a request that no attempt was made for."""
    return ReplyEnd(
        request=call.request,
        code=code_before_claim(code, call.operation is not None),
        detail=f"{detail} ({code.name})",
        retry_after_s=retry_after_s,
    )
