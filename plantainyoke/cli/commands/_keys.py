"""``plantainyokectl keys``."""

import argparse
import secrets
import sys
from pathlib import Path

import yaml
from returns.result import Failure

from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.configuration import KeySettings, load_keys

PEER_KEY_SIZE = 32
ROUTING_KEY_SIZE = 16
ROTATIONS = 7


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "keys",
        help="make and rotate the fleet's keys",
        description="Print a new key file. A rotation takes three roll-outs: stage "
        "adds a second key that is only accepted, promote uses it, drop removes the "
        "old one once its flows have ended.",
    )
    parser.add_argument("step", choices=("new", "stage", "promote", "drop"))
    parser.add_argument(
        "file", nargs="?", type=Path, metavar="FILE", help="the key file in use"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the next key file."""
    if options.step == "new":
        print(_dump([_new_peer()], [_new_routing(0)]))
        return EXIT_SUCCESS
    if options.file is None:
        print(f"keys {options.step} needs the key file in use", file=sys.stderr)
        return EXIT_FAILURE
    loaded = load_keys(options.file)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_FAILURE
    return _print_step(options.step, loaded.unwrap())


def _print_step(step: str, keys: KeySettings) -> int:
    peer = list(keys.peer)
    routing = [key.model_dump() for key in keys.routing]
    staged = len(peer) == 2 and len(routing) == 2
    if (step == "stage") == staged:
        problem = "already holds two keys" if staged else "holds no staged key"
        print(f"cannot {step}: the file {problem}", file=sys.stderr)
        return EXIT_FAILURE
    if step == "stage":
        rotation = (routing[0]["rotation"] + 1) % ROTATIONS
        print(_dump([peer[0], _new_peer()], [routing[0], _new_routing(rotation)]))
    elif step == "promote":
        print(_dump(peer[::-1], routing[::-1]))
    else:
        print(_dump(peer[:1], routing[:1]))
    return EXIT_SUCCESS


def _new_peer() -> str:
    return secrets.token_hex(PEER_KEY_SIZE)


def _new_routing(rotation: int) -> dict:
    return {"rotation": rotation, "secret": secrets.token_hex(ROUTING_KEY_SIZE)}


def _dump(peer: list[str], routing: list[dict]) -> str:
    content = {"peer": peer, "routing": routing}
    return yaml.safe_dump(content, sort_keys=False).rstrip()
