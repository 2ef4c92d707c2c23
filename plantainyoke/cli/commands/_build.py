"""``plantainyokectl build``: build the documents to publish from service files.

The documents are one index and the chunks that it names by digest.
"""

import argparse
import sys
from pathlib import Path

from returns.result import Failure, Result, Success

from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.configuration import (
    ConfigurationDocuments,
    DocumentError,
    Index,
    build_documents,
    load_fleet,
    parse_index,
)

INDEX_NAME = "index.json"
CHUNK_DIRECTORY = "chunks"


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "build",
        help="build the documents to publish from service files",
        description="Validate the service files below DIR and write the index and "
        "chunks of their generation, which must be above the previous one.",
    )
    parser.add_argument("directory", type=Path, metavar="DIR")
    parser.add_argument("--out", required=True, type=Path, metavar="DIR")
    parser.add_argument(
        "--previous",
        type=Path,
        metavar="DIR",
        help="output directory of the previous build; omit for the first generation",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Write the documents, or print why they cannot be built."""
    built = load_fleet(options.directory).bind(
        lambda loaded: read_previous(options.previous).bind(
            lambda previous: build_documents(*loaded, previous=previous)
        )
    )
    if isinstance(built, Failure):
        print(built.failure(), file=sys.stderr)
        return EXIT_FAILURE
    try:
        write_documents(built.unwrap(), options.out)
    except OSError as error:
        print(f"{options.out}: {error.strerror}", file=sys.stderr)
        return EXIT_FAILURE
    print(
        f"wrote {len(built.unwrap().chunk_documents)} chunks "
        f"and {options.out / INDEX_NAME}"
    )
    return EXIT_SUCCESS


def read_previous(directory: Path | None) -> Result[Index | None, DocumentError]:
    """Return the index of the previous build, or ``None`` without a folder."""
    if directory is None:
        return Success(None)
    path = directory / INDEX_NAME
    try:
        return parse_index(path.read_bytes())
    except OSError as error:
        return Failure(DocumentError(str(path), error.strerror))


def write_documents(built: ConfigurationDocuments, directory: Path) -> None:
    """Write the chunks, then replace the index atomically.

    In this order an index never names a chunk that is not written yet.
    """
    chunks = directory / CHUNK_DIRECTORY
    chunks.mkdir(parents=True, exist_ok=True)
    for digest, document in built.chunk_documents.items():
        (chunks / f"{digest}.json").write_bytes(document)
    partial = directory / f"{INDEX_NAME}.partial"
    partial.write_bytes(built.index_document)
    partial.replace(directory / INDEX_NAME)
