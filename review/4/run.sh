#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
[ -d ../target/deps ] || { echo "build the deploy file first"; exit 2; }
PYTHONPATH=. exec timeout -k 1 118 python3 4/case.py
