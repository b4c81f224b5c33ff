#!/usr/bin/env python3
"""A seed of the fault soak with a table of the operators that grows by a thousand rows and more, time
after time, and is changed row by row meanwhile, on machines with narrow links and little memory. Nodes that
queued whole tables for others took 94.3 MB of 88 in this play. No gateway is stopped or killed
beside it: one that starts again begins with an empty queue.
"""
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOAK = ROOT / "test" / "platform_soak" / "soak.py"


def main():
    subprocess.run([sys.executable, str(SOAK), sys.argv[1], "--seed", "2", "--seconds", "20",
                    "--series", "0", "--poison", "0", "--growth", "1", "--nodes", "8", "--limits", "0"], check=True)


if __name__ == "__main__":
    main()
