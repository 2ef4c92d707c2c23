"""Fake of the platform's key-value store.

Tests write its contents as operators and targets do, and make it fail, forget its
history, or go back to an older copy.
"""

import asyncio
import base64
import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from aiohttp import web

STORE_PORT = 18_169
LINK_PART_BYTES = 16_384  # parts in which a slow link delivers an answer


@dataclass(frozen=True)
class StoreCopy:
    """Copy of a `FakeStore` at one revision.

    Attributes
    ----------
    revision : int
    items : dict of str to dict
        Item of each key.
    """

    revision: int
    items: dict[str, dict]


class FakeStore:
    """Fake of the platform's store: keys with revisions, listed or watched over HTTP.

    Attributes
    ----------
    revision : int
        Revision of the newest change.
    oldest_revision : int
        Lowest revision from which changes can be watched.
    items : dict of str to dict
        Current item of each key.
    written : dict of str to bytes
        What the writers last wrote, also if a restoration has lost it.
    changes : list of dict
        Changes after `oldest_revision`, as a watch returns them.
    calls : int
    mode : str
        ``"up"``, ``"busy"`` (calls fail with status 503) or ``"silent"`` (calls are not
        answered).
    epoch : int
        Stated in every answer; rises when the store is restored from a copy.
    page_size : int
        Items in an answer at most.
    before_call : callable
        Called before each call is answered.
    bytes_per_s : float
        Bandwidth of the link to the store, 0 if it does not matter.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.revision = 1
        self.oldest_revision = 0
        self.items: dict[str, dict] = {}
        self.written: dict[str, bytes] = {}
        self.changes: list[dict] = []
        self.changed = asyncio.Event()
        self.calls = 0
        self.mode = "up"
        self.epoch = 1
        self.page_size = 500
        self.before_call: Callable[[], None] = lambda: None
        self.bytes_per_s = 0.0

    async def start(self, stack: AsyncExitStack) -> None:
        """Serve until the stack closes."""
        application = web.Application()
        application.on_response_prepare.append(self._state_epoch)
        application.router.add_get("/api/kv-range", self._range)
        application.router.add_get("/api/kv-watch", self._watch)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.2)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.ip, STORE_PORT).start()

    def put(self, key: str, document: dict) -> None:
        """Write a key with a JSON document."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key: str, content: bytes) -> None:
        """Write a key with raw content, which need not be JSON."""
        self.written[key] = content
        self.revision += 1
        value = base64.b64encode(content).decode()
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.written.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def discard_history(self) -> None:
        """Discard all changes so far; watches from earlier revisions get status 410."""
        self.oldest_revision = self.revision
        self.changes.clear()

    def take_copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored later."""
        return StoreCopy(self.revision, dict(self.items))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; everything written since is lost.

        Revisions continue from the copy's, so they are given out again. A watch that
        is waiting gets status 410 if the copy lacks its revision.
        """
        self.epoch += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        self.changes = [
            event for event in self.changes if event["revision"] <= copy.revision
        ]
        self._notify()

    def write_again(self) -> None:
        """Write and delete again what a restoration has lost."""
        for key in self.items.keys() - self.written:
            self.delete(key)
        for key, content in self.written.items():
            item = self.items.get(key)
            if item is None or base64.b64decode(item["value"]) != content:
                self.put_bytes(key, content)

    async def _state_epoch(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self.epoch)

    def _record(self, event: dict) -> None:
        self.changes.append(event)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _apply_mode(self) -> web.Response | None:
        self.calls += 1
        self.before_call()
        if self.mode == "silent":
            await asyncio.sleep(3600)
        return web.Response(status=503) if self.mode == "busy" else None

    async def _range(self, request: web.Request) -> web.Response:
        failure = await self._apply_mode()
        if failure is not None:
            return failure
        prefix, after = request.query["prefix"], request.query.get("after", "")
        items = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        page = {
            "items": items[: self.page_size],
            "hasMore": len(items) > self.page_size,
            "currentRev": self.revision,
        }
        return await self._send(request, page)

    async def _watch(self, request: web.Request) -> web.Response:
        failure = await self._apply_mode()
        if failure is not None:
            return failure
        after = int(request.query["after"])
        if after == self.revision:
            try:
                async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.oldest_revision <= after <= self.revision:
            return web.Response(status=410)
        events = [event for event in self.changes if event["revision"] > after]
        answer = {"events": events, "currentRev": self.revision}
        return await self._send(request, answer)

    async def _send(self, request: web.Request, answer: dict) -> web.StreamResponse:
        if not self.bytes_per_s:
            return web.json_response(answer)
        body = json.dumps(answer).encode()
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(request)
        for start in range(0, len(body), LINK_PART_BYTES):
            part = body[start : start + LINK_PART_BYTES]
            await asyncio.sleep(len(part) / self.bytes_per_s)
            await response.write(part)
        return response
