import asyncio

import pytest

from plantainyoke.wire import (
    AuthenticationError,
    MalformedError,
    MessageAuthenticator,
    handshake_link,
)
from plantainyoke.wire._schema import schema


async def _pair(network_prefix: str, first_key: bytes, second_key: bytes):
    accepted = asyncio.get_running_loop().create_future()

    async def accept(reader, writer):
        authenticator = MessageAuthenticator([second_key])
        frames = await handshake_link(reader, writer, authenticator, initiator=False)
        accepted.set_result((frames, writer))

    server = await asyncio.start_server(accept, f"{network_prefix}.0.1", 7000)
    reader, writer = await asyncio.open_connection(f"{network_prefix}.0.1", 7000)
    ours = await handshake_link(
        reader, writer, MessageAuthenticator([first_key]), initiator=True
    )
    theirs, _ = await accepted
    return server, ours, theirs


class TestLink:
    def test_frames_arrive_in_order(self, run_async, network_prefix):
        async def scenario():
            server, ours, theirs = await _pair(network_prefix, b"k" * 16, b"k" * 16)
            for number in range(5):
                ours[1].write(schema.Frame.new_message(cancel=number))
            received = [(await theirs[0].read())["cancel"] for _ in range(5)]
            assert received == [0, 1, 2, 3, 4]
            server.close()

        run_async(scenario())

    def test_foreign_key_is_refused(self, run_async, network_prefix):
        async def scenario():
            server, ours, theirs = await _pair(network_prefix, b"k" * 16, b"o" * 16)
            ours[1].write(schema.Frame.new_message(cancel=1))
            with pytest.raises(AuthenticationError):
                await theirs[0].read()
            server.close()

        run_async(scenario())

    def test_replayed_frame_is_refused(self, run_async, network_prefix):
        async def scenario():
            server, ours, theirs = await _pair(network_prefix, b"k" * 16, b"k" * 16)
            ours[1].write(schema.Frame.new_message(cancel=1))
            ours[1].sequence = 0
            ours[1].write(schema.Frame.new_message(cancel=1))
            await theirs[0].read()
            with pytest.raises(MalformedError):
                await theirs[0].read()
            server.close()

        run_async(scenario())
