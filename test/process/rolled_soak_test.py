#!/usr/bin/env python3
"""The seed of the fault soak that showed requests on old weights up to 10.5 s after newer ones, while
gateways were stopped one after the other and versions named meanwhile (see old_weights_test.py).
"""
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOAK = ROOT / "test" / "platform_soak" / "soak.py"


def main():
    subprocess.run([sys.executable, str(SOAK), sys.argv[1], "--seed", "104", "--seconds", "50",
                    "--series", "3", "--poison", "0", "--limits", "0"], check=True)


if __name__ == "__main__":
    main()
