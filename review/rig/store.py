"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import json
import time
from collections import deque
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20
LINK_PART_BYTES = 6000
MAX_CATCH_UP_S = 0.05


class Link:
    """Link of a machine with a bandwidth, which its connections share."""

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0

    async def send(self, writer: asyncio.StreamWriter, content: bytes) -> None:
        """Write in small parts, each after the time that the link takes for it."""
        for start in range(0, len(content), LINK_PART_BYTES):
            part = content[start : start + LINK_PART_BYTES]
            # Sleeps end late; what they lose is made up with the next parts.
            self.free_at = max(self.free_at, time.monotonic() - MAX_CATCH_UP_S)
            self.free_at += len(part) / self.bytes_per_s
            await asyncio.sleep(self.free_at - time.monotonic())
            writer.write(part)
            await writer.drain()


class Store:
    """Keys with revisions, which are listed in pages or watched over HTTP.

    Parameters
    ----------
    history_s : float
        Time for which changes can be watched.

    Attributes
    ----------
    refuses : bool
        Whether all calls are refused with status 503, as while the store is down.
    answers : list of (str, int, int)
        Call, status and size of the body of each answer.
    """

    def __init__(self, history_s: float = 20.0) -> None:
        self.history_s = history_s
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: deque[tuple[float, dict]] = deque()
        self.forgotten_revision = 0
        self.changed = asyncio.Event()
        self.refuses = False
        self.answers: list[tuple[str, int, int]] = []
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, link_mbps: float = 0.0) -> str:
        """Serve on a free port, and return the address.

        Parameters
        ----------
        ip : str
        link_mbps : float, default=0.0
            Bandwidth of the link of the machine that uses this address, 0 if it
            does not matter.
        """
        link = Link(link_mbps) if link_mbps else None
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, link), ip, 0
        )
        self.servers.append(server)
        return f"{ip}:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop serving."""
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.transport.abort()

    def put(self, key: str, document: dict) -> int:
        """Write a JSON document and return the revision of the acknowledgement."""
        return self.put_bytes(key, json.dumps(document, separators=(",", ":")).encode())

    def put_bytes(self, key: str, content: bytes) -> int:
        """Write a value and return the revision of the acknowledgement."""
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "createdRev": before["createdRev"] if before else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key and return the revision of the acknowledgement."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def set_refusing(self, refuses: bool) -> None:
        """Refuse all calls, also those that wait, or serve again."""
        self.refuses = refuses
        self._notify()

    def _record(self, event: dict) -> None:
        self.events.append((time.monotonic(), event))
        self._forget()
        self._notify()

    def _forget(self) -> None:
        while self.events and time.monotonic() - self.events[0][0] > self.history_s:
            self.forgotten_revision = self.events.popleft()[1]["revision"]

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer, link: Link | None) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, target, _ = head.split(b"\r\n", 1)[0].decode("ascii").split(" ")
                call = urlsplit(target)
                query = {key: value[0] for key, value in parse_qs(call.query).items()}
                await asyncio.sleep(ANSWER_S)
                status, document = await self._answer(call.path, query)
                body = json.dumps(document, separators=(",", ":")).encode()
                self.answers.append((call.path, status, len(body)))
                answer = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                ).encode() + body
                if link is None:
                    writer.write(answer)
                    await writer.drain()
                else:
                    await link.send(writer, answer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        if self.refuses:
            return 503, {}
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            return 200, self._list(prefix, query.get("after", ""))
        if path == "/api/kv-watch":
            return await self._watch(
                prefix, int(query["after"]), int(query["waitMs"]) / 1000
            )
        return 404, {}

    def _list(self, prefix: str, after: str) -> dict:
        found, size, has_more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            item = self.items[key]
            size += len(item["value"])
            if found and (len(found) >= PAGE_ITEMS or size > PAGE_BYTES):
                has_more = True
                break
            found.append(item)
        return {"items": found, "hasMore": has_more, "currentRev": self.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict]:
        deadline = time.monotonic() + wait_s
        while True:
            self._forget()
            if self.refuses:
                return 503, {}
            if not self.forgotten_revision <= after <= self.revision:
                return 410, {}
            events = [
                event
                for _, event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
