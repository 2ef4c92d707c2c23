"""``plantainyokectl request``: send one request to a service as a caller."""

import argparse
import sys
from pathlib import Path

import uvloop

from plantainyoke.caller import CallerError, Session, SessionOptions
from plantainyoke.cli._arguments import add_caller_arguments, positive_seconds
from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "request",
        help="send one request to a service",
        description="Send one request and write the body of the complete answer to "
        "standard output. If the request fails, the last line on standard error says "
        "whether it ran.",
    )
    add_caller_arguments(parser)
    parser.add_argument("method")
    parser.add_argument("path")
    body = parser.add_mutually_exclusive_group()
    body.add_argument("--body", default="", help="text of the body")
    body.add_argument("--body-file", type=Path, metavar="FILE")
    parser.add_argument("--key", help="idempotency key; a random one by default")
    parser.add_argument(
        "--timeout", type=positive_seconds, default=10.0, metavar="SECONDS"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Send the request and print its answer."""
    try:
        body = options.body.encode()
        if options.body_file is not None:
            body = options.body_file.read_bytes()
        answer = uvloop.run(_send(options, body))
    except CallerError as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    except OSError as error:
        print(f"{error.filename or options.ca}: {error.strerror}", file=sys.stderr)
        return EXIT_FAILURE
    sys.stdout.buffer.write(answer.body)
    sys.stdout.buffer.flush()
    print(f"status {answer.status}", file=sys.stderr)
    return EXIT_SUCCESS if answer.status < 400 else EXIT_FAILURE


async def _send(options: argparse.Namespace, body: bytes):
    session_options = SessionOptions(options.server_name, options.ca)
    async with Session(options.address, session_options) as session:
        return await session.request(
            options.method.upper(),
            options.path,
            body=body,
            key=options.key,
            timeout_s=options.timeout,
        )
