"""Argument types and arguments that several subcommands share."""

import argparse

from plantainyoke.network import (
    Address,
    parse_address,
)


def address_argument(text: str) -> Address:
    """Parse ``host:port`` for argparse.

    Raises
    ------
    argparse.ArgumentTypeError
        If the text is not an address.
    """
    try:
        return parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def positive_seconds(text: str) -> float:
    """Parse a positive, finite number of seconds for argparse.

    Raises
    ------
    argparse.ArgumentTypeError
        If the text is not such a number.
    """
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.0 < value < float("inf"):
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a positive, finite number of seconds"
        )
    return value


def add_caller_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the service address and the TLS arguments of a caller's session."""
    parser.add_argument(
        "address", type=address_argument, help="service address, such as 192.0.2.1:443"
    )
    parser.add_argument(
        "--server-name", required=True, help="name in the service's certificate"
    )
    parser.add_argument(
        "--ca", required=True, metavar="FILE", help="PEM file of trusted certificates"
    )
