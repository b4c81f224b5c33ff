#!/usr/bin/env bash
# make demo: see scripts/demo.py.
set -euo pipefail
exec python3 "$(dirname "$0")/demo.py" "${1:-build}"
