#!/usr/bin/env python3
"""The demo as a test: every kind of request through every node, an engine killed in mid-stream."""
import subprocess
import sys

from process_testing import ROOT

sys.exit(subprocess.run([sys.executable, str(ROOT / "scripts" / "demo.py"), sys.argv[1]]).returncode)
