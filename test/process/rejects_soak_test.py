#!/usr/bin/env python3
"""Seeds of the fault soak in which engines reject most requests beside all other faults: the retries of all gateways
stay within their budget. Seed 1124 once showed that streams which were taken up seldom went on.
"""
import scenarios

SECONDS = 25
PLAYS = ((1103, 20), (1104, 5), (1124, 5))  # seed, gateways


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", SECONDS, "--nodes", nodes, "--rejects", 1)
                          for seed, nodes in PLAYS])
