"""The ``plantainyoked`` program.

``plantainyoked balancer`` and ``plantainyoked agent`` run the packet path,
``plantainyoked --settings FILE`` the QUIC path. Only the modules of the chosen path
are imported: a restart is an outage of the host it happens on.
"""

import signal
import sys

PACKET_ROLES = ("balancer", "agent")


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    # A changed settings file is read by a program that starts anyway; without this
    # the signal would end it until its own handler stands.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    words = sys.argv[1:] if arguments is None else arguments
    if words[:1] and words[0] in PACKET_ROLES:
        from plantainyoke.cli.packet_daemon import main as run
    else:
        from plantainyoke.cli.quic_daemon import main as run
    return run(words)


if __name__ == "__main__":
    sys.exit(main())
