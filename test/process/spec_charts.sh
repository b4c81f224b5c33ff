#!/usr/bin/env bash
# The state charts and the models name the same states and transitions.
set -euo pipefail
exec python3 "$(dirname "$0")/../spec/compare_charts.py"
