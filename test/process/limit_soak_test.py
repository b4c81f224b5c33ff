#!/usr/bin/env python3
"""Seeds of the fault soak with two series of limits that engines state, beside all other faults."""
import scenarios

SECONDS = 40
SEEDS = (602, 603)  # One with a sound store.


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", SECONDS, "--poison", 0, "--limits", 2,
                           "--callers", 48) for seed in SEEDS])
