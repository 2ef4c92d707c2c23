"""Deadlines of transfers, which bound silence and slowness instead of the total time.

A timeout for a whole transfer fails every large transfer over a slow link, however
often it is repeated. A peer is given up if nothing arrives for a while, or if it sends
more slowly than any link of the planned deployments.
"""

import asyncio
import math

READ_BYTES = 65_536
MIN_BYTES_PER_S = 125_000  # a fifth of the slowest links, which have 5 Mbit/s


class TransferDeadline:
    """Time by which the next part of a transfer has to arrive.

    With a limit of the size, this also bounds the time of the whole transfer.

    Parameters
    ----------
    silence_s : float
        Time to wait for each part; infinity only counts what arrives.
    now : float
        Time at which the transfer was requested, in seconds.
    first_part_s : float, optional
        Time to wait for the first part, `silence_s` by default.

    Attributes
    ----------
    at : float
    started_at : float or None
        Time of the first part.
    received : int
        Bytes that have arrived.
    """

    def __init__(
        self, silence_s: float, now: float, *, first_part_s: float | None = None
    ) -> None:
        self.silence_s = silence_s
        self.at = now + (silence_s if first_part_s is None else first_part_s)
        self.started_at: float | None = None
        self.received = 0

    def record_part(self, size: int, now: float) -> None:
        """Move the deadline, because a part has arrived."""
        if self.started_at is None:
            self.started_at = now
        self.received += size
        slowest_s = self.received / MIN_BYTES_PER_S
        self.at = min(now, self.started_at + slowest_s) + self.silence_s


async def read_part(
    reader: asyncio.StreamReader, max_bytes: int, deadline: TransferDeadline
) -> bytes:
    """Return the next bytes of a stream, none if it ended.

    Raises
    ------
    TimeoutError
        If the deadline passes.
    """
    async with asyncio.timeout_at(None if math.isinf(deadline.at) else deadline.at):
        part = await reader.read(min(max_bytes, READ_BYTES))
    deadline.record_part(len(part), asyncio.get_running_loop().time())
    return part


async def read_exactly(
    reader: asyncio.StreamReader, size: int, deadline: TransferDeadline
) -> bytes:
    """Return a number of bytes of a stream.

    Raises
    ------
    TimeoutError
        If the deadline passes.
    IncompleteReadError
        If the stream ended before.
    """
    received = bytearray()
    while len(received) < size:
        part = await read_part(reader, size - len(received), deadline)
        if not part:
            raise asyncio.IncompleteReadError(bytes(received), size)
        received += part
    return bytes(received)
