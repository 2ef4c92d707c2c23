"""Signals that come while a program of the packet path starts."""

import errno
import os
import signal
import subprocess
import sys
import time

import pytest

from plantainyoke.cli._exit import EXIT_FAILURE

START_S = 10.0


def _open_for_writing(path) -> int:
    """Wait until the program reads its settings, and return the other end."""
    until = time.monotonic() + START_S
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO or time.monotonic() > until:
                raise
            time.sleep(0.005)


class TestReloadWhileStarting:
    @pytest.mark.parametrize("role", ["balancer", "agent"])
    def test_does_not_end_the_program(self, tmp_path, role):
        path = tmp_path / "boot.toml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "plantainyoke.cli.daemon", role],
            env={**os.environ, "PLANTAINYOKE_CONFIG": str(path)},
            stdout=subprocess.PIPE,
        )
        settings = _open_for_writing(path)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        os.write(settings, b"not settings")
        os.close(settings)
        output, _ = process.communicate(timeout=START_S)
        assert process.returncode == EXIT_FAILURE
        assert b"settings_unusable" in output
