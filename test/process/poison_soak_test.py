#!/usr/bin/env python3
"""Seeds of the fault soak with requests that crash engines beside all other faults. Seed 201 showed a verdict that
was lost: it could not be stored while the store was away, and all gateways were stopped and started
in turn meanwhile, so that the last one that knew it ended; the request then crashed six engines more.
"""
import concurrent.futures
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOAK = ROOT / "test" / "platform_soak" / "soak.py"
SEEDS = (201, 202)


def play(seed):
    return subprocess.run([sys.executable, str(SOAK), sys.argv[1], "--seed", str(seed),
                           "--seconds", "30"], stdout=subprocess.PIPE, text=True)


def main():
    with concurrent.futures.ThreadPoolExecutor(len(SEEDS)) as pool:
        played = list(pool.map(play, SEEDS))
    print("\n".join(each.stdout for each in played))
    sys.exit(max(each.returncode for each in played))


if __name__ == "__main__":
    main()
