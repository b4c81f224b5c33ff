#!/usr/bin/env python3
"""Seeds of the fault soak in which engines send bytes without end, and another writer puts entries that no parser takes
into the list of engines, beside all other faults.
"""
import scenarios

SECONDS = 30
SEEDS = (1301, 1302)  # One with a sound store.


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", SECONDS, "--poison", 0, "--endless", 1, "--foreign", 1)
                          for seed in SEEDS])
