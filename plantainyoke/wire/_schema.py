"""Loads the schema of the messages between processes."""

from pathlib import Path

import capnp

capnp.remove_import_hook()

schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))
