"""Encoding of authenticated datagrams between processes.

A datagram, called envelope, consists of an authentication code, one byte for the kind
of the message, one for its length in words, its only Cap'n Proto segment, and the
payload. The code covers all but the payload, which QUIC protects end to end.
"""

from collections.abc import Callable

import capnp

from plantainyoke.wire._errors import (
    AuthenticationError,
    MalformedError,
    PayloadSizeError,
)
from plantainyoke.wire._mac import MAC_SIZE, MessageAuthenticator
from plantainyoke.wire._messages import (
    Condition,
    Forward,
    Gossip,
    Probe,
    ProbeAck,
    Reply,
    TargetState,
    Update,
)
from plantainyoke.wire._schema import schema

MAX_ENVELOPE_SIZE = 4096
SEGMENT_START = MAC_SIZE + 2
WORD_SIZE = 8
# The bytes for kind and length in words, indexed by both.
HEADERS = [[bytes((kind, n)) for n in range(256)] for kind in range(5)]
RATE_SCALE = 1000

Message = Forward | Reply | Probe | ProbeAck | Gossip

KIND_FORWARD, KIND_REPLY, KIND_PROBE, KIND_PROBE_ACK, KIND_GOSSIP = range(5)

new_forward = schema.Forward.new_message
new_reply = schema.Reply.new_message


class EnvelopeCodec:
    """Encodes and decodes envelopes under a set of peer keys.

    Parameters
    ----------
    authenticator : MessageAuthenticator
    """

    def __init__(self, authenticator: MessageAuthenticator) -> None:
        self.authenticator = authenticator

    def encode_forward(self, generation: int, forward: Forward) -> bytes:
        """Encode a caller's datagram for an agent."""
        body = new_forward()
        body.generation = generation
        body.client = forward.caller
        body.service = forward.service
        body.balancer = forward.balancer
        if forward.alternates or forward.hop:
            body.hop = forward.hop
            body.alternates = forward.alternates
        body.payloadSize = len(forward.payload)
        return self._seal(KIND_FORWARD, body, forward.payload)

    def encode_reply(self, generation: int, reply: Reply) -> bytes:
        """Encode an agent's datagram for a balancer."""
        body = new_reply()
        body.generation = generation
        body.client = reply.caller
        body.service = reply.service
        body.payloadSize = len(reply.payload)
        return self._seal(KIND_REPLY, body, reply.payload)

    def encode_probe(self, generation: int, probe: Probe) -> bytes:
        """Encode a probe."""
        body = schema.Probe.new_message(generation=generation)
        body.nonce = probe.nonce
        body.role = "balancer" if probe.from_balancer else "agent"
        body.suspected = probe.suspected_liveness
        return self._seal(KIND_PROBE, body)

    def encode_probe_ack(self, generation: int, ack: ProbeAck) -> bytes:
        """Encode the answer to a probe."""
        body = schema.ProbeAck.new_message(generation=generation)
        body.nonce = ack.nonce
        body.incarnation = ack.incarnation
        body.state = int(ack.state)
        body.connections = ack.connections
        body.inFlight = ack.in_flight
        body.limit = ack.limit
        body.queued = ack.queued
        body.liveness = ack.liveness
        body.servedRate = round(ack.served_rate * RATE_SCALE)
        return self._seal(KIND_PROBE_ACK, body)

    def encode_gossip(self, generation: int, gossip: Gossip) -> bytes:
        """Encode a batch of status changes."""
        body = schema.Gossip.new_message(generation=generation)
        updates = body.init("updates", len(gossip.updates))
        for slot, update in zip(updates, gossip.updates, strict=True):
            slot.target = update.target
            slot.incarnation = update.liveness
            slot.condition = int(update.condition)
        if gossip.zones:
            body.zones = gossip.zones
        return self._seal(KIND_GOSSIP, body)

    def decode(self, datagram: bytes) -> tuple[int, Message]:
        """Authenticate and decode one datagram.

        Returns
        -------
        generation : int
            The sender's configuration generation.
        message : Forward, Reply, Probe, ProbeAck or Gossip

        Raises
        ------
        AuthenticationError
            If no configured key matches.
        MalformedError
            If the datagram's size is out of range or its content is no known message.
        """
        if not SEGMENT_START < len(datagram) <= MAX_ENVELOPE_SIZE:
            raise MalformedError(
                f"datagram of {len(datagram)} bytes, expected more than "
                f"{SEGMENT_START} and at most {MAX_ENVELOPE_SIZE}"
            )
        payload_start = SEGMENT_START + datagram[MAC_SIZE + 1] * WORD_SIZE
        content = datagram[MAC_SIZE:payload_start]
        if not self.authenticator.verify(datagram[:MAC_SIZE], content):
            raise AuthenticationError
        try:
            read, build = DECODERS[datagram[MAC_SIZE]]
            body = read([content[2:]])
            return body.generation, build(body, datagram[payload_start:])
        except (capnp.KjException, IndexError, ValueError) as error:
            raise MalformedError(
                f"message of kind {datagram[MAC_SIZE]} cannot be decoded: "
                f"{type(error).__name__}"
            ) from error

    def _seal(self, kind: int, body, payload: bytes = b"") -> bytes:
        (segment,) = body.to_segments()
        content = HEADERS[kind][len(segment) // WORD_SIZE] + segment
        return self.authenticator.sign(content) + content + payload


def _decode_forward(body, payload: bytes) -> Forward:
    if body.payloadSize != len(payload):
        raise PayloadSizeError(body.payloadSize, len(payload))
    return Forward(
        body.client,
        body.service,
        body.balancer,
        body.hop,
        list(body.alternates),
        payload,
    )


def _decode_reply(body, payload: bytes) -> Reply:
    if body.payloadSize != len(payload):
        raise PayloadSizeError(body.payloadSize, len(payload))
    return Reply(body.client, body.service, payload)


def _decode_probe(body, payload: bytes) -> Probe:
    return Probe(body.nonce, str(body.role) == "balancer", body.suspected)


def _decode_probe_ack(body, payload: bytes) -> ProbeAck:
    return ProbeAck(
        body.nonce,
        body.incarnation,
        TargetState(body.state.raw),
        body.connections,
        body.inFlight,
        body.limit,
        body.queued,
        body.liveness,
        body.servedRate / RATE_SCALE,
    )


def _decode_gossip(body, payload: bytes) -> Gossip:
    return Gossip(
        [
            Update(item.target, item.incarnation, Condition(item.condition.raw))
            for item in body.updates
        ],
        list(body.zones),
    )


# Indexed by the kind of the message.
DECODERS: tuple[tuple[Callable, Callable], ...] = (
    (schema.Forward.from_segments, _decode_forward),
    (schema.Reply.from_segments, _decode_reply),
    (schema.Probe.from_segments, _decode_probe),
    (schema.ProbeAck.from_segments, _decode_probe_ack),
    (schema.Gossip.from_segments, _decode_gossip),
)
