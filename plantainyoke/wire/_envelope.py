"""Encoding of authenticated datagrams between processes."""

from collections.abc import Callable

import capnp

from plantainyoke.wire._errors import AuthenticationError, MalformedError
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
WORD_SIZE = 8
RATE_SCALE = 1000

Message = Forward | Reply | Probe | ProbeAck | Gossip

new_envelope = schema.Envelope.new_message
read_envelope = schema.Envelope.from_segments


class EnvelopeCodec:
    """Encodes and decodes envelopes under a set of peer keys."""

    def __init__(self, authenticator: MessageAuthenticator) -> None:
        self.authenticator = authenticator

    def encode_forward(self, generation: int, forward: Forward) -> bytes:
        """Encode a caller's datagram for an agent."""
        envelope = new_envelope(generation=generation)
        body = envelope.init("forward")
        body.client = forward.client
        body.service = forward.service
        body.balancer = forward.balancer
        if forward.alternates:
            body.hop = forward.hop
            body.alternates = forward.alternates
        body.payload = forward.payload
        return self._seal(envelope)

    def encode_reply(self, generation: int, reply: Reply) -> bytes:
        """Encode an agent's datagram for a balancer."""
        envelope = new_envelope(generation=generation)
        body = envelope.init("reply")
        body.client = reply.client
        body.service = reply.service
        body.payload = reply.payload
        return self._seal(envelope)

    def encode_probe(self, generation: int, probe: Probe) -> bytes:
        """Encode a probe."""
        envelope = new_envelope(generation=generation)
        body = envelope.init("probe")
        body.nonce = probe.nonce
        body.role = "balancer" if probe.from_balancer else "agent"
        body.suspected = probe.suspected
        return self._seal(envelope)

    def encode_probe_ack(self, generation: int, ack: ProbeAck) -> bytes:
        """Encode the answer to a probe."""
        envelope = new_envelope(generation=generation)
        body = envelope.init("probeAck")
        body.nonce = ack.nonce
        body.incarnation = ack.incarnation
        body.state = int(ack.state)
        body.connections = ack.connections
        body.inFlight = ack.in_flight
        body.limit = ack.limit
        body.queued = ack.queued
        body.liveness = ack.liveness
        body.servedRate = round(ack.served_rate * RATE_SCALE)
        return self._seal(envelope)

    def encode_gossip(self, generation: int, gossip: Gossip) -> bytes:
        """Encode a batch of changes of belief."""
        envelope = new_envelope(generation=generation)
        updates = envelope.init("gossip").init("updates", len(gossip.updates))
        for slot, update in zip(updates, gossip.updates, strict=True):
            slot.target = update.target
            slot.incarnation = update.incarnation
            slot.condition = int(update.condition)
        return self._seal(envelope)

    def decode(self, datagram: bytes) -> tuple[int, Message]:
        """Check and decode one datagram.

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
            If the content is not a known message.
        """
        if not MAC_SIZE < len(datagram) <= MAX_ENVELOPE_SIZE:
            raise MalformedError("size")
        content = datagram[MAC_SIZE:]
        if not self.authenticator.verify(datagram[:MAC_SIZE], content):
            raise AuthenticationError
        if len(content) % WORD_SIZE:
            raise MalformedError("alignment")
        try:
            envelope = read_envelope([content])
            name, decode_body = DECODERS[envelope.which.raw]
            return envelope.generation, decode_body(getattr(envelope, name))
        except (capnp.KjException, IndexError, ValueError) as error:
            raise MalformedError(type(error).__name__) from error

    def _seal(self, envelope) -> bytes:
        (content,) = envelope.to_segments()
        return self.authenticator.sign(content) + content


def _decode_forward(body) -> Forward:
    return Forward(
        body.client,
        body.service,
        body.balancer,
        body.hop,
        list(body.alternates),
        body.payload,
    )


def _decode_reply(body) -> Reply:
    return Reply(body.client, body.service, body.payload)


def _decode_probe(body) -> Probe:
    return Probe(body.nonce, str(body.role) == "balancer", body.suspected)


def _decode_probe_ack(body) -> ProbeAck:
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


def _decode_gossip(body) -> Gossip:
    return Gossip(
        [
            Update(item.target, item.incarnation, Condition(item.condition.raw))
            for item in body.updates
        ]
    )


# Indexed by the discriminant of the union in ``Envelope``.
DECODERS: tuple[tuple[str, Callable], ...] = (
    ("forward", _decode_forward),
    ("reply", _decode_reply),
    ("probe", _decode_probe),
    ("probeAck", _decode_probe_ack),
    ("gossip", _decode_gossip),
)
