#!/usr/bin/env python3
"""Seeds of the fault soak with two series of engines that leave and two of rests that engines ask for, beside all
other faults."""
import scenarios

SECONDS = 30
SEEDS = (701, 702)  # One with a sound store.


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", SECONDS, "--poison", 0, "--leaves", 2, "--rests", 2,
                           "--callers", 48) for seed in SEEDS])
