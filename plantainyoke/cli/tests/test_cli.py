"""Exit codes and output of both programs, called in the process of the test."""

import json
import re

import pytest

from plantainyoke import __version__
from plantainyoke.cli import run_control, run_daemon
from plantainyoke.configuration import parse_index

FLEET = """
generation: {generation}
zones: {{plateau: in}}
networks: [10.0.0.0/8]
"""
ORDERS = """
service: orders
address: 192.0.2.1:443
slots: 4
targets: [{agent: "10.0.0.1:7000", zone: plateau}]
"""


@pytest.fixture
def services(tmp_path):
    directory = tmp_path / "services"
    directory.mkdir()
    (directory / "fleet.yaml").write_text(FLEET.format(generation=1))
    (directory / "orders.yaml").write_text(ORDERS)
    return directory


class TestUsage:
    @pytest.mark.parametrize("program", [run_control, run_daemon])
    def test_version_is_printed(self, program, capsys):
        with pytest.raises(SystemExit) as exit_info:
            program(["--version"])
        assert exit_info.value.code == 0
        assert capsys.readouterr().out.strip() == __version__

    @pytest.mark.parametrize(
        ("program", "arguments"),
        [
            (run_control, []),
            (run_control, ["unknown"]),
            (run_control, ["build", "x"]),
            (run_control, ["status", "--control", "nowhere"]),
            (run_control, ["explain", "--control", "127.0.0.1:1"]),
            (run_daemon, []),
        ],
    )
    def test_wrong_usage_exits_2(self, program, arguments, capsys):
        with pytest.raises(SystemExit) as exit_info:
            program(arguments)
        assert exit_info.value.code == 2
        assert "usage:" in capsys.readouterr().err

    def test_every_subcommand_has_help(self, capsys):
        names = ("check", "build", "keys", "request", "watch", "status", "explain")
        for name in (*names, "demo", "demo-quic"):
            with pytest.raises(SystemExit) as exit_info:
                run_control([name, "--help"])
            assert exit_info.value.code == 0
            assert len(capsys.readouterr().out.splitlines()) > 5


class TestCheck:
    def test_valid_folder_prints_a_summary(self, services, capsys):
        assert run_control(["check", str(services)]) == 0
        assert "1 services, 1 targets" in capsys.readouterr().out

    def test_each_problem_is_printed_on_one_line(self, services, capsys):
        (services / "orders.yaml").write_text(ORDERS.replace("slots: 4", "slot: 4"))
        assert run_control(["check", str(services)]) == 1
        errors = capsys.readouterr().err.splitlines()
        assert errors[0].startswith("orders.yaml: slots: Field required")
        assert errors[1].startswith("orders.yaml: slot: Extra inputs")
        assert not any("Traceback" in line for line in errors)


class TestBuild:
    def _build(self, services, out, *previous):
        arguments = ["build", str(services), "--out", str(out)]
        for directory in previous:
            arguments += ["--previous", str(directory)]
        return run_control(arguments)

    def test_generation_not_above_the_previous_is_rejected(
        self, services, tmp_path, capsys
    ):
        first, second = tmp_path / "first", tmp_path / "second"
        assert self._build(services, first) == 0
        index = parse_index((first / "index.json").read_bytes()).unwrap()
        assert index.generation == 1
        assert {path.stem for path in (first / "chunks").iterdir()} == set(index.chunks)
        assert self._build(services, second, first) == 1
        assert "does not rise" in capsys.readouterr().err
        assert not second.exists()
        (services / "fleet.yaml").write_text(FLEET.format(generation=2))
        assert self._build(services, second, first) == 0

    def test_missing_previous_build_fails(self, services, tmp_path, capsys):
        assert self._build(services, tmp_path / "out", tmp_path / "none") == 1
        assert "No such file" in capsys.readouterr().err


class TestKeys:
    def test_rotation_in_three_steps(self, tmp_path, capsys):
        path = tmp_path / "keys.yaml"

        def step(name: str) -> str:
            assert run_control(["keys", name, str(path)]) == 0
            path.write_text(capsys.readouterr().out)
            return path.read_text()

        first = step("new")
        staged = step("stage")
        promoted = step("promote")
        dropped = step("drop")
        keys = [re.findall(r"[0-9a-f]{32,}", text) for text in (first, staged)]
        assert keys[1][0] == keys[0][0]
        assert re.findall(r"rotation: (\d)", staged) == ["0", "1"]
        assert re.findall(r"rotation: (\d)", promoted) == ["1", "0"]
        assert re.findall(r"rotation: (\d)", dropped) == ["1"]

    def test_step_without_the_required_keys_fails(self, tmp_path, capsys):
        path = tmp_path / "keys.yaml"
        run_control(["keys", "new"])
        path.write_text(capsys.readouterr().out)
        assert run_control(["keys", "drop", str(path)]) == 1
        assert "holds no staged key" in capsys.readouterr().err
        assert run_control(["keys", "stage"]) == 1


class TestQueries:
    def test_unreachable_process_fails(self, capsys):
        assert run_control(["status", "--control", "127.0.0.1:1"]) == 1
        assert "127.0.0.1:1 does not answer" in capsys.readouterr().err


class TestDaemon:
    def test_check_reports_valid_settings_and_missing_section_fails(
        self, tmp_path, capsys
    ):
        path = tmp_path / "settings.yaml"
        settings = {
            "name": "balancer-1",
            "role": "balancer",
            "zone": "plateau",
            "listen": "10.0.1.1:7000",
            "platform": "http://10.0.2.1:8500",
            "keys": {
                "peer": ["00" * 16],
                "routing": [{"rotation": 0, "secret": "00" * 16}],
            },
        }
        path.write_text(json.dumps(settings))
        assert run_daemon(["--settings", str(path), "--check"]) == 0
        assert "valid settings of balancer" in capsys.readouterr().out
        path.write_text(json.dumps({**settings, "role": "agent"}))
        assert run_daemon(["--settings", str(path)]) == 1
        assert "needs the section 'agent'" in capsys.readouterr().err

    def test_missing_settings_file_fails(self, tmp_path, capsys):
        assert run_daemon(["--settings", str(tmp_path / "none.yaml")]) == 1
        assert "No such file" in capsys.readouterr().err


class TestCheckProcessSettings:
    def test_valid_file_prints_a_summary(self, tmp_path, capsys):
        path = tmp_path / "boot.toml"
        path.write_text(
            'nodeName = "front-1"\nmachineClass = "frontend"\nip = "10.1.0.1"\n'
            'zone = "a"\ninternalPorts = [7720, 7735]\n[listen]\n'
            'packetAddr = "10.1.0.1:8172"\nready = "10.1.0.1:8167"\n[platform]\n'
            'address = "10.9.0.1:8169"\n'
        )
        assert run_control(["check", str(path)]) == 0
        assert "balancer front-1" in capsys.readouterr().out

    def test_incomplete_file_fails_and_is_named(self, tmp_path, capsys):
        path = tmp_path / "boot.toml"
        path.write_text('nodeName = "front-1"\n')
        assert run_control(["check", str(path)]) == 1
        assert "boot.toml" in capsys.readouterr().err
