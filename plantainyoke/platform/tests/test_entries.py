import base64
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.catalogue import Catalogue, CatalogueChange, RouteShare
from plantainyoke.catalogue._subscription import CatalogueFrame, encode_catalogue_frame
from plantainyoke.platform._entries import (
    EntryError,
    decode_value,
    parse_configuration,
    parse_target,
    read_configuration,
)

TARGET = {
    "service": "huvo11a",
    "address": "10.1.0.40:8705",
    "zone": "loft",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "sequence": 1,
    "coldLeftMs": 1500,
    "born": 1790622854857,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "198.18.0.1",
            "prefix": "/8443/",
            "type": "safe",
            "timeoutMs": 800,
            "aimMs": 150,
            "priority": 2,
            "trafficSplit": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "maxAttempts": 2,
        },
        {"name": "r-2", "hostname": "198.18.0.2", "prefix": "/80/", "service": "x"},
    ],
    "services": [
        {"name": "huvo11a", "maxConns": 2000, "coldStartS": 2.0, "coldPerS": 7.5}
    ],
    "limits": {"idleTimeoutMs": 12000},
}


def _target(**changes):
    return parse_target("i-1", json.dumps({**TARGET, **changes}).encode())


class TestTargets:
    def test_fields_are_translated(self):
        target = _target()
        assert (target.name, target.service, target.zone) == ("i-1", "huvo11a", "loft")
        assert (target.host, target.port) == (0x0A010028, 8705)
        assert target.cold and not target.draining
        assert target.born_ms == 1790622854857

    def test_draining_state_is_translated(self):
        assert _target(state="draining").draining

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "sleeping"},
            {"address": "nowhere"},
            {"address": 7},
            {"service": None},
            {"slots": "many"},
            {"born": 1.5},
        ],
    )
    def test_malformed_entry_is_rejected(self, changes):
        """Other programs can write keys below the prefix of the targets."""
        with pytest.raises(EntryError):
            _target(**changes)

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_rejected(self, value):
        with pytest.raises(EntryError):
            parse_target("i-1", value)

    @pytest.mark.parametrize("text", ["*", "abc", "YWJj\n", "é"])
    def test_value_that_is_not_base64_is_rejected(self, text):
        with pytest.raises(EntryError):
            decode_value(text)

    def test_base64_value_is_decoded(self):
        assert decode_value(base64.b64encode(b"abc").decode()) == b"abc"


# Values of another writer that are valid JSON, and that a process cannot pass on, hash
# or compute with.
ODD_VALUES = {
    "slots": [2**127, 2**64, 2**63, -1, 0, 1.5, True, None],
    "born": [2**127, 2**63, -1, "now", None],
    "sequence": [2**127, -(2**64), "1"],
    "coldLeftMs": [10**400, "soon", None],
    "service": ["", "x" * 201, 7],
    "zone": ["", "z" * 100_000, None],
    "address": [
        "10.1.0.40:0",
        "10.1.0.40:65536",
        "10.1.0.40:-1",
        "10.1.0.40:" + "9" * 5000,
        "10.1.0.40:\u0663",
        "10.1.0.40:\u00b2",
        "10.1.0.40",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "10.1.0.400:80",
        "host\0:80",
        ":80",
    ],
}


