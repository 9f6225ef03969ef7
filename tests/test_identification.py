"""Tests of matching requests to routes and teams."""

from lycheefall._core.ids import TeamId
from lycheefall._core.relay import LOWEST_RANK, RelayConfiguration, RelayTeam
from lycheefall._rules.identification import Identified, Unidentified, build_index, identify
from relay_values import POOL, SERVICE_POOL, configuration, route


class TestIdentify:
    def test_longest_prefix(self) -> None:
        """Guards against a match of a shorter prefix instead of the longest."""
        index = build_index(configuration(route("short"), route("long", prefix="/a/b/")))
        found = identify(index, "h", "/a/b/c", "k1", 0.0)
        assert isinstance(found, Identified)
        assert found.route.name == "long"
        found = identify(index, "h", "/a/bc", "k1", 0.0)
        assert isinstance(found, Identified)
        assert found.route.name == "short"

    def test_host_must_match(self) -> None:
        """Guards against a route that matches another host, or not its own host with a port."""
        index = build_index(configuration())
        assert identify(index, "other", "/a/x", "k1", 0.0) is Unidentified.NO_ROUTE
        assert isinstance(identify(index, "H:80", "/a/x", "k1", 0.0), Identified)

    def test_prefix_ends_at_a_slash(self) -> None:
        """Guards against /ab matching /a/."""
        index = build_index(configuration())
        assert identify(index, "h", "/ab", "k1", 0.0) is Unidentified.NO_ROUTE
        assert identify(index, "h", "/a", "k1", 0.0) is Unidentified.NO_ROUTE

    def test_team_of_the_key(self) -> None:
        """Guards against accepting a request without a valid key, and a wrong team name."""
        index = build_index(configuration())
        found = identify(index, "h", "/a/x", "k1b", 0.0)
        assert isinstance(found, Identified)
        assert found.team == "t1"
        assert identify(index, "h", "/a/x", "k3", 0.0) is Unidentified.UNKNOWN_KEY
        assert identify(index, "h", "/a/x", None, 0.0) is Unidentified.UNKNOWN_KEY

    def test_rank_of_the_team_overrides_the_route(self) -> None:
        """Guards against ignoring the rank of a team, and against a rank beyond the lowest."""
        index = build_index(configuration(route(rank=1)))
        ranks = [identify(index, "h", "/a/x", key, 0.0) for key in ("k1", "k2")]
        assert [each.urgency.rank for each in ranks if isinstance(each, Identified)] == [1, 2]
        assert all(each.urgency.route_rank == 1 for each in ranks if isinstance(each, Identified))
        beyond_lowest = build_index(configuration(route(rank=1000)))
        found = identify(beyond_lowest, "h", "/a/x", "k1", 0.0)
        assert isinstance(found, Identified)
        assert found.urgency.rank == LOWEST_RANK

    def test_anonymous_route_needs_no_key(self) -> None:
        """Guards against requiring a key on an anonymous route."""
        index = build_index(configuration(route(anonymous=True)))
        found = identify(index, "h", "/a/x", "wrong", 0.0)
        assert isinstance(found, Identified)
        assert found.team is None

    def test_no_teams_means_no_keys(self) -> None:
        """Guards against status 401 where the configuration has no teams."""
        index = build_index(RelayConfiguration(routes=(route(),)))
        assert isinstance(identify(index, "h", "/a/x", None, 0.0), Identified)

    def test_an_empty_list_of_teams_holds_no_key(self) -> None:
        """Guards against routes that are open to everybody once the last team is taken away."""
        routes = (route(), route("open", prefix="/open/", anonymous=True))
        index = build_index(RelayConfiguration(routes=routes, teams=()))
        for key in ("k1", "", None):
            assert identify(index, "h", "/a/x", key, 0.0) is Unidentified.UNKNOWN_KEY
        assert isinstance(identify(index, "h", "/open/x", None, 0.0), Identified)

    def test_an_empty_key_is_no_key(self) -> None:
        """Guards against a request without a key that matches an empty key of a team."""
        teams = (RelayTeam(name=TeamId("t"), keys=("",)),)
        index = build_index(RelayConfiguration(routes=(route(),), teams=teams))
        for key in ("", None):
            assert identify(index, "h", "/a/x", key, 0.0) is Unidentified.UNKNOWN_KEY

    def test_split_by_weight(self) -> None:
        """Guards against a pool of weight 0 that gets requests."""
        index = build_index(configuration(route(pools={POOL: 3.0, SERVICE_POOL: 1.0})))
        draws = [identify(index, "h", "/a/x", "k1", each / 8) for each in range(8)]
        pools = [each.pool for each in draws if isinstance(each, Identified)]
        assert pools.count(POOL) == 6
        zero_weight = build_index(configuration(route(pools={POOL: 0.0, SERVICE_POOL: 1.0})))
        found = identify(zero_weight, "h", "/a/x", "k1", 0.0)
        assert isinstance(found, Identified)
        assert found.pool == SERVICE_POOL
