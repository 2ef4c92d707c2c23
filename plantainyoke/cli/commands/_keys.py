"""``plantainyokectl keys``: generate the fleet's keys and rotate them.

Each step prints the next key file. A file holds one key of each kind, or two during a
rotation: the first is in use, the second is only accepted.
"""

import argparse
import secrets
import sys
from pathlib import Path

import yaml
from returns.result import Failure

from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.configuration import KeySettings, load_keys

PEER_KEY_BYTES = 32
ROUTING_KEY_BYTES = 16
ROTATION_COUNT = 7


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "keys",
        help="generate and rotate the fleet's keys",
        description="Print a new key file. A rotation takes three roll-outs: stage "
        "adds a second key that is accepted but not used yet, promote puts it into "
        "use, drop removes the old key after its flows have ended.",
    )
    parser.add_argument("step", choices=("new", "stage", "promote", "drop"))
    parser.add_argument(
        "file", nargs="?", type=Path, metavar="FILE", help="the key file in use"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the next key file."""
    if options.step == "new":
        print(_dump([_generate_peer_key()], [_generate_routing_key(0)]))
        return EXIT_SUCCESS
    if options.file is None:
        print(
            f"keys {options.step} requires the path of the key file in use",
            file=sys.stderr,
        )
        return EXIT_FAILURE
    loaded = load_keys(options.file)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_FAILURE
    return _print_step(options.step, loaded.unwrap())


def _print_step(step: str, keys: KeySettings) -> int:
    peer = list(keys.peer)
    routing = [key.model_dump() for key in keys.routing]
    has_staged = len(peer) == 2 and len(routing) == 2
    if (step == "stage") == has_staged:
        problem = "already holds two keys" if has_staged else "holds no staged key"
        print(f"cannot {step}: the file {problem}", file=sys.stderr)
        return EXIT_FAILURE
    if step == "stage":
        rotation = (routing[0]["rotation"] + 1) % ROTATION_COUNT
        print(
            _dump(
                [peer[0], _generate_peer_key()],
                [routing[0], _generate_routing_key(rotation)],
            )
        )
    elif step == "promote":
        print(_dump(peer[::-1], routing[::-1]))
    else:
        print(_dump(peer[:1], routing[:1]))
    return EXIT_SUCCESS


def _generate_peer_key() -> str:
    return secrets.token_hex(PEER_KEY_BYTES)


def _generate_routing_key(rotation: int) -> dict:
    return {"rotation": rotation, "secret": secrets.token_hex(ROUTING_KEY_BYTES)}


def _dump(peer: list[str], routing: list[dict]) -> str:
    content = {"peer": peer, "routing": routing}
    return yaml.safe_dump(content, sort_keys=False).rstrip()
