"""Small HTTP/1.1 client and server for GET requests, on ``httptools``.

The processes of the packet path start in a fraction of a second of processor time; a
full HTTP framework would triple it.
"""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack

import httptools
import msgspec

from plantainyoke.network._address import Address, format_address
from plantainyoke.network._connections import serve_connections
from plantainyoke.network._transfer import READ_BYTES, TransferDeadline, read_part
from plantainyoke.telemetry import Metrics, log_event

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEAD_BYTES = 65_536
MAX_REQUEST_BYTES = 16_384
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 503: "Service Unavailable"}


class HttpError(Exception):
    """The request failed before a complete response arrived."""


class BodyTooLargeError(HttpError):
    """The body of the response exceeds `MAX_BODY_BYTES`."""

    def __init__(self, size: int) -> None:
        super().__init__(f"body of {size} bytes exceeds the limit of {MAX_BODY_BYTES}")
        self.size = size


class Response(msgspec.Struct):
    """An HTTP response.

    Attributes
    ----------
    status : int
    body : bytes
    headers : dict of str to str
        Names in lower case.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = msgspec.field(default_factory=dict)


class _ResponseReader:
    """Builds one response from the callbacks of the parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.size = 0
        self.received = 0
        self.error: HttpError | None = None
        self.has_head = False
        self.is_complete = False

    def feed(self, data: bytes) -> None:
        """Parse a part of the response.

        Raises
        ------
        HttpError
            If the response is malformed or too large.
        """
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise self.error or HttpError(type(error).__name__) from error
        if not self.has_head and self.received > MAX_HEAD_BYTES:
            raise HttpError(f"head exceeds the limit of {MAX_HEAD_BYTES} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.has_head = True
        # The parser has checked that it is a number of 64 bits.
        stated = int(self.headers.get("content-length", "0"))
        if stated > MAX_BODY_BYTES:
            self._fail(BodyTooLargeError(stated))

    def on_body(self, chunk: bytes) -> None:
        self.size += len(chunk)
        if self.size > MAX_BODY_BYTES:
            self._fail(BodyTooLargeError(self.size))
        self.chunks.append(chunk)

    def _fail(self, error: HttpError) -> None:
        """Keep an error, in the place of which the parser raises one of its own."""
        self.error = error
        raise error

    def on_message_begin(self) -> None:
        if self.is_complete:
            self._fail(HttpError("a second response follows the first"))

    def on_message_complete(self) -> None:
        self.is_complete = True

    def result(self) -> Response:
        status = self.parser.get_status_code()
        return Response(status, b"".join(self.chunks), self.headers)


class HttpClient:
    """Sends GET requests one at a time, each over a new connection.

    An open connection may go silent without a reset, and a late copy of a response on
    it would count as the next one.

    Parameters
    ----------
    address : Address
        Address of the server.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.writer: asyncio.StreamWriter | None = None
        self.deadline: TransferDeadline | None = None

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a response has arrived, and the rest is expected."""
        return self.deadline is not None and self.deadline.started_at is not None

    async def get(
        self, path: str, *, timeout_s: float, silence_s: float | None = None
    ) -> Response:
        """Return the response to a GET request.

        Parameters
        ----------
        path : str
        timeout_s : float
            Time to wait for the first part of the response.
        silence_s : float, optional
            Time to wait for each further part, `timeout_s` by default.

        Raises
        ------
        BodyTooLargeError
            If the body exceeds `MAX_BODY_BYTES`.
        HttpError
            If no complete response arrives in time.
        """
        now = asyncio.get_running_loop().time()
        deadline = self.deadline = TransferDeadline(
            silence_s or timeout_s, now, first_part_s=timeout_s
        )
        try:
            return await self._exchange(path, deadline)
        except (OSError, TimeoutError) as error:
            raise HttpError(
                f"{type(error).__name__} after {deadline.received} bytes"
            ) from error
        finally:
            self.close()

    def close(self) -> None:
        """Abort the request in progress."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = self.deadline = None

    async def _exchange(self, path: str, deadline: TransferDeadline) -> Response:
        async with asyncio.timeout_at(deadline.at):
            reader, self.writer = await asyncio.open_connection(*self.address)
        host = format_address(self.address)
        request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        self.writer.write(request.encode("ascii"))
        response = _ResponseReader()
        while not response.is_complete:
            data = await read_part(reader, READ_BYTES, deadline)
            if not data:
                raise HttpError("connection closed before the response was complete")
            response.feed(data)
        return response.result()


Handler = Callable[[dict[str, str]], Response]


class _RequestReader:
    """Collects methods and URLs of requests from the callbacks of the parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.pending: list[tuple[str, str]] = []
        self.keep_alive = True

    def on_message_begin(self) -> None:
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode("ascii")
        url = self.url.decode("latin-1")
        self.keep_alive = self.parser.should_keep_alive()
        self.pending.append((method, url))


class HttpServer:
    """Answers GET requests by path.

    Parameters
    ----------
    handlers : dict of str to callable
        Handler of each path, called with the query parameters. Returns a `Response`.
    metrics : Metrics
        Counts connections whose task failed.
    """

    def __init__(self, handlers: dict[str, Handler], metrics: Metrics) -> None:
        self.handlers = handlers
        self.metrics = metrics

    async def listen(self, address: Address, stack: AsyncExitStack) -> None:
        """Accept connections until the stack closes."""
        await serve_connections(self._serve, address, stack, metrics=self.metrics)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve_requests(reader, writer)
        except (OSError, httptools.HttpParserError) as error:
            log_event("http_connection_broke", error=type(error).__name__)
        writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        requests = _RequestReader()
        received = 0
        while data := await reader.read(READ_BYTES):
            received += len(data)
            requests.parser.feed_data(data)
            if requests.pending:
                received = 0
            for method, url in requests.pending:
                writer.write(_encode_response(self._answer(method, url)))
                # Otherwise the answers to many requests in one read would hold up the
                # event loop, and the memory, for all of them together.
                await writer.drain()
                await asyncio.sleep(0)
            requests.pending.clear()
            if not requests.keep_alive or received > MAX_REQUEST_BYTES:
                return

    def _answer(self, method: str, url: str) -> Response:
        path, _, query = url.partition("?")
        handler = self.handlers.get(path)
        if method != "GET" or handler is None:
            return Response(404)
        return handler(_parse_query(query))


def _parse_query(query: str) -> dict[str, str]:
    if not query:
        return {}
    # Imported late: a program starts sooner without it.
    from urllib.parse import parse_qsl

    return dict(parse_qsl(query))


def _encode_response(response: Response) -> bytes:
    reason = REASONS.get(response.status, "")
    head = f"HTTP/1.1 {response.status} {reason}\r\n"
    headers = {"content-length": str(len(response.body)), **response.headers}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{head}{lines}\r\n".encode("latin-1") + response.body
