"""Stand-in for the platform's store.

It listens at one address for each process, so that it can stop answering single
processes while it serves the others.
"""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit


class Store:
    """Keys with revisions, listed and watched over HTTP.

    Attributes
    ----------
    silenced : set of str
        Clients whose calls are not answered until they leave this set.
    on_watch : callable
        Called with the name of a client whose watch arrived.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.silenced: set[str] = set()
        self.on_watch: Callable[[str], None] = lambda name: None
        self.servers: list[asyncio.Server] = []

    async def listen(self, name: str, address: tuple[str, int]) -> None:
        """Serve one client at its own address."""
        self.servers.append(
            await asyncio.start_server(
                lambda reader, writer: self._serve(name, reader, writer), *address
            )
        )

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    def put(self, key: str, document: dict) -> None:
        """Write a key; the call's return is the store's acknowledgement."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items.get(key, {}).get("createdRev", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRev": created,
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def _record(self, event: dict) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(name, path)
                while name in self.silenced:
                    await asyncio.sleep(0.01)
                content = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, name: str, path: str) -> tuple[int, dict]:
        while name in self.silenced:
            await asyncio.sleep(0.01)
        parts = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        handlers: dict[str, Callable[[str, dict], Awaitable[tuple[int, dict]]]] = {
            "/api/kv-range": self._range,
            "/api/kv-watch": self._watch,
        }
        handler = handlers.get(parts.path)
        if handler is None:
            return 404, {}
        return await handler(name, query)

    async def _range(self, name: str, query: dict) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:500]]
        return 200, {
            "items": page,
            "hasMore": len(keys) > 500,
            "currentRev": self.revision,
        }

    async def _watch(self, name: str, query: dict) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        self.on_watch(name)
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass
