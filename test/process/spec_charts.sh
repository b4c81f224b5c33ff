#!/usr/bin/env bash
# The state charts and the models name the same states and transitions, and the drawing is current.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
python3 "$root/test/spec/compare_charts.py"
python3 "$root/scripts/draw_charts.py" --check
