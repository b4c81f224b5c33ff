#!/usr/bin/env bash
# make run: see scripts/run.py.
set -euo pipefail
exec python3 "$(dirname "$0")/run.py" "${1:-build}"
