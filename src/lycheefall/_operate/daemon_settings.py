"""Build the settings of the daemons from the text of flags and environment variables."""

from pathlib import Path

from lycheefall._agent.settings import RankSettings
from lycheefall._control.settings import ControlSettings, Voter
from lycheefall._core.ids import Address, DataCentreId, GroupId, InstanceId, RankId
from lycheefall._operate import settings as checks

LONGEST_DRAIN_S = 3_600.0
HIGHEST_RANK = 9_999


def drain_time_s(text: str) -> float:
    """Return the longest wait of a shutdown."""
    return checks.checked_number("drain_s", text, float, 0.0, LONGEST_DRAIN_S)


def statsd_address(text: str) -> Address | None:
    """Return the address of the statsd server, or None when none is set."""
    return checks.checked_address("statsd", text) if text else None


def rank_settings(group: str, rank: str, listen: str) -> RankSettings:
    """Return the settings of a rank's duties."""
    return RankSettings(
        group=GroupId(checks.checked_name("group", group)),
        rank=RankId(int(checks.checked_number("rank", rank, int, 0, HIGHEST_RANK))),
        listen=checks.checked_loopback("rank_listen", listen),
    )


def control_settings(
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
        voters=tuple(_voter(part.strip()) for part in voters.split(",")),
        data_folder=Path(checks.checked_name("data_folder", data_folder)),
        statsd=statsd_address(statsd),
    )


def _voter(text: str) -> Voter:
    name, _, addresses = text.partition("=")
    peer, _, client = addresses.partition("/")
    if not name or not peer or not client:
        raise checks.invalid("voters", text, "NAME=PEER_IP:PORT/CLIENT_IP:PORT")
    return Voter(
        InstanceId(name),
        checks.checked_address("voters", peer),
        checks.checked_address("voters", client),
    )
