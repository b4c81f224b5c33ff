#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python, so they are compiled to see that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile test/platform_soak/hosts.py test/platform_soak/store.py review/common/*.py review/[1-5]/*.py
