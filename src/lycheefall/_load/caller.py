"""Send a request to an entry of the directory, check the answer, and retry immediately."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from msgspec import Struct

from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import Address
from lycheefall._core.pipeline import Inbox
from lycheefall._load.arrivals import Arrival
from lycheefall._load.directory import AddressQuery, query_directory
from lycheefall._load.outcome import NO_CODE, Answer, Ending, Outcome
from lycheefall._load.requests import HttpRequest, check_service_answer
from lycheefall._load.scenario import Caller
from lycheefall._load.streams import check_completion, read_stream

_NO_TIMEOUT = ClientTimeout(total=None)
_OK = 200
_RETRIABLE = (Ending.CONNECTION_FAILED, Ending.TIMED_OUT)


class Call(Struct, frozen=True):
    """Input for one request; the due time is a time of the event loop clock."""

    arrival: Arrival
    request: HttpRequest
    due_at: float
    is_flooded: bool


async def make_call(
    client: ClientSession, directory: Inbox[AddressQuery], behaviour: Caller, call: Call
) -> Outcome:
    """Send a request until it is answered, its deadline passes or its retries are used up."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + call.arrival.flow.timeout_s + behaviour.grace_s
    answer = Answer(ending=Ending.CONNECTION_FAILED)
    attempts = 0
    while attempts <= behaviour.max_retries and loop.time() < deadline:
        addresses = await query_directory(directory)
        if not addresses:
            attempts += 1
            continue
        # Requests of a team are spread over its addresses; a retry goes to the next one.
        address = addresses[(call.arrival.index + attempts) % len(addresses)]
        is_last = attempts == behaviour.max_retries
        first_token_deadline = deadline if is_last else loop.time() + behaviour.slow_after_s
        answer = await _send(client, address, call, min(first_token_deadline, deadline), deadline)
        attempts += 1
        if answer.ending not in _RETRIABLE or answer.first_token_at is not None:
            break
    return build_outcome(call, answer, attempts, loop.time())


def build_outcome(call: Call, answer: Answer, attempts: int, now_s: float) -> Outcome:
    """Build the outcome of a request, with times in seconds since it was due."""
    flow = call.arrival.flow
    first_token_at = answer.first_token_at
    return Outcome(
        due_s=call.arrival.at_s,
        team=call.arrival.team,
        route=flow.route,
        priority=flow.priority,
        is_flooded=call.is_flooded,
        target_s=flow.target_s,
        answer=answer,
        attempts=attempts,
        first_token_s=None if first_token_at is None else first_token_at - call.due_at,
        total_s=now_s - call.due_at,
    )


async def _send(
    client: ClientSession,
    address: Address,
    call: Call,
    first_token_deadline: float,
    deadline: float,
) -> Answer:
    request = call.request
    try:
        async with (
            asyncio.timeout_at(first_token_deadline) as timeout,
            client.request(
                request.method,
                f"http://{address}{request.path}",
                headers=request.headers,
                data=request.body or None,
                timeout=_NO_TIMEOUT,
            ) as response,
        ):
            return await _read_answer(response, call, lambda: timeout.reschedule(deadline))
    except TimeoutError:
        return Answer(ending=Ending.TIMED_OUT)
    except (ClientError, OSError):
        return Answer(ending=Ending.CONNECTION_FAILED)


async def _read_answer(
    response: ClientResponse, call: Call, on_first_token: Callable[[], None]
) -> Answer:
    answer = _answer_from_headers(response)
    if response.status != _OK:
        await response.read()
        return answer
    if call.arrival.flow.kind is not RouteKind.CHAT:
        ending = check_service_answer(call.request, await response.read())
        return msgspec.structs.replace(answer, ending=ending)
    if response.content_type == "text/event-stream":
        return await read_stream(response, call.request, on_first_token, answer)
    ending = check_completion(call.request, await response.read())
    return msgspec.structs.replace(answer, ending=ending)


def _answer_from_headers(response: ClientResponse) -> Answer:
    code = response.headers.get("X-Lycheefall-Code", "")
    return Answer(
        ending=Ending.REFUSED,
        code=int(code) if code.isdecimal() else NO_CODE,
        run=response.headers.get("X-Lycheefall-Run", ""),
        status=response.status,
    )
