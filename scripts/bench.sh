#!/usr/bin/env bash
# Runs the benchmarks and writes their tables between the markers of docs/MEASUREMENTS.md and
# docs/CAPACITY.md. Takes about six minutes; uses at most four threads beside the measured processes.
set -euo pipefail
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
exec python3 scripts/bench.py "$build"
