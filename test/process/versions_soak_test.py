#!/usr/bin/env python3
"""Seeds of the fault soak in which engines of two software versions serve and parts of prompts crash engines, beside
all other faults."""
import scenarios

SECONDS = 30
SEEDS = (1001, 1002)  # The store is sound otherwise with the second one.


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", SECONDS, "--versions", 1, "--parts", 1) for seed in SEEDS])
