"""HTTP client of the platform's configuration service and host list.

Failures are returned as `Result`, not raised.
"""

import asyncio
from contextlib import AsyncExitStack

import aiohttp
from returns.result import Failure, Result, Success

from plantainyoke.network import TransferDeadline

READ_TIMEOUT_S = 3.0  # longest silence of the platform during a call
WATCH_TIMEOUT_S = 20.0
MAX_BODY_BYTES = 1_000_000


class PlatformError(Exception):
    """A document could not be read from the platform."""


class PlatformUnavailableError(PlatformError):
    """The platform does not answer or answers with an error."""


class DocumentTooLargeError(PlatformError):
    """A document exceeds `MAX_BODY_BYTES`."""


class DocumentNotFoundError(PlatformError):
    """The platform lacks a document that its index names; it may be stale."""


class PlatformClient:
    """Reads and watches published documents.

    Parameters
    ----------
    base_url : str

    Attributes
    ----------
    calls : int
        Requests sent so far.
    """

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url
        self.calls = 0
        self.stack = AsyncExitStack()
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "PlatformClient":
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *details) -> None:
        await self.stack.aclose()

    async def read_index(self) -> Result[bytes, PlatformError]:
        """Return the published index document."""
        return await self._get("/configuration/index", READ_TIMEOUT_S)

    async def watch_index(self, digest: str) -> Result[bytes, PlatformError]:
        """Return the index document once it differs from ``digest`` or the watch ends.

        Parameters
        ----------
        digest : str
            Digest of the index document that the caller has.
        """
        path = f"/configuration/index?not={digest}&wait={WATCH_TIMEOUT_S:.0f}"
        return await self._get(path, WATCH_TIMEOUT_S + READ_TIMEOUT_S)

    async def read_chunk(self, digest: str) -> Result[bytes, PlatformError]:
        """Return the chunk document with a digest."""
        return await self._get(f"/configuration/chunks/{digest}", READ_TIMEOUT_S)

    async def read_hosts(self, zone: str) -> Result[bytes, PlatformError]:
        """Return the published list of the hosts that processes of a zone need."""
        return await self._get(f"/hosts?zone={zone}", READ_TIMEOUT_S)

    async def _get(self, path: str, timeout_s: float) -> Result[bytes, PlatformError]:
        self.calls += 1
        now = asyncio.get_running_loop().time()
        deadline = TransferDeadline(READ_TIMEOUT_S, now, first_part_s=timeout_s)
        try:
            async with AsyncExitStack() as stack:
                async with asyncio.timeout_at(deadline.at):
                    response = await stack.enter_async_context(
                        self.session.get(self.base_url + path)
                    )
                if response.status == 404:
                    return Failure(DocumentNotFoundError(path))
                if response.status != 200:
                    return Failure(PlatformUnavailableError(f"{response.status}"))
                return await _read_document(response.content, path, deadline)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(PlatformUnavailableError(type(error).__name__))


async def _read_document(
    content: aiohttp.StreamReader, path: str, deadline: TransferDeadline
) -> Result[bytes, PlatformError]:
    """Return the body of a response.

    Raises
    ------
    TimeoutError
        If the platform is silent or too slow.
    """
    loop = asyncio.get_running_loop()
    deadline.record_part(0, loop.time())
    body = bytearray()
    while not content.at_eof():
        async with asyncio.timeout_at(deadline.at):
            part = await content.readany()
        deadline.record_part(len(part), loop.time())
        body += part
        if len(body) > MAX_BODY_BYTES:
            return Failure(DocumentTooLargeError(path))
    return Success(bytes(body))
