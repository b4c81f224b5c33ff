#!/usr/bin/env bash
# Runs the benchmarks and writes their tables between the markers of docs/MEASUREMENTS.md and
# docs/CAPACITY.md. Takes about six minutes; uses at most four threads beside the measured processes.
# With names of markers behind the build folder only those parts: scripts/bench.sh build slopes http
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/bench.py "${@:-build}"
