"""Transfer of configuration documents between peers over links.

A process can fetch the index, chunks and the host list from a peer instead of the
platform. The peer sends its index as a delta if it can.
"""

import asyncio
import zlib

from returns.result import Failure

from plantainyoke.network import TransferDeadline
from plantainyoke.node._links import Link, LinkClosedError
from plantainyoke.node._node import Node

HOSTS_DOCUMENT = "hosts"
MAX_DOCUMENT_BYTES = 1_000_000
PULL_SILENCE_S = 3.0  # longest silence of a peer that was asked for a document
PROGRESS_INTERVAL_S = 0.25  # between two looks at what has arrived


class DocumentExchange:
    """Pulls documents from peers and answers their pulls.

    Parameters
    ----------
    node : Node

    Attributes
    ----------
    hosts_document : bytes
        The latest host list, byte for byte as published.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.hosts_document = b""
        node.links.pull_handler = self.serve

    async def serve(self, link, frame: dict) -> None:
        """Answer a peer's request for a document."""
        request = frame["pull"]
        kind, body = self._find(request["chunk"], request["have"])
        answer = link.new_frame()
        document = answer.init("document")
        document.id = request["id"]
        document.kind = kind
        document.body = zlib.compress(body)
        self.node.metrics.count("bytes.configuration", len(document.body))
        link.send(answer)

    def _find(self, chunk: str, have: str) -> tuple[str, bytes]:
        """Return the kind and body of the answer to a pull."""
        configuration = self.node.configuration
        if chunk == HOSTS_DOCUMENT:
            body = self.hosts_document
        elif chunk:
            body = configuration.chunk_documents.get(chunk, b"")
        else:
            delta = configuration.encode_delta_from(have)
            if delta:
                return "delta", delta
            body = configuration.index_document
        return ("whole" if body else "missing"), body

    async def pull_index(self, peer: int) -> bytes:
        """Return a peer's index document, transferred as a delta if possible.

        A delta that cannot be applied is followed by a pull of the whole index.
        """
        kind, body = await self.pull(peer, "", self.node.snapshot.digest)
        if kind != "delta":
            return body
        rebuilt = self.node.configuration.rebuild_index(body)
        if isinstance(rebuilt, Failure):
            self.node.metrics.count("configuration.bad_delta")
            _, body = await self.pull(peer, "")
            return body
        return rebuilt.unwrap()

    async def pull(self, peer: int, chunk: str, have: str = "") -> tuple[str, bytes]:
        """Return the kind and body of a peer's document.

        Parameters
        ----------
        peer : int
        chunk : str
            Digest of a chunk, ``HOSTS_DOCUMENT``, or empty for the index.
        have : str, default=""
            Digest of the index that a delta may be based on.

        Raises
        ------
        LinkClosedError
            If the peer cannot be reached or closes the link.
        TimeoutError
            If nothing arrives from the peer for ``PULL_SILENCE_S``, or too little.
        zlib.error
            If the document is damaged or exceeds ``MAX_DOCUMENT_BYTES``.
        """
        link = await self.node.links.connect(peer)
        number, queue = link.open_request()
        try:
            frame = link.new_frame()
            pull = frame.init("pull")
            pull.id = number
            pull.chunk = chunk
            pull.have = have
            link.send(frame)
            answer = await _wait_for_answer(link, queue)
            if answer is None:
                raise LinkClosedError
            document = answer["document"]
            return document["kind"], _decompress(document["body"])
        finally:
            link.close_request(number)


async def _wait_for_answer(link: Link, queue: asyncio.Queue) -> dict | None:
    """Return the answer to a pull, None if the link was closed.

    Raises
    ------
    TimeoutError
    """
    loop = asyncio.get_running_loop()
    progress = link.reader.progress
    deadline = TransferDeadline(PULL_SILENCE_S, loop.time())
    received = progress.received
    while True:
        try:
            async with asyncio.timeout(PROGRESS_INTERVAL_S):
                return await queue.get()
        except TimeoutError:
            if progress.received > received:
                deadline.record_part(progress.received - received, loop.time())
                received = progress.received
            if loop.time() >= deadline.at:
                raise


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(body, MAX_DOCUMENT_BYTES)
    if decompressor.unconsumed_tail:
        raise zlib.error(f"document exceeds the limit of {MAX_DOCUMENT_BYTES} bytes")
    return document
