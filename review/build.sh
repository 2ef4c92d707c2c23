#!/bin/sh
# Builds what the scripts of the cases start besides the programs of the deploy file.
# The stand-ins need Python's standard library only, so that this only compiles them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
