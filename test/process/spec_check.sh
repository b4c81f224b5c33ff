#!/usr/bin/env bash
# The model check itself: what must fail, fails.
set -euo pipefail
exec python3 "$(dirname "$0")/../spec/check_spec_test.py"
