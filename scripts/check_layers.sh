#!/usr/bin/env bash
# Checks that includes between the folders of src/ point down the order of modules, and that the
# product does not include stand-ins. Names each include that does not.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/check_layers.py