class TestOddEntries:
    @pytest.mark.parametrize(
        "field, value",
        [(name, value) for name, values in ODD_VALUES.items() for value in values],
        ids=lambda value: str(value)[:24],
    )
    def test_value_out_of_range_is_rejected(self, field, value):
        # 128 bits in slots were accepted and could not be sent to other processes,
        # which ended the task that reads the store (review/4).
        with pytest.raises(EntryError):
            _target(**{field: value})

    @pytest.mark.parametrize(
        "value",
        [
            b'{"extra": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
            b'{"slots": 1e400}',
            b'{"slots": ' + b"9" * 5000 + b"}",
            b'{"coldLeftMs": -1e400}',
            b'{"service": "\\ud800"}',
            b'{"service": "\xed\xa0\x80"}',
        ],
        ids=["lists", "objects", "float", "digits", "negative", "escape", "surrogate"],
    )
    def test_value_that_no_decoder_accepts_is_rejected(self, value):
        # Deep nesting and large numbers raise other errors than malformed JSON.
        rest = json.dumps(TARGET).encode()[1:]
        with pytest.raises(EntryError):
            parse_target("i-1", value[:-1] + b", " + rest)

    @pytest.mark.parametrize("field", sorted(TARGET.keys() - {"born"}))
    def test_entry_that_lacks_a_field_is_rejected(self, field):
        # Without slots, version, coldLeftMs and sequence, an entry with the address of
        # a target counted as its restart, and the open flows were reset (review/3).
        document = {name: value for name, value in TARGET.items() if name != field}
        with pytest.raises(EntryError):
            parse_target("i-1", json.dumps(document).encode())

    @pytest.mark.parametrize("name", ["", "n" * 201])
    def test_name_out_of_range_is_rejected(self, name):
        with pytest.raises(EntryError):
            parse_target(name, json.dumps(TARGET).encode())

    @given(
        st.sampled_from(sorted(TARGET)),
        st.one_of(
            st.integers(),
            st.integers(min_value=2**60, max_value=2**70),
            st.floats(allow_nan=False),
            st.text(max_size=300),
            st.none(),
            st.booleans(),
        ),
    )
    def test_accepted_target_can_be_sent_to_other_processes(self, field, value):
        # What a process accepts but cannot pass on ends the task that reads the store.
        try:
            target = _target(**{field: value})
        except EntryError:
            return
        change = CatalogueChange(0, 1, targets=(target,))
        frame = encode_catalogue_frame(CatalogueFrame(0, change))
        assert msgspec.msgpack.decode(frame[4:], type=CatalogueFrame).change == change
        catalogue = Catalogue()
        assert catalogue.apply(change, 0.0)
        assert len(catalogue.rings_by_zone) == 1


class TestConfigurations:
    def test_fields_are_translated(self):
        configuration = parse_configuration(json.dumps(CONFIGURATION).encode())
        split, single = configuration.routes
        assert (split.host, split.port, split.aim_s) == (0xC6120001, 8443, 0.15)
        assert split.shares == (RouteShare("huvo11a", 90), RouteShare("wuno96b", 10))
        assert single.shares == (RouteShare("x", 1),)
        assert configuration.services["huvo11a"].cold_flows_per_s == 7.5
        assert configuration.idle_timeout_s == 12.0

    @pytest.mark.parametrize("prefix", ["/", "/x/", "//"])
    def test_route_without_a_port_is_rejected(self, prefix):
        document = {**CONFIGURATION, "routes": [dict(CONFIGURATION["routes"][1])]}
        document["routes"][0]["prefix"] = prefix
        with pytest.raises(EntryError):
            parse_configuration(json.dumps(document).encode())


class TestOddConfigurations:
    # One invalid part of a version kept all of it from being in force.
    def _read(self, **changes):
        reports = []
        configuration = read_configuration(
            json.dumps({**CONFIGURATION, **changes}).encode(),
            lambda place, error: reports.append(place),
        )
        return configuration, reports

    def test_valid_configuration_is_complete(self):
        configuration, reports = self._read()
        assert configuration == parse_configuration(json.dumps(CONFIGURATION).encode())
        assert not reports

    @pytest.mark.parametrize(
        "route",
        [
            7,
            {"name": "r-9"},
            {"name": "r-9", "hostname": "198.18.0.9", "prefix": "/" + "9" * 5000},
            {"name": "r-9", "hostname": "nowhere", "prefix": "/80/"},
            {"name": "r-9", "hostname": "198.18.0.9", "prefix": "/80/", "aimMs": 1e300},
            {"name": "r-9", "hostname": "x", "prefix": "/80/", "priority": 2**64},
        ],
        ids=lambda route: str(route)[:60],
    )
    def test_invalid_route_is_left_out(self, route):
        configuration, reports = self._read(routes=[*CONFIGURATION["routes"], route])
        assert [one.name for one in configuration.routes] == ["r-1", "r-2"]
        assert configuration.idle_timeout_s == 12.0
        assert reports == ["routes[2]"]

    def test_invalid_service_is_left_out(self):
        odd = {"name": "y", "coldPerS": 1e300}
        configuration, reports = self._read(services=[odd, *CONFIGURATION["services"]])
        assert list(configuration.services) == ["huvo11a"]
        assert reports == ["services[0]"]

    @pytest.mark.parametrize("timeout", [0, -5, 1e300, "soon", None, 2**70])
    def test_invalid_idle_timeout_is_replaced_by_the_default(self, timeout):
        # With a timeout that is not positive, all open flows count as idle.
        configuration, reports = self._read(limits={"idleTimeoutMs": timeout})
        assert configuration.idle_timeout_s == 15.0
        assert len(configuration.routes) == 2
        assert len(reports) == 1

    @pytest.mark.parametrize("version", [2**64, -(2**64), "7", None, 1.5])
    def test_configuration_without_a_version_is_rejected(self, version):
        with pytest.raises(EntryError):
            self._read(version=version)
