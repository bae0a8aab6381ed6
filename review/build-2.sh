#!/bin/sh
# Builds the stand-ins of the second review: they need the standard library only.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/review-2 exec python3 -m py_compile \
  review/store_standin_2.py review/site_standin_2.py \
  review/6/case.py review/7/case.py
