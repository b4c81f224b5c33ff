#!/usr/bin/env bash
# Verifies every model of spec/ with spin, and requires that the checker finds the violation in every
# variant of spec/variants.txt, which has one rule taken out.
# Usage: scripts/check_spec.sh [model name or part of it ...]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
exec python3 "$root/scripts/check_spec.py" --spec "$root/spec" "$@"
