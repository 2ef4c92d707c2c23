"""``plantainyokectl explain``: print the reason of one decision of a process."""

import argparse

from plantainyoke.cli.queries._query import add_control_argument, query_process


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain",
        help="explain a routing decision or the outcome of a request",
        description="Query a process of the packet path for the state of a flow, a "
        "QUIC balancer for the agent of a connection ID and the reason, or a QUIC "
        "agent for the record of an idempotency key.",
    )
    add_control_argument(parser)
    parser.add_argument("--service", default="", help="service name (balancer)")
    subject = parser.add_mutually_exclusive_group(required=True)
    subject.add_argument(
        "--connection-id", default="", metavar="HEX", help="connection ID of a flow"
    )
    subject.add_argument(
        "--flow",
        default="",
        metavar="CALLER:PORT>SERVICE:PORT",
        help="flow as written in the logs",
    )
    subject.add_argument("--key", default="", help="idempotency key (agent)")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the explanation."""
    parameters = {
        "service": options.service,
        "connection_id": options.connection_id,
        "key": options.key,
        "flow": options.flow,
    }
    return query_process(options.control, "explain", parameters)
