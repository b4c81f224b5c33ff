#!/usr/bin/env python3
"""Seeds of the fault soak with two series of limits that engines state, beside all other faults."""
import concurrent.futures
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOAK = ROOT / "test" / "platform_soak" / "soak.py"
SECONDS = 40
SEEDS = (602, 603)  # One with a sound store.


def play(seed):
    return subprocess.run([sys.executable, str(SOAK), sys.argv[1], "--seed", str(seed),
                           "--seconds", str(SECONDS), "--poison", "0", "--limits", "2",
                           "--callers", "48"], stdout=subprocess.PIPE, text=True)


def main():
    with concurrent.futures.ThreadPoolExecutor(len(SEEDS)) as pool:
        played = list(pool.map(play, SEEDS))
    print("\n".join(each.stdout for each in played))
    sys.exit(max(each.returncode for each in played))


if __name__ == "__main__":
    main()
