#!/bin/sh
# Builds the stand-ins of the second review: they need the standard library only.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/second
