"""Tests of the private parts of aioquic that ``plantainyoke.quic`` depends on.

A failure after an upgrade of aioquic means that these parts have changed.
"""

import os

import pytest
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import HandshakeCompleted, ProtocolNegotiated
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.quic import (
    CallerQuicConnection,
    GoawayH3Connection,
    RoutedQuicConnection,
    build_stateless_reset,
    count_pending_bytes,
    derive_reset_token,
    get_server_connection_id,
    get_server_initial_id,
)
from plantainyoke.routing import CONNECTION_ID_SIZE
from plantainyoke.standins import write_certificate

CLIENT, SERVER = ("192.0.2.1", 1000), ("192.0.2.2", 443)
SERVER_NAME = "service.test"
SECRET = b"s" * 16


class ConnectionPair:
    """Client and server connection that exchange datagrams in memory."""

    def __init__(self, directory) -> None:
        certificate, key = write_certificate(directory, SERVER_NAME)
        client = QuicConfiguration(
            is_client=True, alpn_protocols=H3_ALPN, server_name=SERVER_NAME
        )
        client.load_verify_locations(str(certificate))
        server = QuicConfiguration(
            is_client=False,
            alpn_protocols=H3_ALPN,
            connection_id_length=CONNECTION_ID_SIZE,
        )
        server.load_cert_chain(certificate, key)
        self.server_configuration = server
        self.issued: list[bytes] = []
        self.now = 0.0
        self.client = CallerQuicConnection(configuration=client)
        self.client.connect(SERVER, now=self.now)
        self.server = self.accept()
        self.events: dict[str, list] = {"client": [], "server": []}
        self.h3: dict[str, GoawayH3Connection] = {}

    def accept(self) -> RoutedQuicConnection:
        return RoutedQuicConnection(
            issue_connection_id=self.issue_connection_id,
            reset_secret=SECRET,
            configuration=self.server_configuration,
            original_destination_connection_id=(
                self.client.original_destination_connection_id
            ),
        )

    def issue_connection_id(self) -> bytes:
        self.issued.append(os.urandom(CONNECTION_ID_SIZE))
        return self.issued[-1]

    def exchange(self, rounds: int = 10) -> None:
        for _ in range(rounds):
            self.now += 0.01
            self.deliver(self.client, self.server, "server", CLIENT)
            self.deliver(self.server, self.client, "client", SERVER)

    def deliver(self, sender, receiver, name: str, source) -> None:
        for datagram, _ in sender.datagrams_to_send(now=self.now):
            receiver.receive_datagram(datagram, source, now=self.now)
        event = receiver.next_event()
        while event is not None:
            self.events[name].append(event)
            if isinstance(event, ProtocolNegotiated):
                incarnation = 42 if name == "server" else 0
                self.h3[name] = GoawayH3Connection(receiver, incarnation=incarnation)
            if name in self.h3:
                self.events[name] += self.h3[name].handle_event(event)
            event = receiver.next_event()


@pytest.fixture
def pair(tmp_path):
    pair = ConnectionPair(tmp_path)
    pair.exchange()
    return pair


class TestConnectionIds:
    def test_server_uses_only_issued_connection_ids(self, pair):
        assert any(isinstance(e, HandshakeCompleted) for e in pair.events["client"])
        assert get_server_initial_id(pair.client) == pair.issued[0]
        assert get_server_connection_id(pair.client) in pair.issued
        assert {item.cid for item in pair.server._host_cids} <= set(pair.issued)
        assert len(pair.issued) > 1

    def test_client_ignores_a_second_server_that_answers_its_initial(self, tmp_path):
        pair = ConnectionPair(tmp_path)
        second_server = pair.accept()
        for datagram, _ in pair.client.datagrams_to_send(now=0.0):
            pair.server.receive_datagram(datagram, CLIENT, now=0.0)
            second_server.receive_datagram(datagram, CLIENT, now=0.0)
        for server in (pair.server, second_server):
            for datagram, _ in server.datagrams_to_send(now=0.0):
                pair.client.receive_datagram(datagram, SERVER, now=0.0)
        pair.exchange()
        assert any(isinstance(e, HandshakeCompleted) for e in pair.events["client"])
        assert not second_server._handshake_complete

    def test_server_offers_no_zero_rtt(self, pair):
        assert pair.server._session_ticket_handler is None
        completed = [
            event
            for event in pair.events["server"]
            if isinstance(event, HandshakeCompleted)
        ]
        assert not completed[0].early_data_accepted


class TestAmplification:
    def test_server_sends_at_most_three_times_the_bytes_of_an_unvalidated_address(
        self, tmp_path
    ):
        pair = ConnectionPair(tmp_path)
        received = sent = 0
        datagrams = pair.client.datagrams_to_send(now=0.0)
        for datagram, _ in datagrams[:1]:
            received += len(datagram)
            pair.server.receive_datagram(datagram, CLIENT, now=0.0)
        for step in range(60):
            now = step * 0.2
            timer = pair.server.get_timer()
            if timer is not None and timer <= now:
                pair.server.handle_timer(now=now)
            sent += sum(len(d) for d, _ in pair.server.datagrams_to_send(now=now))
        assert 0 < sent <= 3 * received


class TestStatelessReset:
    def test_client_recognises_a_reset_of_its_connection(self, pair):
        token = derive_reset_token(SECRET, get_server_connection_id(pair.client))
        reset = build_stateless_reset(token, 100)
        assert pair.client.is_stateless_reset(reset)

    @given(st.binary(max_size=60))
    def test_only_datagrams_that_end_with_the_token_are_resets(self, datagram):
        quic = CallerQuicConnection(configuration=QuicConfiguration(is_client=True))
        quic._peer_cid.stateless_reset_token = b"t" * 16
        assert quic.is_stateless_reset(datagram) == (
            len(datagram) >= 21
            and not datagram[0] & 0x80
            and datagram.endswith(b"t" * 16)
        )

    @given(st.integers(0, 1500))
    def test_reset_is_smaller_than_the_packet_it_answers(self, size):
        reset = build_stateless_reset(b"t" * 16, size)
        assert reset is None or 21 <= len(reset) < size


class TestHttp3:
    def test_client_receives_the_incarnation_in_settings(self, pair):
        assert pair.h3["client"].peer_incarnation == 42

    def test_client_reports_a_goaway(self, pair):
        assert not pair.h3["client"].goaway_received
        pair.h3["server"].send_goaway(0)
        pair.exchange()
        assert pair.h3["client"].goaway_received

    def test_pending_bytes_are_zero_after_the_data_is_acknowledged(self, pair):
        stream_id = pair.client.get_next_available_stream_id()
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"https"),
            (b":authority", SERVER_NAME.encode()),
            (b":path", b"/"),
        ]
        pair.h3["client"].send_headers(stream_id, headers)
        pair.h3["client"].send_data(stream_id, b"x" * 500_000, end_stream=True)
        assert count_pending_bytes(pair.client, stream_id) > 400_000
        pair.exchange(rounds=400)
        assert count_pending_bytes(pair.client, stream_id) == 0
        assert any(isinstance(e, HeadersReceived) for e in pair.events["server"])

    def test_pending_bytes_of_an_unknown_stream_are_zero(self):
        quic = QuicConnection(configuration=QuicConfiguration(is_client=True))
        assert count_pending_bytes(quic, 0) == 0
