"""RFC 9457 problem documents and the headers of every response."""

import math

import msgspec

from lycheefall._core.codes import ResultCode, http_status, run_state
from lycheefall._core.ids import RequestId

PROBLEM_TYPE = "application/problem+json"
CODE_HEADER = "X-Lycheefall-Code"
RUN_HEADER = "X-Lycheefall-Run"
REQUEST_HEADER = "X-Request-Id"
UPSTREAM_HEADER = "X-Lycheefall-Upstream"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error response."""

    type: str
    title: str
    status: int
    code: int
    run: str
    detail: str = ""
    instance: str = ""


def problem(code: ResultCode, detail: str = "", request: str = "") -> Problem:
    """Return the problem document for a result code."""
    return Problem(
        type=f"urn:lycheefall:code:{int(code)}",
        title=code.name.replace("_", " ").capitalize(),
        status=http_status(code),
        code=int(code),
        run=run_state(code).value,
        detail=detail,
        instance=request,
    )


def result_headers(code: ResultCode, request: RequestId | str = "") -> dict[str, str]:
    """Return the headers with the result code and whether the request was run."""
    headers = {CODE_HEADER: str(int(code)), RUN_HEADER: run_state(code).value}
    if request:
        headers[REQUEST_HEADER] = request
    return headers


def retry_after(delay_s: float) -> dict[str, str]:
    """Return the Retry-After header, rounded up to whole seconds; empty without a delay."""
    return {"Retry-After": str(math.ceil(delay_s))} if delay_s > 0 else {}
