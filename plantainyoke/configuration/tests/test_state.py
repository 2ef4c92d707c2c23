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
    compute_service_id,
    compute_zone_id,
)

ZONES = ("plateau", "rufisque")


def build_generation(generation: int, *, services: int = 3, slots: int = 4, out=()):
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
    build_generation(1),
    build_generation(2, slots=5),
    build_generation(3, out=("plateau",)),
    build_generation(3, out=("rufisque",)),
    build_generation(4, services=2),
    build_generation(5, services=4, slots=6),
]
LATEST = max(
    BUILDS,
    key=lambda item: (
        parse_index(item.index_document).unwrap().generation,
        compute_digest(item.index_document),
    ),
)


def _apply_documents(state: ConfigurationState, documents, *, fault: str = "") -> None:
    result = state.check_index(documents.index_document)
    pending = result.unwrap()
    if pending is None:
        return
    chunk_documents = {
        digest: documents.chunk_documents[digest] for digest in pending.missing_digests
    }
    if fault == "missing":
        chunk_documents.clear()
    elif fault == "corrupt":
        chunk_documents = {
            digest: document + b" " for digest, document in chunk_documents.items()
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
    def test_version_never_decreases_and_generations_apply_completely(self, schedule):
        state = ConfigurationState()
        versions = [state.snapshot.version]
        state.listeners.append(lambda snapshot: versions.append(snapshot.version))
        for build_index, fault in schedule:
            _apply_documents(state, BUILDS[build_index], fault=fault)
            if state.snapshot.generation:
                self.check_equals_a_fresh_state(state)
        assert versions == sorted(set(versions))

    @given(st.permutations(range(len(BUILDS))), st.permutations(range(len(BUILDS))))
    def test_any_order_of_indexes_results_in_the_same_configuration(
        self, first, second
    ):
        states = ConfigurationState(), ConfigurationState()
        for state, order in zip(states, (first, second), strict=True):
            for build_index in order:
                _apply_documents(state, BUILDS[build_index])
        assert states[0].snapshot.digest == states[1].snapshot.digest
        assert states[0].snapshot.digest == compute_digest(LATEST.index_document)

    def test_unchanged_service_object_is_kept(self):
        state = ConfigurationState()
        _apply_documents(state, BUILDS[0])
        kept = state.snapshot.services[compute_service_id("service-1")]
        _apply_documents(state, BUILDS[1])
        assert state.snapshot.services[kept.id] is kept
        assert (
            state.snapshot.services[compute_service_id("service-0")].record.slots == 5
        )

    def test_state_for_one_service_applies_the_chunk_of_that_service(self):
        state = ConfigurationState(compute_service_id("service-0"))
        _apply_documents(state, BUILDS[0])
        assert compute_service_id("service-0") in state.snapshot.services

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_as_index_are_refused(self, document):
        state = ConfigurationState()
        result = state.check_index(document)
        assert isinstance(result, Failure)
        assert state.snapshot.generation == 0

    def check_equals_a_fresh_state(self, state):
        snapshot = state.snapshot
        documents = next(
            item
            for item in BUILDS
            if compute_digest(item.index_document) == snapshot.digest
        )
        fresh = ConfigurationState()
        _apply_documents(fresh, documents)
        assert snapshot.zone_by_agent == fresh.snapshot.zone_by_agent
        assert snapshot.zones_out == fresh.snapshot.zones_out
        records = {key: item.record for key, item in snapshot.services.items()}
        assert records == {
            key: item.record for key, item in fresh.snapshot.services.items()
        }


class TestDelta:
    @given(st.integers(0, len(BUILDS) - 1), st.integers(0, len(BUILDS) - 1))
    def test_delta_rebuilds_an_identical_index_document(self, first, second):
        receiver, sender = ConfigurationState(), ConfigurationState()
        _apply_documents(receiver, BUILDS[first])
        _apply_documents(sender, BUILDS[first])
        _apply_documents(sender, BUILDS[second])
        delta = sender.encode_delta_from(receiver.snapshot.digest)
        assert receiver.rebuild_index(delta).unwrap() == sender.index_document

    def test_delta_from_an_unknown_index_is_empty(self):
        state = ConfigurationState()
        _apply_documents(state, BUILDS[0])
        assert state.encode_delta_from("") == b""

    @given(st.integers(0, 400), st.integers(1, 255))
    def test_damaged_delta_is_refused_or_rebuilds_the_same_index(
        self, position, change
    ):
        receiver, sender = ConfigurationState(), ConfigurationState()
        for state in (receiver, sender):
            _apply_documents(state, BUILDS[0])
        _apply_documents(sender, BUILDS[1])
        delta = bytearray(sender.encode_delta_from(receiver.snapshot.digest))
        delta[position % len(delta)] ^= change
        rebuilt = receiver.rebuild_index(bytes(delta))
        if not isinstance(rebuilt, Failure):
            assert rebuilt.unwrap() == sender.index_document

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_as_delta_are_refused(self, delta):
        state = ConfigurationState()
        assert isinstance(state.rebuild_index(delta), Failure)
        _apply_documents(state, BUILDS[0])
        assert isinstance(state.rebuild_index(delta), Failure)


class TestBuild:
    def test_build_fails_unless_the_generation_increases(self):
        previous = parse_index(BUILDS[1].index_document).unwrap()
        fleet = FleetFile.model_validate(
            {"generation": 2, "zones": {"a": "in"}, "networks": ["10.0.0.0/8"]}
        )
        failure = build_documents(fleet, [], previous=previous).failure()
        assert failure == StaleGenerationError(2, 2)

    def test_change_to_one_service_changes_one_chunk(self):
        old, new = (
            build_generation(1, services=200),
            build_generation(2, services=200, slots=9),
        )
        assert len(set(new.chunk_documents) - set(old.chunk_documents)) == 1

    def test_snapshot_contains_the_identifiers_of_zones_out(self):
        state = ConfigurationState()
        _apply_documents(state, BUILDS[2])
        assert state.snapshot.zones_out == {compute_zone_id("plateau")}
