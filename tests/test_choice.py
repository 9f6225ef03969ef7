"""Tests of the two upstreams that each request belongs to."""

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.ids import UpstreamId
from lycheefall._rules.choice import own_upstreams
from requests_for_tests import request

NAMES = [UpstreamId(f"u{number}") for number in range(16)]


class TestOwnUpstreams:
    @given(st.permutations(NAMES), st.text(), st.integers(0, 2**64 - 1))
    def test_every_entry_agrees(
        self, order: list[UpstreamId], fingerprint: str, prefix: int
    ) -> None:
        """Guards against copies of one request at more than two upstreams."""
        call = request(fingerprint=fingerprint, prefix=prefix)
        own = own_upstreams(call, order, alone=False)
        assert own == own_upstreams(call, NAMES, alone=False)
        assert len(own) == 2

    def test_common_prefix_shares_one_upstream(self) -> None:
        """Guards against prompts that start alike and find no cached prefix."""
        calls = [request(f"r{number}", prefix=7) for number in range(200)]
        sets = [own_upstreams(call, NAMES, alone=False) for call in calls]
        assert len(frozenset.intersection(*sets)) == 1
        assert len(frozenset.union(*sets)) == len(NAMES)

    def test_suspects_share_one_upstream(self) -> None:
        """Guards against suspects that each take another upstream out of use."""
        calls = [request(f"r{number}", prefix=number) for number in range(50)]
        assert len({own_upstreams(call, NAMES, alone=True) for call in calls}) == 1

    def test_few_upstreams(self) -> None:
        """Guards against a pool of one upstream that serves nothing."""
        assert own_upstreams(request(prefix=1), NAMES[:1], alone=False) == {NAMES[0]}
        assert own_upstreams(request(), [], alone=False) == frozenset()
