#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain Python, without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile store_standin.py engine_standin.py site_standin.py
for each in */case.py; do
  python3 -m py_compile "$each"
done
