"""Tests of bodies from other writers: deep nesting, numbers and addresses out of range.

Only the refusal of a decoder may come out. What it accepts must fit into the messages between
processes, as one odd announcement otherwise ends every replica that encodes it.
"""

import json
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

import announcement_body
import configuration_body
import settings_file
from lycheefall._core.exceptions import LycheefallError, SettingInvalid
from lycheefall._core.ids import UpstreamId
from lycheefall._core.messages.relay import PeerUpdate
from lycheefall._core.relay import EngineModel
from lycheefall._wire.codec import encode
from rank_endpoints import RANK_ENDPOINTS
from test_platform_adapter import ANNOUNCEMENT, CONFIGURATION, SETTINGS, configuration_with

DEPTH = 200_000
NESTED = "[" * DEPTH + "]" * DEPTH
REPORT = {"Sequence": 0, "step": 7, "size": 8, "group": ANNOUNCEMENT["group"]}
COUNTS = {"epoch": 1, "Counts": [1, 2, 3, 4], "step": 5}
RANK_MAP = {"epoch": 1, "Map": {"Version": 5, "Experts": [[6, 14], [7]]}}


def decode_and_encode(body: bytes) -> None:
    """Decode an announcement, and encode it for the other replicas."""
    encode(PeerUpdate((announcement_body.decode(UpstreamId("i-1"), body),)))


# Each decoder at the boundary, and a valid body.
DECODERS: dict[str, tuple[Callable[[bytes], Any], dict[str, Any]]] = {
    "announcement": (decode_and_encode, ANNOUNCEMENT),
    "departure": (announcement_body.decode_departure, {"born": 1}),
    "configuration": (configuration_body.decode, CONFIGURATION),
    "report": (RANK_ENDPOINTS.decode_status, REPORT),
    "counts": (lambda body: RANK_ENDPOINTS.decode_counts(body, 2), COUNTS),
    "map": (RANK_ENDPOINTS.decode_loaded_experts, RANK_MAP),
}

ODD_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.integers(2**62, 2**70),
        st.floats(allow_nan=False, allow_infinity=False),
        st.sampled_from([2**63 - 1, 2**64, 10**400, -1, 1e308, "x" * 10_000, "²", "\r\n"]),
        st.text(),
    ),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


def field_paths(value: Any) -> list[list[Any]]:
    """Return the path of each field in a body, at any depth."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return []
    return [[key, *rest] for key, inner in items for rest in [[], *field_paths(inner)]]


def replaced(body: dict[str, Any], path: list[Any], value: Any) -> bytes:
    """Return a body with the value at a path replaced."""
    changed = json.loads(json.dumps(body))
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return json.dumps(changed).encode()


@pytest.mark.parametrize("name", DECODERS)
class TestEveryDecoder:
    @given(st.data())
    def test_one_odd_field(self, name: str, data: st.DataObject) -> None:
        """Guards against a value that raises anything but the refusal."""
        decode, body = DECODERS[name]
        path = data.draw(st.sampled_from(field_paths(body)))
        odd = replaced(body, path, data.draw(ODD_VALUES))
        with suppress(LycheefallError):
            decode(odd)

    def test_deep_nesting(self, name: str) -> None:
        """Guards against RecursionError for a deeply nested field, known or unknown."""
        decode, body = DECODERS[name]
        for key in (*body, "Unknown"):
            text = json.dumps(body | {key: "@"}).replace('"@"', NESTED)
            with suppress(LycheefallError):
                decode(text.encode())

    @given(st.binary(max_size=200))
    def test_any_bytes(self, name: str, body: bytes) -> None:
        """Guards against bytes that raise anything but the refusal."""
        with suppress(LycheefallError):
            DECODERS[name][0](body)


class TestAnnouncement:
    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("Slots", 2**63),
            ("Slots", -1),
            ("Slots", 2**63 - 1),
            ("Sequence", 2**64),
            ("Sequence", -1),
            ("born", 2**70),
            ("ColdRemainingMs", -5),
            ("ColdRemainingMs", 1e300),
            ("Service", "x" * 300),
        ],
    )
    def test_refusal_names_the_field(self, field: str, value: Any) -> None:
        """Guards against a number out of range that is accepted, or refused without its name."""
        with pytest.raises(LycheefallError, match=field):
            decode_and_encode(json.dumps(ANNOUNCEMENT | {field: value}).encode())

    @pytest.mark.parametrize(
        "address",
        ["h:²", "h:65536", "h:0", "h:-1", ":80", "h", "a b:80", "h\r\nX: 1:80", "h:00080", "é:80"],
    )
    def test_address(self, address: str) -> None:
        """Guards against an address that can't be connected to or sent as a Host header."""
        with pytest.raises(LycheefallError, match="is no address"):
            decode_and_encode(json.dumps(ANNOUNCEMENT | {"Address": address}).encode())

    @pytest.mark.parametrize("address", ["10.0.0.1:80", "[::1]:65535", "host-1.example:1"])
    def test_valid_addresses(self, address: str) -> None:
        """Guards against a sound upstream that is refused for its address."""
        decode_and_encode(json.dumps(ANNOUNCEMENT | {"Address": address}).encode())

    @pytest.mark.parametrize("upstream", ["", "a b", "é", "x" * 300])
    def test_id(self, upstream: str) -> None:
        """Guards against an id that can't be sent in a header."""
        with pytest.raises(LycheefallError, match="is no id"):
            announcement_body.decode(UpstreamId(upstream), json.dumps(ANNOUNCEMENT).encode())


class TestConfiguration:
    @pytest.mark.parametrize(
        "change",
        [
            {"Version": 2**63},
            {"Version": -1},
            {"Routes__0__TimeoutMs": 1e300},
            {"Routes__0__Attempts": -1},
            {"Limits__MaxBodyBytes": -1},
            {"Limits__IdleTimeoutMs": 1e18},
        ],
    )
    def test_numbers_out_of_range(self, change: dict[str, Any]) -> None:
        """Guards against a file that is acknowledged but can't be stored or used."""
        with pytest.raises(LycheefallError):
            configuration_body.decode(configuration_with(**change))

    @pytest.mark.parametrize(
        "change",
        [{"Slots": 10**9}, {"Sets": 10**9}, {"Experts": -1}, {"step_ms": -1}, {"Stride": 2**70}],
    )
    def test_engine_out_of_range(self, change: dict[str, Any]) -> None:
        """Guards against an engine model with which an entry computes or allocates for ever."""
        engine = CONFIGURATION["Services"][0]["Engine"] | change
        decoded = configuration_body.decode(configuration_with(Services__0__Engine=engine))
        model: EngineModel | None = decoded.pools[0].engine
        assert model is None


class TestSettings:
    @pytest.mark.parametrize(
        "content",
        [
            f"New = {'[' * 5000}{']' * 5000}\n{SETTINGS}".encode(),
            b"\xff\xfe",
            SETTINGS.replace("8229", "99999").encode(),
            SETTINGS.replace('"10.1.0.42:8229"', '"seed"').encode(),
            SETTINGS.replace("7355", "-1").encode(),
        ],
        ids=["nested", "not UTF-8", "port of a seed", "seed without port", "negative port"],
    )
    def test_changed_file_is_refused_as_a_whole(self, tmp_path: Path, content: bytes) -> None:
        """Guards against a process that ends because its settings file was changed."""
        path = tmp_path / "s.toml"
        path.write_text(SETTINGS)
        seeds = settings_file.seeds_reader(path, lambda: False)
        path.write_bytes(content)
        assert seeds() == ("10.1.0.42:8229",)
        with pytest.raises(SettingInvalid):
            settings_file.read(path)
