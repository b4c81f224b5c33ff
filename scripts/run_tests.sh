#!/usr/bin/env bash
# Runs the unit tests and then every test/process/*.sh; ends with "N passed, N failed".
# A failure listed in KNOWN-RED.txt is printed and does not fail the run.
set -uo pipefail
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
exec python3 "$root/scripts/run_tests.py" --build "$root/$build" --root "$root"
