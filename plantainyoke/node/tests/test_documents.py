import asyncio
from types import SimpleNamespace

import pytest

from plantainyoke.conftest import run_in_virtual_time
from plantainyoke.network import TransferDeadline
from plantainyoke.node._documents import (
    PROGRESS_INTERVAL_S,
    PULL_SILENCE_S,
    _wait_for_answer,
)

ANSWER = {"document": {}}


def _wait(*, bytes_per_part, parts, is_answered):
    """Wait for a document that arrives in parts every 0.1 s; return result and time."""

    async def main():
        loop = asyncio.get_running_loop()
        progress = TransferDeadline(float("inf"), 0.0)
        queue = asyncio.Queue()

        async def feed():
            for _ in range(parts):
                await asyncio.sleep(0.1)
                progress.record_part(bytes_per_part, loop.time())
            if is_answered:
                queue.put_nowait(ANSWER)

        feeding = loop.create_task(feed())
        link = SimpleNamespace(reader=SimpleNamespace(progress=progress))
        try:
            return await _wait_for_answer(link, queue), loop.time()
        except TimeoutError as error:
            return error, loop.time()
        finally:
            feeding.cancel()

    return run_in_virtual_time(main())


class TestPull:
    """The timeout of a pull bounds silence, not the time of a document."""

    def test_large_document_over_a_slow_link_arrives(self):
        # A pull was given up after 3 s with all chunks that had arrived.
        answer, elapsed_s = _wait(bytes_per_part=20_000, parts=50, is_answered=True)
        assert answer is ANSWER
        assert elapsed_s > PULL_SILENCE_S

    @pytest.mark.parametrize(
        ("bytes_per_part", "parts"), [(0, 0), (20_000, 10), (10, 300)]
    )
    def test_peer_that_is_silent_stalls_or_trickles_is_given_up(
        self, bytes_per_part, parts
    ):
        error, elapsed_s = _wait(
            bytes_per_part=bytes_per_part, parts=parts, is_answered=False
        )
        assert isinstance(error, TimeoutError)
        stalled_at = parts * 0.1 if bytes_per_part > 10 else PROGRESS_INTERVAL_S
        assert elapsed_s <= stalled_at + PULL_SILENCE_S + 2 * PROGRESS_INTERVAL_S
