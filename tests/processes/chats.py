"""Asks for answers of chats and reads them with the code that they ended with."""

import json
from typing import Any

import aiohttp
from msgspec import Struct

from processes.test_whole_path import TEAM


class Got(Struct, frozen=True):
    """Text that a caller got and how it ended; a stream without an end has the code 0."""

    text: str
    code: int
    run: str
    attempts: int = 0


async def ask_chat(session: aiohttp.ClientSession, url: str, body: dict[str, Any]) -> Got:
    """Ask for one answer, streamed or whole."""
    async with session.post(url, json=body, headers=TEAM) as response:
        code = int(response.headers["X-Lycheefall-Code"])
        run = response.headers["X-Lycheefall-Run"]
        if code != 1000:
            return Got("", code, run)
        if body["stream"]:
            return await _read_stream(response)
        whole = await response.json()
        return Got(whole["choices"][0]["message"]["content"], code, run)


async def _read_stream(response: aiohttp.ClientResponse) -> Got:
    text, end = "", Got("", 0, "")
    async for line in response.content:
        if not line.startswith(b"data: {"):
            continue
        event = json.loads(line[6:])
        if "choices" in event:
            text += event["choices"][0]["delta"].get("content", "")
        outcome = event.get("lycheefall", event)
        if "code" in outcome:
            end = Got("", outcome["code"], outcome["run"], outcome.get("attempts", 0))
    return Got(text, end.code, end.run, end.attempts)
