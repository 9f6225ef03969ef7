"""Tests of coalescing concurrent requests for one booking at one entry."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import Fingerprint, IdempotencyKey, RequestId
from lycheefall._core.messages.entry import (
    Abandon,
    CallerRequest,
    OperationKey,
    ReplyEnd,
    Submit,
)
from lycheefall._rules.joins import JoinMessage, JoinsState, step_joins
from requests_for_tests import request, route


def booking(name: str, key: str = "k", fingerprint: str = "same") -> CallerRequest:
    """Return one request of a booking."""
    return request(
        name,
        route=route(RouteKind.BOOKING),
        operation=OperationKey(IdempotencyKey(key), 0),
        fingerprint=Fingerprint(fingerprint),
    )


def submit(state: JoinsState, caller_request: CallerRequest) -> list[JoinMessage]:
    """Return the messages that a request results in."""
    return step_joins(state, Submit(caller_request), 0.0)[1]


def codes(messages: list[JoinMessage]) -> dict[str, ResultCode]:
    """Return the code of each answer."""
    return {each.request: each.code for each in messages if isinstance(each, ReplyEnd)}


class TestJoins:
    def test_retries_wait_for_the_first(self) -> None:
        """Guards against a retry that takes a slot while the first request runs."""
        state = JoinsState()
        first = booking("a")
        assert submit(state, first) == [Submit(first)]
        assert submit(state, booking("b")) == []
        end = ReplyEnd(request=RequestId("a"), code=ResultCode.OK, body=b"booked")
        _, messages = step_joins(state, end, 0.0)
        assert codes(messages) == {"a": ResultCode.OK, "b": ResultCode.JOINED}
        assert {each.body for each in messages if isinstance(each, ReplyEnd)} == {b"booked"}
        assert submit(state, booking("c")) == [Submit(booking("c"))]

    def test_failure_is_sent_to_all(self) -> None:
        """Guards against a joined retry that is answered OK when the first request failed."""
        state = JoinsState()
        submit(state, booking("a"))
        submit(state, booking("b"))
        end = ReplyEnd(request=RequestId("a"), code=ResultCode.OUTCOME_UNKNOWN)
        _, messages = step_joins(state, end, 0.0)
        assert codes(messages) == dict.fromkeys("ab", ResultCode.OUTCOME_UNKNOWN)

    def test_other_request_with_the_key(self) -> None:
        """Guards against a caller that gets the answer to another request."""
        state = JoinsState()
        submit(state, booking("a"))
        assert codes(submit(state, booking("b", fingerprint="other"))) == {
            "b": ResultCode.KEY_REUSED
        }

    def test_same_key_of_another_team(self) -> None:
        """Guards against joining a booking of another team."""
        state = JoinsState()
        submit(state, booking("a"))
        other = request("b", team="other", operation=OperationKey(IdempotencyKey("k"), 0))
        assert submit(state, other) == [Submit(other)]

    def test_abandoned_first_try(self) -> None:
        """Guards against a follower that waits for a request that was dropped."""
        state = JoinsState()
        submit(state, booking("a"))
        submit(state, booking("b"))
        assert step_joins(state, Abandon(RequestId("a")), 0.0)[1] == []
        assert step_joins(state, Abandon(RequestId("b")), 0.0)[1] == []
        end = ReplyEnd(request=RequestId("a"), code=ResultCode.OK)
        assert codes(step_joins(state, end, 0.0)[1]) == {"a": ResultCode.OK}

    def test_abandoned_alone(self) -> None:
        """Guards against a key that stays joined to a request that was dropped."""
        state = JoinsState()
        submit(state, booking("a"))
        abandon = Abandon(RequestId("a"))
        assert step_joins(state, abandon, 0.0)[1] == [abandon]
        assert submit(state, booking("b")) == [Submit(booking("b"))]
