#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python
# modules that use the standard library and the packages of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/rig2
