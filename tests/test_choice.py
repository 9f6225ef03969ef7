"""Tests of the choice between a request's own upstreams and the others."""

from lycheefall._core.configuration import Route
from lycheefall._core.enums import MemberState, RouteKind, UpstreamKind
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Fingerprint,
    Incarnation,
    InstanceId,
    PoolId,
    PriorityId,
    RequestId,
    RouteId,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.entry import CallerRequest
from lycheefall._core.messages.membership import Load, UpstreamMember
from lycheefall._rules import upstreams
from lycheefall._rules.choice import Wish, choose, own_upstreams
from lycheefall._rules.routing import weighted_two_choices
from lycheefall._rules.upstreams import Table

POOL = PoolId("pool")
NAMES = tuple(UpstreamId(f"u{number}") for number in range(6))


def table_with(running: dict[UpstreamId, int]) -> Table:
    """Make a table of upstreams with 8 slots and the given requests."""
    table = Table(InstanceId("entry"), entries=1, seed=1)
    for name in NAMES:
        member = UpstreamMember(
            upstream=name,
            instance=InstanceId(name),
            data_centre=DataCentreId("here"),
            pool=POOL,
            kind=UpstreamKind.ENGINE,
            address=Address("127.0.0.1:1"),
            incarnation=Incarnation("1"),
            state=MemberState.READY,
            concurrency=8,
            load=Load(running=running[name]),
        )
        upstreams.announce(table, member, 1, 0.0)
    return table


def request(rank: int) -> CallerRequest:
    """Make a chat request of a priority."""
    priority = PriorityId("any")
    return CallerRequest(
        request=RequestId("r"),
        team=TeamId("team"),
        priority=priority,
        rank=rank,
        route=Route(name=RouteId("chat"), kind=RouteKind.CHAT, pools=(POOL,), priority=priority),
        method="POST",
        path="/",
        content_type="",
        body=b"",
        stream=True,
        model="m",
        arrived_s=0.0,
        deadline_s=10.0,
        cost_tokens=10,
        prompt_tokens=1,
        fingerprint=Fingerprint("f"),
        prefix=7,
    )


class TestChoose:
    def test_full_own_upstreams_are_left(self) -> None:
        """Guards against a request that waits at a full upstream while another has free slots."""
        own = own_upstreams(request(0), NAMES, alone=False)
        (free,) = [name for name in NAMES if name not in own][:1]
        table = table_with(dict.fromkeys(NAMES, 8) | {free: 7})
        wish = Wish(blocked=frozenset())
        assert choose(weighted_two_choices(), table, request(0), wish, 0.0) == free

    def test_lost_attempt_stays_with_its_own_upstreams(self) -> None:
        """Guards against a request that crashes upstreams reaching a third one."""
        own = own_upstreams(request(0), NAMES, alone=False)
        table = table_with({name: 8 if name in own else 0 for name in NAMES})
        wish = Wish(blocked=frozenset(), may_widen=False)
        assert choose(weighted_two_choices(), table, request(0), wish, 0.0) in own

    def test_last_slot_is_left_to_urgent_requests(self) -> None:
        """Guards against less urgent work that fills an upstream while others have more room."""
        own = own_upstreams(request(1), NAMES, alone=False)
        table = table_with({name: 7 if name in own else 0 for name in NAMES})
        wish = Wish(blocked=frozenset())
        assert choose(weighted_two_choices(), table, request(0), wish, 0.0) in own
        assert choose(weighted_two_choices(), table, request(1), wish, 0.0) not in own
