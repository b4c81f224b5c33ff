#!/usr/bin/env python3
"""Seeds of the fault soak with requests that crash engines beside all other faults. Seed 201 showed a verdict that
was lost: it could not be stored while the store was away, and all gateways were stopped and started
in turn meanwhile, so that the last one that knew it ended; the request then crashed six engines more. Seeds 301 and 307
(longer, with more series) showed the time that a verdict takes: callers came again before it. Seed 425 showed
a stream blamed that callers ask all the time: all gateways had just been started, and two such requests ended three engines
at which it ran within 0.3 s.
"""
import concurrent.futures
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOAK = ROOT / "test" / "platform_soak" / "soak.py"
PLAYS = (  # seed, seconds, series of faults, series of such requests
    (201, 30, 2, 1),
    (301, 40, 3, 2),
    (307, 40, 3, 2),
    (425, 40, 3, 2),
)


def play(chosen):
    seed, seconds, series, poison = chosen
    return subprocess.run([sys.executable, str(SOAK), sys.argv[1], "--seed", str(seed),
                           "--seconds", str(seconds), "--series", str(series),
                           "--poison", str(poison), "--limits", "0"], stdout=subprocess.PIPE, text=True)


def main():
    with concurrent.futures.ThreadPoolExecutor(len(PLAYS)) as pool:
        played = list(pool.map(play, PLAYS))
    print("\n".join(each.stdout for each in played))
    sys.exit(max(each.returncode for each in played))


if __name__ == "__main__":
    main()
