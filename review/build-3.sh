#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start: the stand-ins beside the
# harness, and the project's own, which they import from src and target/deps.
# Runs after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q review/harness3.py review/engine3.py review/store3.py
PYTHONPATH="$PWD/target/deps:$PWD/src" python3 -S -c '
import mulberrypass.platform.stand_in.store
import mulberrypass.testing.row_state
import mulberrypass.runtime.http_server
'
