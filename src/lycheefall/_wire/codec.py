"""Encoders and decoders of the messages between entries, agents and control replicas."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lycheefall._core.messages.control import FromControl, ToControl
from lycheefall._core.messages.dispatch import ToAgent, ToEntry
from lycheefall._core.messages.groups import FromReplica, ToReplica
from lycheefall._core.messages.membership import Announce

T = TypeVar("T")

DecodeError = msgspec.DecodeError

encode: Callable[[Any], bytes] = msgspec.msgpack.Encoder().encode


def _decoder(type_: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(type_).decode


# Each decoder is named after the message type that it returns.
decode_to_agent: Callable[[bytes], ToAgent] = _decoder(ToAgent)
decode_to_entry: Callable[[bytes], ToEntry] = _decoder(ToEntry)
decode_to_control: Callable[[bytes], ToControl | ToReplica] = _decoder(ToControl | ToReplica)
decode_from_control: Callable[[bytes], FromControl] = _decoder(FromControl)
decode_from_replica: Callable[[bytes], FromReplica] = _decoder(FromReplica)
decode_announce: Callable[[bytes], Announce] = _decoder(Announce)
