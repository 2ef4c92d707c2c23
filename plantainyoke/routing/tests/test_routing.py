import os

from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.hashing import (
    rank_by_rendezvous,
)
from plantainyoke.routing import (
    CONNECTION_ID_SIZE,
    CandidateTable,
    ConnectionIdCodec,
    ConnectionTarget,
    InitialPacket,
    RoutablePacket,
    RoutingKey,
    UnroutablePacket,
    parse_packet,
)

OLD_KEY, NEW_KEY = RoutingKey(0, b"a" * 16), RoutingKey(1, b"b" * 16)
targets = st.builds(
    ConnectionTarget,
    st.integers(0, 2**48 - 1),
    st.integers(0, 2**16 - 1),
    st.integers(0, 2**32 - 1),
)


class TestConnectionIdCodec:
    @given(targets)
    def test_issued_id_decodes_to_its_target(self, target):
        codec = ConnectionIdCodec([OLD_KEY])
        connection_id = codec.issue_connection_id(target)
        assert len(connection_id) == CONNECTION_ID_SIZE
        assert codec.decode(connection_id) == target

    def test_issued_ids_of_one_target_differ(self):
        codec = ConnectionIdCodec([OLD_KEY])
        target = ConnectionTarget(1, 2, 3)
        assert len({codec.issue_connection_id(target) for _ in range(100)}) == 100

    def test_id_of_an_old_key_decodes_while_the_key_is_kept(self):
        target = ConnectionTarget(1, 2, 3)
        issued = ConnectionIdCodec([OLD_KEY]).issue_connection_id(target)
        assert ConnectionIdCodec([NEW_KEY, OLD_KEY]).decode(issued) == target
        assert ConnectionIdCodec([NEW_KEY]).decode(issued) is None

    @given(st.binary(max_size=25))
    def test_any_bytes_decode_to_none_or_a_target(self, connection_id):
        decoded = ConnectionIdCodec([OLD_KEY]).decode(connection_id)
        assert decoded is None or isinstance(decoded, ConnectionTarget)


class TestParsePacket:
    @given(st.binary(max_size=2000))
    def test_any_bytes_are_classified(self, datagram):
        packet = parse_packet(datagram)
        assert isinstance(packet, InitialPacket | RoutablePacket | UnroutablePacket)

    @given(st.binary(min_size=8, max_size=20), st.binary(max_size=200))
    def test_initial_is_parsed_with_its_token(self, connection_id, token):
        header = b"\xc0\x00\x00\x00\x01" + bytes([len(connection_id)]) + connection_id
        length = (0x4000 | len(token)).to_bytes(2, "big")
        datagram = (header + b"\x00" + length + token).ljust(1200, b"\0")
        assert parse_packet(datagram) == InitialPacket(connection_id, token)

    def test_zero_rtt_is_unroutable(self):
        datagram = (b"\xd0\x00\x00\x00\x01\x08" + os.urandom(8)).ljust(1200, b"\0")
        assert parse_packet(datagram) == UnroutablePacket("zero_rtt")

    def test_small_initial_is_unroutable(self):
        datagram = (b"\xc0\x00\x00\x00\x01\x08" + os.urandom(8)).ljust(1199, b"\0")
        assert parse_packet(datagram) == UnroutablePacket("small_initial")


class TestCandidateTable:
    @given(st.sets(st.integers(0, 2**48 - 1), min_size=1, max_size=40), st.binary())
    def test_candidates_are_independent_of_the_order_of_agents(self, agents, key):
        first = CandidateTable(sorted(agents))
        second = CandidateTable(sorted(agents, reverse=True))
        chosen = first.find_candidates(key)
        assert chosen == second.find_candidates(key)
        assert len(set(chosen)) == len(chosen)
        assert set(chosen) <= agents

    def test_keys_spread_evenly_over_agents(self):
        agents = [number << 16 | 7000 for number in range(7)]
        table = CandidateTable(agents)
        counts = dict.fromkeys(agents, 0)
        for number in range(14_000):
            counts[table.find_candidates(number.to_bytes(8, "big"))[0]] += 1
        assert max(counts.values()) / 2_000 <= 1.25

    def test_removing_one_agent_moves_few_flows(self):
        agents = [number << 16 | 7000 for number in range(10)]
        before, after = CandidateTable(agents), CandidateTable(agents[:-1])
        keys = [number.to_bytes(8, "big") for number in range(2_000)]
        moved = sum(
            before.find_candidates(key)[0] != after.find_candidates(key)[0]
            for key in keys
        )
        assert moved / len(keys) <= 0.3

    def test_empty_table_has_no_candidates(self):
        assert CandidateTable([]).find_candidates(b"key") == []


class TestRendezvous:
    @given(st.sets(st.binary(min_size=1, max_size=6), min_size=2), st.binary())
    def test_removing_a_member_keeps_the_order_of_the_others(self, members, key):
        ranked = rank_by_rendezvous(key, members)
        removed = ranked[len(ranked) // 2]
        remaining = rank_by_rendezvous(key, members - {removed})
        assert remaining == [member for member in ranked if member != removed]
