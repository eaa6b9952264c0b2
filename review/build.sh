#!/bin/sh
# Builds the stand-ins of the scripts, which are plain Python without dependencies.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q .
