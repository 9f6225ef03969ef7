"""Sends chat requests and reads their answers and result codes."""

import json
from typing import Any

import aiohttp
from msgspec import Struct

from processes.test_whole_path import TEAM_HEADERS


class ChatAnswer(Struct, frozen=True):
    """Text and outcome of a chat; a stream without a final event has the code 0."""

    text: str
    code: int
    run: str
    attempts: int = 0


async def ask_chat(session: aiohttp.ClientSession, url: str, body: dict[str, Any]) -> ChatAnswer:
    """Send a chat request and read its answer, streamed or not."""
    async with session.post(url, json=body, headers=TEAM_HEADERS) as response:
        code = int(response.headers["X-Lycheefall-Code"])
        run = response.headers["X-Lycheefall-Run"]
        if code != 1000:
            return ChatAnswer("", code, run)
        if body["stream"]:
            return await _read_stream(response)
        completion = await response.json()
        return ChatAnswer(completion["choices"][0]["message"]["content"], code, run)


async def _read_stream(response: aiohttp.ClientResponse) -> ChatAnswer:
    text, end = "", ChatAnswer("", 0, "")
    async for line in response.content:
        if not line.startswith(b"data: {"):
            continue
        event = json.loads(line[6:])
        if "choices" in event:
            text += event["choices"][0]["delta"].get("content", "")
        outcome = event.get("lycheefall", event)
        if "code" in outcome:
            end = ChatAnswer("", outcome["code"], outcome["run"], outcome.get("attempts", 0))
    return ChatAnswer(text, end.code, end.run, end.attempts)
