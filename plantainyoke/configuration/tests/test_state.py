from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from plantainyoke.configuration import (
    ConfigurationState,
    FleetFile,
    ServiceFile,
    StaleGenerationError,
    build_documents,
    compute_digest,
    parse_index,
)
from plantainyoke.hashing import (
    service_identifier,
    zone_identifier,
)

ZONES = ("plateau", "rufisque")


def build(generation: int, *, services: int = 3, slots: int = 4, out=()):
    fleet = {
        "generation": generation,
        "zones": {zone: "out" if zone in out else "in" for zone in ZONES},
        "networks": ["10.0.0.0/8"],
    }
    files = [
        {
            "service": f"service-{number}",
            "address": f"192.0.2.{number + 1}:443",
            "slots": slots if number == 0 else 4,
            "targets": [
                {"agent": f"10.0.{number}.{index + 1}:7000", "zone": ZONES[index]}
                for index in range(2)
            ],
        }
        for number in range(services)
    ]
    return build_documents(
        FleetFile.model_validate(fleet),
        [ServiceFile.model_validate(item) for item in files],
    ).unwrap()


BUILDS = [
    build(1),
    build(2, slots=5),
    build(3, out=("plateau",)),
    build(3, out=("rufisque",)),
    build(4, services=2),
    build(5, services=4, slots=6),
]
LATEST = max(
    BUILDS,
    key=lambda item: (
        parse_index(item.index_document).unwrap().generation,
        compute_digest(item.index_document),
    ),
)


def _apply_built(state: ConfigurationState, built, *, damage: str = "") -> None:
    checked = state.check_index(built.index_document)
    pending = checked.unwrap()
    if pending is None:
        return
    chunk_documents = {
        digest: built.chunk_documents[digest] for digest in pending.missing_digests
    }
    if damage == "missing":
        chunk_documents.clear()
    elif damage == "corrupt":
        chunk_documents = {
            digest: body + b" " for digest, body in chunk_documents.items()
        }
    state.apply(pending, chunk_documents)


steps = st.lists(
    st.tuples(
        st.integers(0, len(BUILDS) - 1), st.sampled_from(["", "missing", "corrupt"])
    ),
    max_size=20,
)


class TestConfigurationState:
    @given(steps)
    def test_never_reverts_and_applies_whole_generations_or_nothing(self, schedule):
        state = ConfigurationState()
        seen = [state.snapshot.version]
        state.listeners.append(lambda snapshot: seen.append(snapshot.version))
        for number, damage in schedule:
            _apply_built(state, BUILDS[number], damage=damage)
            if state.snapshot.generation:
                self.check_matches_its_build(state)
        assert seen == sorted(set(seen))

    @given(st.permutations(range(len(BUILDS))), st.permutations(range(len(BUILDS))))
    def test_every_order_ends_with_the_same_configuration(self, first, second):
        states = ConfigurationState(), ConfigurationState()
        for state, order in zip(states, (first, second), strict=True):
            for number in order:
                _apply_built(state, BUILDS[number])
        assert states[0].snapshot.digest == states[1].snapshot.digest
        assert states[0].snapshot.digest == compute_digest(LATEST.index_document)

    def test_unchanged_services_keep_their_tables(self):
        state = ConfigurationState()
        _apply_built(state, BUILDS[0])
        kept = state.snapshot.services[service_identifier("service-1")]
        _apply_built(state, BUILDS[1])
        assert state.snapshot.services[kept.id] is kept
        assert (
            state.snapshot.services[service_identifier("service-0")].record.slots == 5
        )

    def test_agent_holds_only_its_service(self):
        state = ConfigurationState(service_identifier("service-0"))
        _apply_built(state, BUILDS[0])
        assert service_identifier("service-0") in state.snapshot.services

    @given(st.binary(max_size=300))
    def test_rubbish_is_refused_with_a_type(self, document):
        state = ConfigurationState()
        checked = state.check_index(document)
        assert isinstance(checked, Failure)
        assert state.snapshot.generation == 0

    def check_matches_its_build(self, state):
        snapshot = state.snapshot
        built = next(
            item
            for item in BUILDS
            if compute_digest(item.index_document) == snapshot.digest
        )
        fresh = ConfigurationState()
        _apply_built(fresh, built)
        assert snapshot.zone_by_agent == fresh.snapshot.zone_by_agent
        assert snapshot.zones_out == fresh.snapshot.zones_out
        records = {key: item.record for key, item in snapshot.services.items()}
        assert records == {
            key: item.record for key, item in fresh.snapshot.services.items()
        }


class TestDelta:
    @given(st.integers(0, len(BUILDS) - 1), st.integers(0, len(BUILDS) - 1))
    def test_rebuilds_the_index_to_the_byte(self, first, second):
        receiver, sender = ConfigurationState(), ConfigurationState()
        _apply_built(receiver, BUILDS[first])
        _apply_built(sender, BUILDS[first])
        _apply_built(sender, BUILDS[second])
        delta = sender.encode_delta_from(receiver.snapshot.digest)
        assert receiver.rebuild_index(delta).unwrap() == sender.index_document

    def test_unknown_base_gives_none(self):
        state = ConfigurationState()
        _apply_built(state, BUILDS[0])
        assert state.encode_delta_from("") == b""

    @given(st.integers(0, 400), st.integers(1, 255))
    def test_damaged_delta_is_refused(self, position, change):
        receiver, sender = ConfigurationState(), ConfigurationState()
        for state in (receiver, sender):
            _apply_built(state, BUILDS[0])
        _apply_built(sender, BUILDS[1])
        delta = bytearray(sender.encode_delta_from(receiver.snapshot.digest))
        delta[position % len(delta)] ^= change
        rebuilt = receiver.rebuild_index(bytes(delta))
        if not isinstance(rebuilt, Failure):
            assert rebuilt.unwrap() == sender.index_document

    @given(st.binary(max_size=300))
    def test_rubbish_is_refused(self, delta):
        state = ConfigurationState()
        assert isinstance(state.rebuild_index(delta), Failure)
        _apply_built(state, BUILDS[0])
        assert isinstance(state.rebuild_index(delta), Failure)


class TestBuild:
    def test_generation_must_rise(self):
        previous = parse_index(BUILDS[1].index_document).unwrap()
        fleet = FleetFile.model_validate(
            {"generation": 2, "zones": {"a": "in"}, "networks": ["10.0.0.0/8"]}
        )
        failure = build_documents(fleet, [], previous=previous).failure()
        assert failure == StaleGenerationError(2, 2)

    def test_one_change_changes_one_chunk(self):
        many, changed = build(1, services=200), build(2, services=200, slots=9)
        assert len(set(changed.chunk_documents) - set(many.chunk_documents)) == 1

    def test_zones_out_are_named_by_identifier(self):
        state = ConfigurationState()
        _apply_built(state, BUILDS[2])
        assert state.snapshot.zones_out == {zone_identifier("plateau")}
