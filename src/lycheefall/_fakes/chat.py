"""Chat-completions form that the fake engine speaks."""

import msgspec
from msgspec import Struct

_DATA = b"data: "
_END = b"\n\n"
DONE = b"data: [DONE]\n\n"


class ChatMessage(Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str


class ChatRequest(Struct, frozen=True):
    """Body of a chat request; the priority 0 goes first."""

    messages: tuple[ChatMessage, ...]
    model: str = ""
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0
    # Tokens that the caller already has from another engine.
    resume_tokens: tuple[str, ...] = ()


class Delta(Struct, frozen=True, omit_defaults=True):
    """New text of a chunk."""

    content: str = ""


class ChunkChoice(Struct, frozen=True):
    """The only choice of a chunk."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class Chunk(Struct, frozen=True):
    """One server-sent event."""

    model: str
    choices: tuple[ChunkChoice, ...]
    object: str = "chat.completion.chunk"


class CompletionChoice(Struct, frozen=True):
    """The only choice of a whole answer."""

    message: ChatMessage
    finish_reason: str
    index: int = 0


class Usage(Struct, frozen=True):
    """Tokens of an answer."""

    completion_tokens: int


class ChatCompletion(Struct, frozen=True):
    """Answer to a request that does not stream."""

    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage
    object: str = "chat.completion"


def build_prompt(messages: tuple[ChatMessage, ...]) -> str:
    """Join the messages into the text that the engine reads."""
    return "\n".join(each.content for each in messages)


def encode_chunk(model: str, text: str) -> bytes:
    """Encode one token as a server-sent event."""
    return _encode_event(Chunk(model, (ChunkChoice(Delta(text)),)))


def encode_last_chunk(model: str) -> bytes:
    """Encode the end of a stream."""
    return _encode_event(Chunk(model, (ChunkChoice(Delta(), "length"),))) + DONE


def build_completion(model: str, texts: list[str]) -> ChatCompletion:
    """Join the tokens of an answer that does not stream."""
    message = ChatMessage("assistant", "".join(texts))
    return ChatCompletion(model, (CompletionChoice(message, "length"),), Usage(len(texts)))


def _encode_event(chunk: Chunk) -> bytes:
    return _DATA + msgspec.json.encode(chunk) + _END
