#!/usr/bin/env python3
"""Seeds of the fault soak in which nodes are partitioned from all engines and engines are brittle, beside all other
faults."""
import scenarios

SECONDS = 40
SEEDS = (902, 903)  # The store is sound otherwise with the first one.


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", SECONDS, "--poison", 0, "--cuts", 1, "--brittle", 1)
                          for seed in SEEDS])
