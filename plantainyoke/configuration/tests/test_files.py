from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from plantainyoke.configuration import load_fleet, load_settings

FLEET = """
generation: 3
zones: {plateau: in, rufisque: out}
networks: [10.0.0.0/8]
"""
ORDERS = """
service: orders
address: 192.0.2.1:443
slots: 4
targets:
  - {agent: "10.0.0.1:7000", zone: plateau}
  - {agent: "10.0.0.2:7000", zone: rufisque}
"""
KEYS = """
peer: ["00112233445566778899aabbccddeeff"]
routing: [{rotation: 0, secret: "0f1e2d3c4b5a69788796a5b4c3d2e1f0"}]
"""
SETTINGS = """
name: balancer-1
role: balancer
zone: plateau
listen: 10.0.1.1:7000
platform: http://10.0.2.1:8500
keys: keys.yaml
"""


def _write_files(directory: Path, **files: str) -> Path:
    for name, content in files.items():
        (directory / f"{name}.yaml").write_text(content)
    return directory


class TestLoadFleet:
    def test_valid_files_are_loaded(self, tmp_path):
        fleet, services = load_fleet(
            _write_files(tmp_path, fleet=FLEET, orders=ORDERS)
        ).unwrap()
        assert fleet.generation == 3
        assert [service.service for service in services] == ["orders"]

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("slots: 4", "slot: 4", "orders.yaml: slot: Extra inputs"),
            ("slots: 4", "slots: four", "orders.yaml: slots: Input should be a valid"),
            ("slots: 4", "slots: 0", "orders.yaml: slots: Input should be greater"),
            ("192.0.2.1:443", "192.0.2.1", "orders.yaml: address: Value error"),
            ("192.0.2.1:443", "192.0.2.300:1", "orders.yaml: address: Value error"),
            ("zone: plateau", "zone: mars", "targets.0.zone: unknown availability"),
            ("10.0.0.2", "10.0.0.1", "target 10.0.0.1:7000 is also in"),
            ("10.0.0.2", "172.16.0.1", "is outside the networks"),
            ("targets:", "targets: [", "orders.yaml: line"),
            ("slots: 4", "slots: 4\nslots: 5", "key 'slots' appears twice"),
            ("slots: 4", "slots: 4\ncold_slots: 9", "cold_slots: is above slots"),
        ],
    )
    def test_error_names_the_file_and_the_location(self, tmp_path, old, new, expected):
        orders = ORDERS.replace(old, new)
        failure = load_fleet(
            _write_files(tmp_path, fleet=FLEET, orders=orders)
        ).failure()
        lines = str(failure).splitlines()
        assert any(expected in line for line in lines), lines

    def test_errors_of_all_files_are_reported_at_once(self, tmp_path):
        orders = ORDERS.replace("slots: 4", "slots: x").replace("192.0.2.1:", "here:")
        drawings = ORDERS.replace("orders", "drawings").replace("plateau", "mars")
        fleet = FLEET.replace("generation: 3", "generation: -1")
        directory = _write_files(
            tmp_path, fleet=fleet, orders=orders, drawings=drawings
        )
        problems = load_fleet(directory).failure().problems
        assert {(problem.source, problem.location) for problem in problems} >= {
            ("orders.yaml", "slots"),
            ("orders.yaml", "address"),
            ("fleet.yaml", "generation"),
        }

    def test_target_of_two_services_is_an_error(self, tmp_path):
        drawings = ORDERS.replace("orders", "drawings").replace(
            "192.0.2.1", "192.0.2.2"
        )
        directory = _write_files(
            tmp_path, fleet=FLEET, orders=ORDERS, drawings=drawings
        )
        assert "is also in drawings.yaml" in str(load_fleet(directory).failure())

    def test_missing_directory_or_fleet_file_is_an_error(self, tmp_path):
        assert "not a directory" in str(load_fleet(tmp_path / "none").failure())
        assert "fleet.yaml" in str(load_fleet(tmp_path).failure())

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_give_an_error_and_no_exception(
        self, tmp_path_factory, content
    ):
        directory = tmp_path_factory.mktemp("fleet")
        (directory / "fleet.yaml").write_text(FLEET)
        (directory / "service.yaml").write_bytes(content)
        assert isinstance(load_fleet(directory), Failure)


class TestLoadSettings:
    def test_key_file_is_found_relative_to_the_settings_file(self, tmp_path):
        _write_files(tmp_path, settings=SETTINGS, keys=KEYS)
        settings = load_settings(tmp_path / "settings.yaml").unwrap()
        assert settings.keys.routing_keys[0].rotation == 0

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("role: balancer", "role: agent", "needs the section 'agent'"),
            ("http://", "ftp://", "must start with http"),
            ("listen: 10.0.1.1:7000", "listen: 7000", "listen"),
            ("zone: plateau", "zone: Plateau!", "zone"),
        ],
    )
    def test_error_names_the_setting_or_the_rule(self, tmp_path, old, new, expected):
        _write_files(tmp_path, settings=SETTINGS.replace(old, new), keys=KEYS)
        failure = load_settings(tmp_path / "settings.yaml").failure()
        assert expected in str(failure)

    def test_error_in_the_key_file_names_that_file(self, tmp_path):
        keys = KEYS.replace("0f1e2d3c4b5a69788796a5b4c3d2e1f0", "short")
        _write_files(tmp_path, settings=SETTINGS, keys=keys)
        failure = load_settings(tmp_path / "settings.yaml").failure()
        assert "keys.yaml: routing.0.secret" in str(failure)
