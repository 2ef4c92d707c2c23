"""HTTP queries to the control address of a running process."""

import http.client
import json
import sys
import urllib.parse
import urllib.request

from plantainyoke.cli._arguments import address_argument
from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.network import (
    Address,
    format_address,
)

QUERY_TIMEOUT_S = 3.0


class QueryError(Exception):
    """A process does not answer a query, or not with JSON."""


def add_control_argument(parser) -> None:
    """Add ``--control``, the address of the process to query."""
    parser.add_argument(
        "--control",
        required=True,
        type=address_argument,
        metavar="HOST:PORT",
        help="control address from the process's settings",
    )


def query_process(control: Address, query: str, parameters: dict[str, str]) -> int:
    """Query a process, print its answer as JSON and return the exit code.

    Parameters
    ----------
    control : Address
        Control address of the process.
    query : str
        Name of the query, ``status`` or ``explain``.
    parameters : dict of str to str
        Parameters of the query.

    Returns
    -------
    int
        ``EXIT_FAILURE`` if the process does not answer or answers with an error.
    """
    try:
        answer = json.loads(fetch_answer(control, query, parameters))
    except QueryError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILURE
    except ValueError as error:
        print(f"{format_address(control)} does not answer: {error}", file=sys.stderr)
        return EXIT_FAILURE
    print(json.dumps(answer, indent=2))
    return EXIT_FAILURE if "error" in answer else EXIT_SUCCESS


def fetch_answer(control: Address, query: str, parameters: dict[str, str]) -> bytes:
    """Return the answer of a process to a query.

    Raises
    ------
    QueryError
        If it does not answer in time.
    """
    encoded = urllib.parse.urlencode(parameters)
    url = f"http://{format_address(control)}/{query}?{encoded}"
    try:
        with urllib.request.urlopen(url, timeout=QUERY_TIMEOUT_S) as response:
            return response.read()
    except (OSError, http.client.HTTPException) as error:
        reason = getattr(error, "reason", error)
        text = f"{format_address(control)} does not answer: {reason}"
        raise QueryError(text) from error
