import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.wire import (
    AuthenticationError,
    Condition,
    EnvelopeCodec,
    Forward,
    Gossip,
    MessageAuthenticator,
    Probe,
    ProbeAck,
    Reply,
    TargetState,
    Update,
    WireError,
)
from plantainyoke.wire._envelope import SEGMENT_START
from plantainyoke.wire._mac import MAC_SIZE

KEY, OTHER_KEY = b"k" * 16, b"o" * 16

addresses = st.integers(0, 2**48 - 1)
numbers = st.integers(0, 2**63)
payloads = st.binary(max_size=1500)


def _codec(*keys: bytes) -> EnvelopeCodec:
    return EnvelopeCodec(MessageAuthenticator(keys or (KEY,)))


class TestRoundTrip:
    @given(
        st.builds(
            Forward,
            caller=addresses,
            service=st.integers(0, 2**32 - 1),
            balancer=addresses,
            hop=st.integers(1, 3),
            alternates=st.lists(addresses, max_size=4),
            payload=payloads,
        ),
        numbers,
    )
    def test_forward(self, forward, generation):
        codec = _codec()
        encoded = codec.encode_forward(generation, forward)
        assert codec.decode(encoded) == (generation, forward)

    @given(addresses, st.integers(0, 2**32 - 1), payloads)
    def test_reply(self, caller, service, payload):
        codec = _codec()
        reply = Reply(caller, service, payload)
        assert codec.decode(codec.encode_reply(7, reply)) == (7, reply)

    @given(numbers, st.booleans(), numbers)
    def test_probe(self, nonce, from_balancer, suspected_liveness):
        codec = _codec()
        probe = Probe(nonce, from_balancer, suspected_liveness)
        assert codec.decode(codec.encode_probe(7, probe)) == (7, probe)

    @given(numbers, st.sampled_from(TargetState), st.integers(0, 1000))
    def test_probe_ack(self, nonce, state, load):
        codec = _codec()
        ack = ProbeAck(nonce, 3, state, load, load, load, load, 9, load / 8)
        assert codec.decode(codec.encode_probe_ack(7, ack)) == (7, ack)

    @given(
        st.lists(
            st.builds(Update, addresses, numbers, st.sampled_from(Condition)),
            max_size=40,
        ),
        st.lists(st.integers(0, 2**16 - 1), max_size=34),
    )
    def test_gossip(self, updates, zones):
        codec = _codec()
        gossip = Gossip(updates, zones)
        assert codec.decode(codec.encode_gossip(7, gossip)) == (7, gossip)


class TestHostileInput:
    @given(st.binary(max_size=5000))
    def test_random_datagram_is_rejected(self, datagram):
        with pytest.raises(WireError):
            _codec().decode(datagram)

    @given(st.integers(0, SEGMENT_START + 40), st.integers(1, 255))
    def test_changed_header_is_rejected(self, position, change):
        codec = _codec()
        encoded = bytearray(codec.encode_reply(7, Reply(1, 2, b"")))
        position %= len(encoded)
        encoded[position] ^= change
        with pytest.raises(WireError):
            codec.decode(bytes(encoded))

    @given(st.integers(0, 200))
    def test_truncated_datagram_is_rejected(self, size):
        codec = _codec()
        encoded = codec.encode_forward(7, Forward(1, 2, 3, 0, [], b"x" * 100))
        with pytest.raises(WireError):
            codec.decode(encoded[: min(size, len(encoded) - 1)])

    @given(st.binary(max_size=300))
    def test_authentic_random_content_is_rejected_or_decoded(self, content):
        """A peer with a valid key but another schema must not crash the receiver."""
        authenticator = MessageAuthenticator([KEY])
        words = max(0, (len(content) - 2)) // 8
        content = content[:1] + bytes([words]) + content[2 : 2 + 8 * words]
        datagram = authenticator.sign(content) + content
        try:
            _, message = _codec().decode(datagram)
        except WireError:
            return
        assert isinstance(message, Forward | Reply | Probe | ProbeAck | Gossip)

    def test_unknown_key_is_rejected(self):
        encoded = _codec(OTHER_KEY).encode_probe(1, Probe(1, True))
        with pytest.raises(AuthenticationError):
            _codec(KEY).decode(encoded)

    def test_second_key_is_accepted_during_rotation(self):
        encoded = _codec(OTHER_KEY).encode_probe(1, Probe(1, True))
        assert _codec(KEY, OTHER_KEY).decode(encoded)[1] == Probe(1, True)

    def test_short_key_is_rejected(self):
        with pytest.raises(ValueError, match="16 bytes"):
            MessageAuthenticator([b"short"])
        assert MAC_SIZE == 16
