"""The ``plantainyoked`` program.

``plantainyoked balancer`` and ``plantainyoked agent`` run the packet path,
``plantainyoked --settings FILE`` the QUIC path. Only the modules of the chosen path
are imported, because the host's balancer or agent is unavailable during a restart
and imports lengthen it.
"""

import gc
import signal
import sys

PACKET_ROLES = ("balancer", "agent")


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    # The default action of SIGHUP would terminate a process that has not installed its
    # handler yet. A starting process can ignore the signal, because it reads the
    # changed settings file anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    command_line = sys.argv[1:] if arguments is None else arguments
    if command_line[:1] and command_line[0] in PACKET_ROLES:
        # Collections during the imports find nothing and lengthen the start by a tenth.
        gc.disable()
        from plantainyoke.cli.packet_daemon import main as run
    else:
        from plantainyoke.cli.quic_daemon import main as run
    return run(command_line)


if __name__ == "__main__":
    sys.exit(main())
