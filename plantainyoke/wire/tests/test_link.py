import asyncio

import pytest

from plantainyoke.wire import (
    AuthenticationError,
    MalformedError,
    MessageAuthenticator,
    handshake_link,
)
from plantainyoke.wire._schema import schema


async def _open_link(network_prefix: str, initiator_key: bytes, acceptor_key: bytes):
    accepted = asyncio.get_running_loop().create_future()

    async def accept(reader, writer):
        authenticator = MessageAuthenticator([acceptor_key])
        frames = await handshake_link(reader, writer, authenticator, initiator=False)
        accepted.set_result((frames, writer))

    server = await asyncio.start_server(accept, f"{network_prefix}.0.1", 7000)
    reader, writer = await asyncio.open_connection(f"{network_prefix}.0.1", 7000)
    initiator_ends = await handshake_link(
        reader, writer, MessageAuthenticator([initiator_key]), initiator=True
    )
    acceptor_ends, _ = await accepted
    return server, initiator_ends, acceptor_ends


class TestLink:
    def test_frames_arrive_in_order(self, run_async, network_prefix):
        async def scenario():
            server, initiator_ends, acceptor_ends = await _open_link(
                network_prefix, b"k" * 16, b"k" * 16
            )
            for number in range(5):
                initiator_ends[1].write(schema.Frame.new_message(cancel=number))
            received = [(await acceptor_ends[0].read())["cancel"] for _ in range(5)]
            assert received == [0, 1, 2, 3, 4]
            server.close()

        run_async(scenario())

    def test_unknown_key_is_rejected(self, run_async, network_prefix):
        async def scenario():
            server, initiator_ends, acceptor_ends = await _open_link(
                network_prefix, b"k" * 16, b"o" * 16
            )
            initiator_ends[1].write(schema.Frame.new_message(cancel=1))
            with pytest.raises(AuthenticationError):
                await acceptor_ends[0].read()
            server.close()

        run_async(scenario())

    def test_frame_with_repeated_sequence_number_is_rejected(
        self, run_async, network_prefix
    ):
        """An attacker on the path could otherwise replay an authentic frame."""

        async def scenario():
            server, initiator_ends, acceptor_ends = await _open_link(
                network_prefix, b"k" * 16, b"k" * 16
            )
            initiator_ends[1].write(schema.Frame.new_message(cancel=1))
            initiator_ends[1].sequence = 0
            initiator_ends[1].write(schema.Frame.new_message(cancel=1))
            await acceptor_ends[0].read()
            with pytest.raises(MalformedError):
                await acceptor_ends[0].read()
            server.close()

        run_async(scenario())
