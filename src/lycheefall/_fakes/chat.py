"""Chat completions format of the fake engine."""

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
    """Body of a chat request; lower priority values are scheduled first."""

    messages: tuple[ChatMessage, ...]
    model: str = ""
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0
    # Tokens that another engine has already generated; generation continues after them.
    resume_tokens: tuple[str, ...] = ()


class Delta(Struct, frozen=True, omit_defaults=True):
    """Text added by a chunk."""

    content: str = ""


class ChunkChoice(Struct, frozen=True):
    """The only choice of a chunk."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class Chunk(Struct, frozen=True):
    """Data of one server-sent event."""

    model: str
    choices: tuple[ChunkChoice, ...]
    object: str = "chat.completion.chunk"


class CompletionChoice(Struct, frozen=True):
    """The only choice of a non-streaming answer."""

    message: ChatMessage
    finish_reason: str
    index: int = 0


class Usage(Struct, frozen=True):
    """Token counts of an answer."""

    completion_tokens: int


class ChatCompletion(Struct, frozen=True):
    """Non-streaming answer."""

    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage
    object: str = "chat.completion"


def build_prompt(messages: tuple[ChatMessage, ...]) -> str:
    """Join the messages into one prompt."""
    return "\n".join(each.content for each in messages)


def encode_chunk(model: str, text: str) -> bytes:
    """Encode one token as a server-sent event."""
    return _encode_event(Chunk(model, (ChunkChoice(Delta(text)),)))


def encode_last_chunk(model: str) -> bytes:
    """Encode the last chunk, with its finish reason, and the end of the stream."""
    return _encode_event(Chunk(model, (ChunkChoice(Delta(), "length"),))) + DONE


def build_completion(model: str, texts: list[str]) -> ChatCompletion:
    """Build a non-streaming answer from its tokens."""
    message = ChatMessage("assistant", "".join(texts))
    return ChatCompletion(model, (CompletionChoice(message, "length"),), Usage(len(texts)))


def _encode_event(chunk: Chunk) -> bytes:
    return _DATA + msgspec.json.encode(chunk) + _END
