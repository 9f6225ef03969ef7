"""Tokens of the fake engine, derived from the prompt so that swapped answers are detected."""

import xxhash

BLOCK_CHARS = 64
_CHARS_PER_TOKEN = 4


def token_at(prompt_hash: str, index: int) -> str:
    """Return the text of the token at an index of an answer."""
    return _hash(f"{prompt_hash}:{index}")[:6] + " "


def hash_prompt(prompt: str) -> str:
    """Return the hash of a prompt, from which the tokens of its answer are derived."""
    return _hash(prompt)


def expected_tokens(prompt: str, count: int) -> tuple[str, ...]:
    """Return the first `count` tokens of the fake engine's answer to a prompt."""
    prompt_hash = hash_prompt(prompt)
    return tuple(token_at(prompt_hash, index) for index in range(count))


def count_prompt_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens."""
    return len(prompt) // _CHARS_PER_TOKEN + 1


def prefix_blocks(prompt: str) -> tuple[str, ...]:
    """Return a hash for each complete block; each covers the prompt up to the end of its block."""
    hashes: list[str] = []
    previous = ""
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        previous = _hash(previous + prompt[start : start + BLOCK_CHARS])
        hashes.append(previous)
    return tuple(hashes)


def _hash(text: str) -> str:
    return xxhash.xxh3_64_hexdigest(text.encode())
