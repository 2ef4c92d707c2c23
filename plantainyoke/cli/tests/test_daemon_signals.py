"""Signals that arrive while a process of the packet path starts."""

import errno
import os
import signal
import subprocess
import sys
import time

import pytest

from plantainyoke.cli._exit import EXIT_FAILURE

START_TIMEOUT_S = 10.0


def _open_for_writing(path) -> int:
    """Return the write end of a FIFO once the process has opened it for reading."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO or time.monotonic() > deadline:
                raise
            time.sleep(0.005)


class TestReloadWhileStarting:
    @pytest.mark.parametrize("role", ["balancer", "agent"])
    def test_sighup_before_the_handler_does_not_terminate_the_process(
        self, tmp_path, role
    ):
        # The default action of SIGHUP would terminate a process that still reads its
        # settings and has no handler. The FIFO keeps the process in that phase.
        path = tmp_path / "boot.toml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "plantainyoke.cli.daemon", role],
            env={**os.environ, "PLANTAINYOKE_CONFIG": str(path)},
            stdout=subprocess.PIPE,
        )
        write_end = _open_for_writing(path)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        os.write(write_end, b"not settings")
        os.close(write_end)
        output, _ = process.communicate(timeout=START_TIMEOUT_S)
        assert process.returncode == EXIT_FAILURE
        assert b"settings_unusable" in output
