#!/usr/bin/env bash
# Checks format (clang-format), findings (clang-tidy) and the order of modules. Takes the build
# folder (for compile_commands.json); JOBS bounds the clang-tidy processes at once. A file whose
# text, headers and checks are as in its last clean run is not checked again.
set -uo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
exec python3 scripts/lint.py --build "$build" --jobs "${JOBS:-$(nproc)}"
