"""Decoders of the messages between relaying entries and registries."""

from collections.abc import Callable
from typing import Any

import msgspec

from lycheefall._core.messages.relay import ToRegistry, ToRelay


def _decoder(type_: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(type_).decode


decode_to_registry: Callable[[bytes], ToRegistry] = _decoder(ToRegistry)
decode_to_relay: Callable[[bytes], ToRelay] = _decoder(ToRelay)
