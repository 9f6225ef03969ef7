"""Build the settings of the daemons from the text of flags and environment variables."""

from pathlib import Path

from lycheefall._agent.settings import RankSettings
from lycheefall._control.settings import ControlSettings, Voter
from lycheefall._core.ids import Address, DataCentreId, GroupId, InstanceId, RankId
from lycheefall._operate import settings as checks

MAX_DRAIN_S = 3_600.0
MAX_RANK = 9_999


def parse_drain_time_s(text: str) -> float:
    """Return the longest time to wait for work in flight at shutdown, in seconds."""
    return checks.checked_number("drain_s", text, float, 0.0, MAX_DRAIN_S)


def parse_statsd_address(text: str) -> Address | None:
    """Return the address of the statsd server, or None if the setting is empty."""
    return checks.checked_address("statsd", text) if text else None


def build_rank_settings(group: str, rank: str, listen: str) -> RankSettings:
    """Return the settings of an agent that serves a rank of a group."""
    return RankSettings(
        group=GroupId(checks.checked_name("group", group)),
        rank=RankId(int(checks.checked_number("rank", rank, int, 0, MAX_RANK))),
        listen=checks.checked_loopback("rank_listen", listen),
    )


def build_control_settings(
    instance: str,
    data_centre: str,
    listen: str,
    peer_listen: str,
    voters: str,
    data_folder: str,
    statsd: str,
) -> ControlSettings:
    """Return the settings of a control replica."""
    return ControlSettings(
        instance=InstanceId(checks.checked_name("instance", instance)),
        data_centre=DataCentreId(checks.checked_name("data_centre", data_centre)),
        client_listen=checks.checked_address("listen", listen),
        peer_listen=checks.checked_address("peer_listen", peer_listen),
        voters=tuple(_parse_voter(part.strip()) for part in voters.split(",")),
        data_folder=Path(checks.checked_name("data_folder", data_folder)),
        statsd=parse_statsd_address(statsd),
    )


def _parse_voter(text: str) -> Voter:
    name, _, addresses = text.partition("=")
    peer, _, client = addresses.partition("/")
    if not name or not peer or not client:
        raise checks.invalid("voters", text, "NAME=PEER_IP:PORT/CLIENT_IP:PORT")
    return Voter(
        InstanceId(name),
        checks.checked_address("voters", peer),
        checks.checked_address("voters", client),
    )
