"""Start of the packet path's programs, which callers wait for after a power loss."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from plantainyoke.cli._exit import EXIT_FAILURE

START_SCRIPT = Path(__file__).parents[3] / "deploy" / "plantainyoked.py"
# Each of these lengthens the start of a small host by a hundredth of a second or more.
DEFERRED_MODULES = {"aiohttp", "argparse", "pydantic", "runpy", "yaml"}
LIST_MODULES = """
import sys
import plantainyoke.cli.packet_daemon
import plantainyoke.{package}
print(*sys.modules)
"""


class TestImports:
    @pytest.mark.parametrize("package", ["packet_agent", "packet_balancer"])
    def test_program_imports_no_module_that_it_does_not_use(self, package):
        # The environment of the tests is on the path without the site module.
        search_path = os.pathsep.join(path for path in sys.path if path)
        output = subprocess.run(
            [sys.executable, "-S", "-c", LIST_MODULES.format(package=package)],
            env={"PYTHONPATH": search_path},
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        assert DEFERRED_MODULES.isdisjoint(output.split())


class TestStartScript:
    @pytest.mark.parametrize("role", ["agent", "balancer"])
    def test_starts_the_program_from_any_directory(self, tmp_path, role):
        finished = subprocess.run(
            [sys.executable, START_SCRIPT, role],
            cwd=tmp_path,
            env={**os.environ, "PLANTAINYOKE_CONFIG": str(tmp_path / "missing.toml")},
            capture_output=True,
            text=True,
        )
        assert finished.returncode == EXIT_FAILURE
        assert "event=settings_unusable" in finished.stdout
