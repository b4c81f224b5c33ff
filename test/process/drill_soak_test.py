#!/usr/bin/env python3
"""Seeds of the fault soak in which the store comes back from old copies of itself, again and again, beside all other
faults."""
import scenarios

SECONDS = 40
SEEDS = (712, 714)  # The store is sound otherwise.


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", SECONDS, "--poison", 0, "--drills", 1)
                          for seed in SEEDS])
